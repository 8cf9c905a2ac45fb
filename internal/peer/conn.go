package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcctx"
)

// limitListener immediately closes each connection above maxConns. If it were left in the backlog, it would look like a
// silent connection to the peer that opened it.
type limitListener struct {
	net.Listener
	openConns atomic.Int64
	maxConns  int64
}

// LimitListener returns a listener that accepts from l and has at most maxConns connections open.
func LimitListener(l net.Listener, maxConns int64) net.Listener {
	return &limitListener{Listener: l, maxConns: maxConns}
}

// Accept returns the next connection and closes those over the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.maxConns {
			return &deadlineConn{Conn: c, onClose: func() { l.openConns.Add(-1) }}, nil
		}
		l.openConns.Add(-1)
		_ = c.Close()
	}
}

// deadlineConn sets a deadline for each write. Without it a write to a peer that has stopped reading blocks forever: the
// send buffer fills, and a connection whose other end is lost returns no error.
type deadlineConn struct {
	net.Conn
	once    sync.Once
	onClose func() // called once, at the first Close; may be nil
	onRead  func() // called when bytes arrive; may be nil
	// moreTime is the time in ns that a write has beyond writeTimeout.
	moreTime atomic.Int64
}

// ExtendWriteTimeout gives the writes of a call so much more time, on its whole connection. ctx is the context of the call's
// stream.
func ExtendWriteTimeout(ctx context.Context, more time.Duration) {
	if transport, ok := drpcctx.Transport(ctx); ok {
		if c, ok := transport.(*deadlineConn); ok {
			c.moreTime.Store(int64(more))
		}
	}
}

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.onRead != nil {
		c.onRead()
	}
	return n, err
}

// Write implements net.Conn.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout + time.Duration(c.moreTime.Load()))); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *deadlineConn) Close() error {
	c.once.Do(func() {
		if c.onClose != nil {
			c.onClose()
		}
	})
	return c.Conn.Close()
}
