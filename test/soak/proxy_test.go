package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

// linkState is how a proxy treats its connections and their bytes.
type linkState int

const (
	forwarding linkState = iota
	delayed              // each chunk is delayed
	blackholed           // bytes are discarded in both directions, connections stay open
	oneWay               // bytes to the client are discarded
	refusing             // new connections are closed at once
)

// proxy is a TCP proxy on loopback that injects faults into a link from outside the programs that use it.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state linkState         // guarded by mu
	delay time.Duration     // guarded by mu; of each chunk while delayed
	conns map[net.Conn]bool // guarded by mu; both ends of each open link
}

// newProxy starts a proxy that forwards to target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setState sets how the proxy treats new and open connections.
func (p *proxy) setState(s linkState, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.delay = s, delay
}

// reset closes every open connection with a TCP reset. Each is marked before any is closed: the close of one end makes the
// relay close the other one.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// accept accepts connections and starts to relay each, until the listener is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.state == refusing
		p.mu.Unlock()
		if refuse {
			_ = c.Close()
			continue
		}
		go p.relay(c)
	}
}

// relay connects a client to the target and copies in both directions until both have ended.
func (p *proxy) relay(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyBytes(server, client, false) })
	wg.Go(func() { p.copyBytes(client, server, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copyBytes forwards bytes until either end closes, and passes a reset on as one. Once a chunk can't be forwarded, it discards everything that follows:
// bytes lost on a blackholed link are not delivered later.
func (p *proxy) copyBytes(to, from net.Conn, toClient bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(to, buf[:n], toClient) {
			_, _ = io.Copy(io.Discard, from) // the connection stays open, but delivers nothing any more
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			standin.ResetConn(to)
		}
		if err != nil {
			return
		}
	}
}

// forward writes one chunk as the link's state requires, and reports whether it was written.
func (p *proxy) forward(to net.Conn, b []byte, toClient bool) bool {
	p.mu.Lock()
	s, delay := p.state, p.delay
	p.mu.Unlock()
	switch {
	case s == blackholed, s == oneWay && toClient:
		return false
	case s == delayed:
		time.Sleep(delay)
	}
	_, err := to.Write(b)
	return err == nil
}
