package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/peer/peerpb"
)

const (
	// maxServerConns is the maximum number of open connections of a Server. A peer keeps one and opens one more for a
	// pull. The rings of decide/member give an instance about as many callers as it has peers.
	maxServerConns = 256
	// idleTimeout is how long a connection may receive nothing before it is closed. Heartbeats are far more frequent.
	idleTimeout = 15 * time.Second
	// writeTimeout is the timeout of one write. It ends connections whose other end has stopped reading.
	writeTimeout = 5 * time.Second
)

// Handler handles the calls of peers. It must be safe for concurrent use.
type Handler interface {
	// Heartbeat handles a peer's digest and returns this instance's own.
	Heartbeat(relay.Digest) relay.Digest
	// Config returns the configuration in force.
	Config() relay.Config
}

// Server serves the calls of peers on a listener.
type Server struct {
	drpc *drpcserver.Server
}

// NewServer returns a server whose calls are handled by h.
func NewServer(h Handler) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handler: h}); err != nil {
		return nil, err
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: idleTimeout,
	}}
	return &Server{drpc: drpcserver.NewWithOptions(mux, options)}, nil
}

// Serve serves peers until ctx is done, then closes l and every connection.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, LimitListener(l, maxServerConns))
}

// service implements peerpb.DRPCPeerServer with a Handler.
type service struct {
	handler Handler
}

// Heartbeat implements peerpb.DRPCPeerServer.
func (s *service) Heartbeat(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	d, err := decodeDigest(in)
	if err != nil {
		return nil, err
	}
	return encodeDigest(s.handler.Heartbeat(d)), nil
}

// Pull implements peerpb.DRPCPeerServer.
func (s *service) Pull(_ context.Context, in *peerpb.PullRequest) (*peerpb.Config, error) {
	c := s.handler.Config()
	if c.Version <= in.Above {
		return &peerpb.Config{Version: c.Version}, nil
	}
	return &peerpb.Config{Version: c.Version, Packed: c.Packed}, nil
}
