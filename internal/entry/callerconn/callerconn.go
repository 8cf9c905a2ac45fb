// Package callerconn makes callers' connections watchable. fasthttp tells a handler nothing when its
// caller goes away before the answer is written; a Watch on the connection does, so that the work on the
// engine can be cancelled at once.
package callerconn

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener wraps the accepted connections and bounds how many are open.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration // a write that makes no progress for so long fails the connection
	MaxOpen      int64         // connections over it are closed at once; 0: no bound
	OnRefused    func()        // called for each connection closed by MaxOpen; may be nil

	open atomic.Int64
}

// Accept gives the next connection as a *Conn.
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
		return &Conn{Conn: c, stall: l.WriteTimeout, closed: func() { l.open.Add(-1) }}, nil
	}
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	stall  time.Duration
	closed func()
	once   sync.Once

	mu     sync.Mutex
	peeked []byte // guarded by mu: read by a Watch, due to the next Read
}

// Read gives what a Watch read first.
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

// Write fails when the caller takes nothing for the stall time: a caller that stopped reading must not
// hold an answer's resources for good.
func (c *Conn) Write(p []byte) (int, error) {
	if c.stall > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection once.
func (c *Conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// Watch calls gone, at most once, when the caller closes its end while its request is being answered.
// stop ends the watch and must be called before the connection is read again; after it returned, gone is
// not called. A caller that sends its next request early ends the watch without gone. A caller that
// closes only its sending half counts as gone.
func (c *Conn) Watch(gone func()) (stop func()) {
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
			gone()
		}
	}()
	return func() {
		stopping.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the watcher's Read
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
