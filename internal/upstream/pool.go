// Package upstream calls engines and plain services: completion streams, calls of plain services, and the small
// calls of an engine's API. It manages its own connections because three guarantees depend on them: whether a byte
// of a request was sent (run: no), how long a connection may be silent, and that a dead connection is not used
// again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	dialTimeout        = time.Second     // of a connection attempt; Forward allows only connectTimeout
	maxIdleTime        = 5 * time.Second // a connection that was idle for longer is not used again
	maxAge             = time.Minute     // an older connection is not used for a new request
	maxIdlePerUpstream = 64              // idle connections kept to one upstream
	bufferSize         = 16 << 10        // bytes
)

// keepAlive configures probes that detect a peer that is gone without closing its connections, because its machine
// lost power or the network is partitioned. While the client waits for an answer nothing else detects that. The
// request would wait until its deadline, with memory reserved for it on other engines. Two unanswered probes take
// about two seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 400 * time.Millisecond, Count: 2}

// ackTimeout is how long sent bytes may remain unacknowledged. It detects the same failure while a request is being
// sent.
const ackTimeout = 1800 * time.Millisecond

// setAckTimeout sets ackTimeout on a new connection.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// conn is one connection to an upstream, used by one request at a time.
type conn struct {
	net.Conn
	addr         string
	created      time.Time
	lastUsed     time.Time
	idleDeadline time.Time // when the upstream closes the connection if it stays idle; zero: not announced
	reader       *bufio.Reader
	writer       *bufio.Writer
	bytesSent    atomic.Int64     // bytes of the current request that the operating system accepted
	broken       atomic.Bool      // must not be used again
	via          fleet.InstanceID // the instance that it goes through, and then it serves one request; empty: direct
	guard        *guard           // of the current exchange; nil: none. Used only by the exchange's goroutine.
}

// maxWriteSize is the most bytes of a single write. On a guarded connection each write has a time limit.
const maxWriteSize = 64 << 10

// Write writes p in pieces of at most maxWriteSize and counts the bytes that the operating system accepted. A failed
// write may have sent some bytes.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if c.guard != nil {
			c.guard.onWrite()
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteSize)])
		written += n
		c.bytesSent.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Read reads from the connection. When the read deadline passes, the guard, if there is one, decides whether to
// continue.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case c.guard == nil:
			return n, err
		case n > 0:
			c.guard.onRead()
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.guard.continueReading():
			return n, err
		}
	}
}

// pool keeps idle connections by address.
type pool struct {
	now   func() time.Time
	paths *paths

	mu            sync.Mutex
	idle          map[string][]*conn   // guarded by mu; the most recently used is last
	invalidBefore map[string]time.Time // guarded by mu; connections created earlier must not be used
	closed        bool                 // guarded by mu
}

// newPool returns an empty pool without paths.
func newPool() *pool {
	return &pool{now: time.Now, idle: map[string][]*conn{}, invalidBefore: map[string]time.Time{}}
}

// get returns an idle connection without unread data, or dials a new one. reused reports that the connection was idle.
func (p *pool) get(ctx context.Context, addr string) (c *conn, reused bool, err error) {
	for c := p.takeIdle(addr); c != nil; c = p.takeIdle(addr) {
		if _, unread := c.peek(); !unread {
			c.bytesSent.Store(0)
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err = p.dial(ctx, addr)
	return c, false, err
}

// DialTCP opens a TCP connection that detects a peer that is gone.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setAckTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// dial opens a new connection.
func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	created := p.now()
	raw, err := p.paths.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, addr, created), nil
}

// newConn wraps a connection to addr that was opened at created.
func newConn(raw net.Conn, addr string, created time.Time) *conn {
	c := &conn{Conn: raw, addr: addr, created: created, via: viaInstance(raw)}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c
}

// putNew adds an open connection to addr that was not used yet. One through another instance is closed.
func (p *pool) putNew(addr string, raw net.Conn) { p.put(newConn(raw, addr, p.now())) }

// takeIdle removes the most recently used idle connection that is usable, and returns it. It returns nil if there is
// none.
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

// usable reports whether c may be used for another request. The caller holds mu.
func (p *pool) usable(c *conn) bool {
	now := p.now()
	beforeIdleDeadline := c.idleDeadline.IsZero() || now.Before(c.idleDeadline)
	return !c.broken.Load() && c.via == "" && beforeIdleDeadline && c.created.After(p.invalidBefore[c.addr]) &&
		now.Sub(c.created) < maxAge && now.Sub(c.lastUsed) < maxIdleTime
}

// put returns a connection to the pool after a complete exchange. The connections of incomplete exchanges are closed
// instead.
func (p *pool) put(c *conn) {
	c.lastUsed = p.now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.usable(c) || len(p.idle[c.addr]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// invalidate excludes every existing connection to addr from further requests. A device between the two ends that
// lost the state of one connection has usually lost the others too, and each of them would cost a request the time
// until its silence is detected. Connections that are dialled later are not affected.
func (p *pool) invalidate(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.invalidBefore[addr] = p.now()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// invalidateAll excludes every existing connection from further requests.
func (p *pool) invalidateAll() {
	p.mu.Lock()
	addrs := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, addr := range addrs {
		p.invalidate(addr)
	}
}

// close closes the idle connections. Connections in use are closed when they are returned.
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
