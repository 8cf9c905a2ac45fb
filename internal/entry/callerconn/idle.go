package callerconn

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Idle knows the connections of a server on which no request is under way, so that a planned stop can close
// them. A caller that kept one would send its next request to an instance that refuses it, and would lose an
// attempt. The zero value knows none; it is safe for concurrent use.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu
}

// Note takes a connection's new state; it is a fasthttp.Server's ConnState.
func (i *IdleConns) OnStateChange(c net.Conn, s fasthttp.ConnState) {
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

// Close closes all idle connections, and gives how many.
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
