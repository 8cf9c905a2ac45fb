package call

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// conns tracks the open connections. The library can't end a call that waits, such as a watch; closing
// its connection does.
type conns struct {
	mu     sync.Mutex
	open   map[*trackedConn]struct{} // guarded by mu
	closed bool                      // guarded by mu
}

type trackedConn struct {
	net.Conn
	owner *conns
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (c *conns) dial(addr string) (net.Conn, error) {
	raw, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: raw, owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c.open[t] = struct{}{}
	return t, nil
}

// closeAll ends every call under way and bars new connections.
func (c *conns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for t := range c.open {
		_ = t.Conn.Close()
	}
}
