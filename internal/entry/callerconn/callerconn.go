// Package callerconn wraps the connections of callers. fasthttp does not notify a handler when the caller closes its
// connection before the answer is written. Conn.Watch does, so that the work on the engine can be canceled at once.
package callerconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener wraps accepted connections in Conns and bounds the number of open ones.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration // timeout of each write on a connection; 0: none
	MaxOpen      int64         // connections beyond this number are closed at once; 0: no bound
	OnRefused    func()        // called for each connection closed because of MaxOpen; may be nil

	open atomic.Int64
}

// Accept returns the next connection as a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.open.Add(1); l.MaxOpen > 0 && n > l.MaxOpen {
			l.open.Add(-1)
			_ = c.Close()
			if l.OnRefused != nil {
				l.OnRefused()
			}
			continue
		}
		return &Conn{Conn: c, writeTimeout: l.WriteTimeout, onClose: func() { l.open.Add(-1) }}, nil
	}
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	writeTimeout time.Duration
	onClose      func() // called once, by the first Close
	closeOnce    sync.Once

	mu     sync.Mutex
	peeked []byte // guarded by mu: bytes that a Watch read, to be returned by Read
}

// Read reads from the connection. Bytes that a Watch read come first.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.peeked) > 0 && len(p) > 0 {
		n := copy(p, c.peeked)
		c.peeked = c.peeked[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write writes to the connection and fails after the write timeout, so that a caller that stopped reading does not hold
// the resources of an answer forever.
func (c *Conn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection. Only the first call counts the connection as closed.
func (c *Conn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// Reset closes the connection with a TCP reset, so that the caller can't take its end for the end of an answer.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return errors.Join(err, c.Close())
		}
	}
	return c.Close()
}

// Watch starts a goroutine that calls onGone, at most once, when the caller closes the connection while its request is
// being answered. stop ends the watch and must be called before the connection is read again; onGone is not called after
// stop has returned. If the caller sends its next request early, the watch ends without a call of onGone. A caller that
// closes only its sending half counts as having closed it.
func (c *Conn) Watch(onGone func()) (stop func()) {
	done := make(chan struct{})
	var stopping atomic.Bool
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.peeked = append(c.peeked, b[:n]...)
			c.mu.Unlock()
			return
		}
		if err != nil && !stopping.Load() {
			onGone()
		}
	}()
	return func() {
		stopping.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // unblocks the Read of the watching goroutine
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
