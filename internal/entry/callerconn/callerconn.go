// Package callerconn wraps the connections of callers. fasthttp does not notify a handler when the caller closes its
// connection before the answer is written. Conn.Watch does, so that the work on the engine can be canceled at once.
package callerconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
)

// Listener wraps accepted connections in Conns and bounds the number of open ones.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration // timeout of each write on a connection; 0: none
	MaxOpen      int64         // open connections; 0: no bound
	CloseIdle    func() bool   // closes a connection without a request to make room for another; false: there is none; may be nil
	OnRefused    func()        // called for each connection that is closed at once because of MaxOpen, before that; may be nil

	mu   sync.Mutex
	open map[*Conn]struct{} // guarded by mu
}

// Accept returns the next connection as a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped := l.add(c); wrapped != nil {
			return wrapped, nil
		}
		if l.CloseIdle != nil && l.CloseIdle() {
			if wrapped := l.add(c); wrapped != nil {
				return wrapped, nil
			}
		}
		if l.OnRefused != nil { // before the caller can see the end of its connection
			l.OnRefused()
		}
		_ = c.Close()
	}
}

// add wraps a connection and adds it to the open ones. It returns nil if there are MaxOpen already.
func (l *Listener) add(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, writeTimeout: l.WriteTimeout}
	c.onClose = func() { l.remove(c) }
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxOpen > 0 && int64(len(l.open)) >= l.MaxOpen {
		return nil
	}
	if l.open == nil {
		l.open = map[*Conn]struct{}{}
	}
	l.open[c] = struct{}{}
	return c
}

// remove removes a connection from the open ones.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	writeTimeout time.Duration
	onClose      func() // called once, by the first Close
	closeOnce    sync.Once
	written      atomic.Int64 // bytes
	reading      atomic.Bool  // a part of a request was read, and its answer hasn't begun

	mu      sync.Mutex
	peeked  []byte         // guarded by mu: bytes that a Watch read, to be returned by Read
	pending *pendingAnswer // guarded by mu; nil: no request is handled
	closed  bool           // guarded by mu
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
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Close closes the connection. Only the first call counts the connection as closed.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.onClose()
		c.endAnswer(true)
	})
	return err
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
		defer crash.Report("watch of caller")
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
