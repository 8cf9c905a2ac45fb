package call

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/httphead"
)

// connTracker tracks the open connections. The library can't cancel a call that waits, such as a watch. Closing the
// call's connection ends it.
type connTracker struct {
	mu     sync.Mutex
	open   map[*trackedConn]struct{} // guarded by mu
	closed bool                      // guarded by mu
}

// trackedConn removes itself from its tracker when it is closed.
type trackedConn struct {
	net.Conn
	owner *connTracker
}

// Close closes the connection and removes it from its tracker.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// dial connects to addr and tracks the connection. It fails after closeAll.
func (c *connTracker) dial(addr string) (net.Conn, error) {
	raw, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: httphead.NewConn(raw), owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c.open[t] = struct{}{}
	return t, nil
}

// closeAll closes all connections, which ends the calls in flight, and prevents new ones.
func (c *connTracker) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for t := range c.open {
		_ = t.Conn.Close()
	}
}
