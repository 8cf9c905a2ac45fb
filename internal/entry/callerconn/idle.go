package callerconn

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// IdleConns is the set of a server's connections without a request. A planned stop closes those that have had one: a
// caller that kept such a connection would send its next request to an instance that refuses it, and lose an attempt. The
// zero value is an empty set. It is safe for concurrent use.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]idleConn // guarded by mu
}

// unusedTime is how long a connection may be open before its first request without being closed to make room. A caller sends
// its request as soon as it is connected.
const unusedTime = time.Second

// idleConn is a connection without a request.
type idleConn struct {
	since  time.Time
	unused bool // there was no request on it yet
}

// OnStateChange adds a connection that is new or becomes idle, whose pending answer has ended, and removes any other. It
// is the ConnState of a fasthttp.Server.
func (i *IdleConns) OnStateChange(c net.Conn, s fasthttp.ConnState) {
	if caller, ok := c.(*Conn); ok {
		caller.reading.Store(s == fasthttp.StateActive)
		if s == fasthttp.StateIdle {
			caller.endAnswer(false) // the server has written the answer
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != fasthttp.StateIdle && s != fasthttp.StateNew {
		delete(i.conns, c)
		return
	}
	if i.conns == nil {
		i.conns = map[net.Conn]idleConn{}
	}
	i.conns[c] = idleConn{since: time.Now(), unused: s == fasthttp.StateNew}
}

// CloseAll closes all idle connections that have had a request and returns their number.
//
// A connection is closed before its change of state can be seen: if a request has come on it meanwhile, Begin finds it closed.
func (i *IdleConns) CloseAll() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for c, idle := range i.conns {
		if !idle.unused {
			i.close(c)
			closed++
		}
	}
	return closed
}

// CloseOldest closes the connection that has been idle for the longest time, or else the one that has waited for its first
// request for the longest time, if that is over unusedTime. It returns false if there is none.
func (i *IdleConns) CloseOldest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	oldest := i.oldest(false)
	if oldest == nil {
		oldest = i.oldest(true)
	}
	if oldest == nil || i.conns[oldest].unused && time.Since(i.conns[oldest].since) < unusedTime {
		return false
	}
	i.close(oldest)
	return true
}

// oldest returns the connection that was added first of those that had no request yet, or of the others; nil if there is
// none. mu is held.
func (i *IdleConns) oldest(unused bool) net.Conn {
	var oldest net.Conn
	for c, idle := range i.conns {
		if idle.unused == unused && (oldest == nil || idle.since.Before(i.conns[oldest].since)) {
			oldest = c
		}
	}
	return oldest
}

// close removes and closes a connection. mu is held.
func (i *IdleConns) close(c net.Conn) {
	delete(i.conns, c)
	_ = c.Close()
}
