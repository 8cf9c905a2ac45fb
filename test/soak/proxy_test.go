package soak_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// state is how a proxy treats the bytes of its connections.
type state int

const (
	passing  state = iota
	delayed        // each piece is late
	silent         // nothing passes, and nothing says so
	oneWay         // nothing passes back
	refusing       // new connections are closed at once
)

// proxy is a loopback link whose faults are injected from outside the programs that use it.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state state             // guarded by mu
	delay time.Duration     // guarded by mu
	open  map[net.Conn]bool // guarded by mu
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(s state, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.delay = s, delay
}

// reset closes every open connection with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

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
		go p.link(c)
	}
}

func (p *proxy) link(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	both.Go(func() { p.copy(near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, near)
	delete(p.open, far)
	p.mu.Unlock()
}

// copy passes bytes on until an end closes. What a silent link holds up is not passed on later.
func (p *proxy) copy(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(to, buf[:n], back) {
			_, _ = io.Copy(io.Discard, from) // lost for good: the connection stays open and dead
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) pass(to net.Conn, b []byte, back bool) bool {
	p.mu.Lock()
	s, delay := p.state, p.delay
	p.mu.Unlock()
	switch {
	case s == silent, s == oneWay && back:
		return false
	case s == delayed:
		time.Sleep(delay)
	}
	_, err := to.Write(b)
	return err == nil
}
