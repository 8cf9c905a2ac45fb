package callerconn

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// IdleConns is the set of a server's connections without a request. A planned stop closes those that have had one: a
// caller that kept such a connection would send its next request to an instance that refuses it, and lose an attempt. The
// zero value is an empty set. It is safe for concurrent use.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]idleConn // guarded by mu
	added uint64                // guarded by mu: connections that have been added so far
}

// idleConn is a connection without a request.
type idleConn struct {
	order  uint64 // in which the connections have been added
	unused bool   // there was no request on it yet
}

// OnStateChange adds a connection that is new or becomes idle, whose pending answer has ended, and removes any other. It
// is the ConnState of a fasthttp.Server.
func (i *IdleConns) OnStateChange(c net.Conn, s fasthttp.ConnState) {
	if answered, ok := c.(*Conn); ok && s == fasthttp.StateIdle {
		answered.endAnswer(false) // the server has written the answer
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
	i.added++
	i.conns[c] = idleConn{order: i.added, unused: s == fasthttp.StateNew}
}

// CloseAll closes all idle connections that have had a request and returns their number.
func (i *IdleConns) CloseAll() int {
	closed := 0
	for _, c := range i.takeUsed() {
		_ = c.Close()
		closed++
	}
	return closed
}

// takeUsed removes and returns the connections that have had a request.
func (i *IdleConns) takeUsed() []net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	var used []net.Conn
	for c, idle := range i.conns {
		if !idle.unused {
			used = append(used, c)
			delete(i.conns, c)
		}
	}
	return used
}

// CloseOldest closes the connection that has had no request for the longest time. It returns false if there is none.
func (i *IdleConns) CloseOldest() bool {
	c := i.takeOldest()
	if c == nil {
		return false
	}
	_ = c.Close()
	return true
}

// takeOldest removes and returns the connection that was added first, or nil if there is none.
func (i *IdleConns) takeOldest() net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	var oldest net.Conn
	first := i.added + 1
	for c, idle := range i.conns {
		if idle.order < first {
			oldest, first = c, idle.order
		}
	}
	delete(i.conns, oldest)
	return oldest
}
