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
	// maxServed bounds a server's connections. A peer keeps one and opens one more for a pull; the rings
	// of decide/member give an instance about as many callers as it has peers.
	maxServed = 256
	// idleTimeout closes connections on which nothing came for so long; heartbeats come far more often.
	idleTimeout = 15 * time.Second
	// writeTimeout closes connections whose other end takes nothing more.
	writeTimeout = 5 * time.Second
)

// Handler answers peers. It is called from many goroutines.
type Handler interface {
	Heartbeat(relay.Digest) relay.Digest
	// Config gives the configuration in force.
	Config() relay.Config
}

// Server answers peers on a listener.
type Server struct {
	drpc *drpcserver.Server
}

// NewServer gives a server that answers with h.
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

// Serve answers peers until ctx ends, then closes l and every connection.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, LimitListener(l))
}

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
