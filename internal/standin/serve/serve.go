// Package serve runs a stand-in's HTTP server over TCP and injects faults of its connections: refused, closed and silent
// ones.
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
	maxBodyBytes      = 64 << 20
	idleWorkerTimeout = 100 * time.Millisecond // also the time that fasthttp's goroutines outlive the listener
	listenAttempts    = 20
	listenRetryDelay  = 50 * time.Millisecond
)

// Server is an HTTP server that can be killed and restarted on the same address.
type Server struct {
	handler  fasthttp.RequestHandler
	addr     string
	mu       sync.Mutex
	listener net.Listener       // guarded by mu; nil while killed
	reserved *reservedPort      // guarded by mu; set while killed
	conns    map[*Conn]struct{} // guarded by mu; open connections
	serving  sync.WaitGroup     // accept loops that run
}

// Start starts a server on addr. Port 0 selects any free port.
func Start(addr string, handler fasthttp.RequestHandler) (*Server, error) {
	s := &Server{handler: handler, addr: addr, conns: map[*Conn]struct{}{}}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address that the server listens on. It stays the same while the server is killed.
func (s *Server) Addr() string { return s.addr }

// Restart starts to listen again after Kill. It does nothing on a running server.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	ln, err := listen(s.addr)
	if err != nil {
		return err
	}
	s.reserved.release()
	s.reserved = nil
	s.addr = ln.Addr().String()
	s.listener = ln
	server := &fasthttp.Server{
		Handler: s.handler, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true,
		Logger: discardLogger{}, CloseOnShutdown: true, MaxIdleWorkerDuration: idleWorkerTimeout, DisablePreParseMultipartForm: true,
	}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = server.Serve(&trackingListener{Listener: ln, server: s})
	}()
	return nil
}

// listen opens a listener on addr. It retries, because an outgoing connection may hold a killed server's port for a
// moment.
func listen(addr string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
		time.Sleep(listenRetryDelay)
	}
	return nil, fmt.Errorf("listen: %w", err)
}

// Kill closes the listener and every connection. The port stays reserved until Restart or Close.
func (s *Server) Kill() { s.stop(true) }

// stop closes the listener and every connection. It keeps the port reserved if keepPort is set, and frees it otherwise.
func (s *Server) stop(keepPort bool) {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
		if keepPort {
			s.reserved, _ = reservePort(s.addr) // if this fails, Restart relies on the retries of listen
		}
	}
	if !keepPort {
		s.reserved.release()
		s.reserved = nil
	}
	s.mu.Unlock()
	s.serving.Wait()
	s.CloseConns()
}

// CloseConns closes the connections that are open now. The listener stays open.
func (s *Server) CloseConns() {
	for _, c := range s.openConns() {
		_ = c.Close()
	}
}

// SilenceConns makes the connections that are open now silent for good. New connections work.
func (s *Server) SilenceConns() {
	for _, c := range s.openConns() {
		c.silence()
	}
}

// Close stops the server for good and frees its port.
func (s *Server) Close() { s.stop(false) }

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// removeConn removes a closed connection from conns.
func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// trackingListener wraps each accepted connection in a Conn and adds it to the server's connections.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection and returns it. It closes a connection accepted while the server is being killed.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, l.server.removeConn)
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	killed := l.server.listener == nil
	l.server.mu.Unlock()
	go c.readAhead()
	if killed {
		_ = c.Close()
	}
	return c, nil
}

// ConnDone returns a channel that is closed when the request's connection has ended.
func ConnDone(ctx *fasthttp.RequestCtx) <-chan struct{} {
	if c, ok := ctx.Conn().(*Conn); ok {
		return c.Done()
	}
	return nil
}

// CloseConn closes the request's connection, so that no response arrives.
func CloseConn(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }

// JSON responds with a status and a body encoded as JSON.
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

// PathParam returns a path parameter. It is unescaped, unless the path has an escaped slash.
func PathParam(ctx *fasthttp.RequestCtx, name string) string {
	v, _ := ctx.UserValue(name).(string)
	return v
}

// discardLogger is a logger for fasthttp that writes nothing.
type discardLogger struct{}

// Printf discards fasthttp's messages about broken connections, which are expected under injected faults.
func (discardLogger) Printf(string, ...any) {}

// Switch turns a fault of the listener or its connections on or off: a killed process, silent connections, or closed
// connections. It ignores other faults.
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
