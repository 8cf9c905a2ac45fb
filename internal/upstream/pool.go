// Package upstream calls engines and plain services: completions streams, plain-service calls, and the
// small calls of an engine's API. It owns its connections, because three promises hang on them: whether a
// byte of a request was sent (run: no), how long one may be silent, and that a dead one is not used again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	maxIdle     = 5 * time.Second // an idle connection is not used again after it
	maxAge      = time.Minute     // no connection is used for a new request after it
	maxIdleHost = 64              // idle connections kept to one upstream
	bufferSize  = 16 << 10
)

// probes find out that the other end is gone without a word: a machine that lost power, or a way that is cut.
// While an answer is awaited nothing else shows it, and the request, with memory reserved for it on other
// engines, would wait for its whole time. Two probes unanswered are about two seconds.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 400 * time.Millisecond, Count: 2}

// unanswered is how long the other end may leave sent bytes without acknowledgement: the same for a request
// that is being sent.
const unanswered = 1800 * time.Millisecond

// boundUnanswered sets the bound on a new connection.
func boundUnanswered(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unanswered.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// conn is one connection to an upstream, used by one request at a time.
type conn struct {
	net.Conn
	addr     string
	created  time.Time
	lastUsed time.Time
	idleEnd  time.Time // the other end closes it then if it stays idle; zero: not stated
	reader   *bufio.Reader
	writer   *bufio.Writer
	sent     atomic.Int64 // bytes handed to the system by the current request
	broken   atomic.Bool  // not to be used again
	guard    *guard       // of the current exchange; nil: none. Of the exchange's goroutine.
}

// writePiece is written in one go; a guarded connection has to take each within the gap.
const writePiece = 64 << 10

// Write counts what the system took. A failed write may have sent some of it.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if c.guard != nil {
			c.guard.beforeWrite()
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.sent.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Read gives a guard a say in whether a silence is the end.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case c.guard == nil:
			return n, err
		case n > 0:
			c.guard.alive()
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.guard.goOn():
			return n, err
		}
	}
}

// pool keeps idle connections by address.
type pool struct {
	now func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn   // guarded by mu; the latest used last
	dead   map[string]time.Time // guarded by mu: connections created before it are condemned
	closed bool                 // guarded by mu
}

func newPool() *pool {
	return &pool{now: time.Now, idle: map[string][]*conn{}, dead: map[string]time.Time{}}
}

// get gives an idle connection or dials. reused tells which.
func (p *pool) get(ctx context.Context, addr string) (c *conn, reused bool, err error) {
	if c := p.takeIdle(addr); c != nil {
		c.sent.Store(0)
		return c, true, nil
	}
	c, err = p.dial(ctx, addr)
	return c, false, err
}

func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes, Control: boundUnanswered}
	created := p.now()
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, addr: addr, created: created}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

func (p *pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[addr]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if p.usable(c) {
			return c
		}
		_ = c.Close()
	}
}

// usable tells whether c may carry another request; mu is held.
func (p *pool) usable(c *conn) bool {
	now := p.now()
	stated := c.idleEnd.IsZero() || now.Before(c.idleEnd)
	return !c.broken.Load() && stated && c.created.After(p.dead[c.addr]) &&
		now.Sub(c.created) < maxAge && now.Sub(c.lastUsed) < maxIdle
}

// put takes back a connection whose exchange ended whole; others are closed by their user.
func (p *pool) put(c *conn) {
	c.lastUsed = p.now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.usable(c) || len(p.idle[c.addr]) >= maxIdleHost {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// condemn bars every connection to addr that exists now from further use. Something between the two ends
// that lost track of one open connection has usually lost the others too, and each of them would cost a
// request its gap timeout. New connections are dialled after now and are not barred.
func (p *pool) condemn(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead[addr] = p.now()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// close closes the idle connections; connections in use are closed when they come back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
