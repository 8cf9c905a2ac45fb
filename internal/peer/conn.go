package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener closes connections over its bound at once: waiting in the backlog they would look
// like silent ones to their peer.
type boundedListener struct {
	net.Listener
	open  atomic.Int64
	bound int64
}

// Bounded gives a listener of which no more than a fixed number of connections are open.
func LimitListener(l net.Listener) net.Listener {
	return &boundedListener{Listener: l, bound: maxServed}
}

// Accept gives the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.bound {
			return &timedConn{Conn: c, closed: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

// timedConn bounds each write. Without it a peer that stops reading holds the writer for good: the
// send buffer fills, and no error ever comes from a connection whose other end has been lost.
type timedConn struct {
	net.Conn
	once   sync.Once
	closed func()
	heard  func() // called when bytes came; nil: nobody asks
}

// Read implements net.Conn.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.heard != nil {
		c.heard()
	}
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *timedConn) Close() error {
	c.once.Do(func() {
		if c.closed != nil {
			c.closed()
		}
	})
	return c.Conn.Close()
}
