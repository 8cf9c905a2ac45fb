// Package serve runs a stand-in's HTTP listener on TCP and plays the faults of connections: refused, cut
// and silent ones.
package serve

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

const (
	maxBody       = 64 << 20
	idleWorker    = 100 * time.Millisecond // also how long the library's goroutines outlive the listener
	listenRetries = 20
	listenPause   = 50 * time.Millisecond
)

// Server is an HTTP server whose listener can be killed and started again on the same address.
type Server struct {
	handler fasthttp.RequestHandler
	addr    string
	mu      sync.Mutex
	ln      net.Listener       // guarded by mu; nil: killed
	port    *hold              // guarded by mu: while killed
	conns   map[*Conn]struct{} // guarded by mu
	running sync.WaitGroup
}

// Start listens on addr, of which port 0 means any free port.
func Start(addr string, handler fasthttp.RequestHandler) (*Server, error) {
	s := &Server{handler: handler, addr: addr, conns: map[*Conn]struct{}{}}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr is the address that the server listens on, also while it is killed.
func (s *Server) Addr() string { return s.addr }

// Restart listens again after Kill. It does nothing on a running server.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	ln, err := listen(s.addr)
	if err != nil {
		return err
	}
	s.port.release()
	s.port = nil
	s.addr = ln.Addr().String()
	s.ln = ln
	server := &fasthttp.Server{
		Handler: s.handler, MaxRequestBodySize: maxBody, NoDefaultServerHeader: true,
		Logger: discard{}, CloseOnShutdown: true, MaxIdleWorkerDuration: idleWorker,
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		_ = server.Serve(&acceptor{Listener: ln, server: s})
	}()
	return nil
}

// listen retries, since a killed listener's port may be held by an outgoing connection for a moment.
func listen(addr string) (net.Listener, error) {
	var err error
	for range listenRetries {
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
		time.Sleep(listenPause)
	}
	return nil, fmt.Errorf("listen: %w", err)
}

// Kill closes the listener and every connection. The port stays the server's until Restart or Close.
func (s *Server) Kill() { s.end(true) }

func (s *Server) end(keepPort bool) {
	s.mu.Lock()
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
		if keepPort {
			s.port, _ = holdPort(s.addr) // without it, listen tries again for a while
		}
	}
	if !keepPort {
		s.port.release()
		s.port = nil
	}
	s.mu.Unlock()
	s.running.Wait()
	s.CloseConns()
}

// Cut closes the connections that are open now.
func (s *Server) CloseConns() {
	for _, c := range s.open() {
		_ = c.Close()
	}
}

// Silence makes the connections that are open now silent for good.
func (s *Server) SilenceConns() {
	for _, c := range s.open() {
		c.silence()
	}
}

// Close ends the server for good.
func (s *Server) Close() { s.end(false) }

func (s *Server) open() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) forget(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// acceptor wraps accepted connections.
type acceptor struct {
	net.Listener
	server *Server
}

// Accept waits for a connection. One that was accepted while the server was being killed is closed.
func (a *acceptor) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, a.server.forget)
	a.server.mu.Lock()
	a.server.conns[c] = struct{}{}
	dead := a.server.ln == nil
	a.server.mu.Unlock()
	go c.readAhead()
	if dead {
		_ = c.Close()
	}
	return c, nil
}

// Gone is closed when the request's connection has ended.
func ConnDone(ctx *fasthttp.RequestCtx) <-chan struct{} {
	if c, ok := ctx.Conn().(*Conn); ok {
		return c.Done()
	}
	return nil
}

// Drop closes the request's connection, so that no answer arrives.
func CloseConn(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }

// JSON answers with status and body.
func JSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Param is a path parameter, unescaped.
func PathParam(ctx *fasthttp.RequestCtx, name string) string {
	v, _ := ctx.UserValue(name).(string)
	return v
}

type discard struct{}

// Printf drops the library's messages on broken connections: faults here are made on purpose.
func (discard) Printf(string, ...any) {}

// Switch plays the faults that concern the listener and its connections; others do nothing here.
func (s *Server) Switch(f faults.Fault, on bool) error {
	switch {
	case f == faults.Kill && on:
		s.Kill()
	case f == faults.Kill:
		return s.Restart()
	case f == faults.SilentConnections && on:
		s.SilenceConns()
	case f == faults.CloseConnections && on:
		s.CloseConns()
	}
	return nil
}
