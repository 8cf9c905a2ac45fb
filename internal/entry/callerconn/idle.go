package callerconn

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// IdleConns is the set of a server's connections without a request in flight, which a planned stop closes. A caller that
// kept such a connection would send its next request to an instance that refuses it, and lose an attempt. The zero value
// is an empty set. It is safe for concurrent use.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu
}

// OnStateChange adds a connection that becomes idle, whose pending answer has ended, and removes any other. It is the
// ConnState of a fasthttp.Server.
func (i *IdleConns) OnStateChange(c net.Conn, s fasthttp.ConnState) {
	if answered, ok := c.(*Conn); ok && s == fasthttp.StateIdle {
		answered.endAnswer(false) // the server has written the answer
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != fasthttp.StateIdle {
		delete(i.conns, c)
		return
	}
	if i.conns == nil {
		i.conns = map[net.Conn]struct{}{}
	}
	i.conns[c] = struct{}{}
}

// CloseAll closes all idle connections and returns their number.
func (i *IdleConns) CloseAll() int {
	i.mu.Lock()
	idle := i.conns
	i.conns = nil
	i.mu.Unlock()
	for c := range idle {
		_ = c.Close()
	}
	return len(idle)
}
