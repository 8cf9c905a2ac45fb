package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// orderlyConn is a connection whose Read returns io.EOF only if the peer ended it in order. The system reports a reset once, to
// the first read or write that meets it; a read after a write that has failed finds an end in order, and so would take a part of
// an answer for all of it. Read and Write may be called concurrently.
type orderlyConn struct {
	net.Conn

	mu       sync.Mutex // held while a write is in progress
	writeErr error      // guarded by mu; of the last write that failed because the connection broke
}

// dialOrderly returns a Dialer whose connections are orderlyConns.
func dialOrderly(dial Dialer) Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &orderlyConn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *orderlyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !allowsOrderlyEnd(err) {
		c.writeErr = err
	}
	return n, err
}

// allowsOrderlyEnd reports whether the peer may have ended the connection in order although a write failed with err: the write
// was ended by its deadline, or it met a reset that the peer sent after such an end, which the system reports as EPIPE.
func allowsOrderlyEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}

// Read implements net.Conn. If a write met the end of a connection that broke, the error wraps io.ErrUnexpectedEOF and the write's
// error.
func (c *orderlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if writeErr := c.failedWrite(); writeErr != nil {
			return n, fmt.Errorf("%w after a failed write: %w", io.ErrUnexpectedEOF, writeErr)
		}
	}
	return n, err
}

// failedWrite returns the error of a write that met the end of a broken connection, or nil. It ends a write in progress, which
// may have met it.
func (c *orderlyConn) failedWrite() error {
	_ = c.Conn.SetWriteDeadline(expiredDeadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// SyscallConn implements syscall.Conn. It returns errors.ErrUnsupported if the connection is no socket.
func (c *orderlyConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
