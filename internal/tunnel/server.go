package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"storj.io/drpc"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/tunnel/tunnelpb"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// ServerDeps are the dependencies of a Server.
type ServerDeps struct {
	Snapshot  func() *catalog.Snapshot
	Untrusted func() bool                    // reports that the process was paused and its state may be out of date
	HeldOff   func(u *catalog.Upstream) bool // reports whether an upstream refuses this instance for now
	Client    *upstream.Client
	Gate      *gate.Gate // counts tunnels as requests in flight, so that a planned stop waits for them
	Max       int64      // tunnels at one time
	// CallerStall is how long the other instance's caller may accept nothing before that instance ends its request.
	CallerStall time.Duration
	Metrics     *metrics.Registry
}

// Server connects to upstreams for other instances.
type Server struct {
	deps ServerDeps
	open atomic.Int64
}

// NewServer returns a server without tunnels.
func NewServer(d ServerDeps) *Server { return &Server{deps: d} }

// Register adds the server's calls to a mux.
func (s *Server) Register(m drpc.Mux) error { return pb.DRPCRegisterTunnel(m, s) }

// Open implements tunnelpb.DRPCTunnelServer.
func (s *Server) Open(stream pb.DRPCTunnel_OpenStream) error {
	defer crash.Report("tunnel for another instance")
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if refusal := s.admit(first.Addr); refusal != pb.FromUpstream_NONE {
		return stream.Send(&pb.FromUpstream{Result: refusal})
	}
	defer s.leave()
	ctx, cancel := context.WithTimeout(stream.Context(), connectTimeout)
	c, err := s.deps.Client.DialDirect(ctx, first.Addr)
	cancel()
	if err != nil {
		return stream.Send(&pb.FromUpstream{Result: dialResult(err)})
	}
	defer func() { _ = c.Close() }()
	if err := stream.Send(&pb.FromUpstream{Result: pb.FromUpstream_CONNECTED}); err != nil {
		return err
	}
	// The other instance stops reading while its caller does, and alone decides on that. This one judges later.
	peer.ExtendWriteTimeout(stream.Context(), s.deps.CallerStall)
	// A read of the upstream must not outlast the other instance's interest: the upstream goes on to work meanwhile.
	defer context.AfterFunc(stream.Context(), func() { _ = c.Close() })()
	go copyToUpstream(c, stream)
	return copyFromUpstream(stream, c)
}

// admit counts a tunnel as open, or returns why there must be none now. The checks are those before a send of this
// instance's own: the upstream sees the request come from here.
func (s *Server) admit(addr string) pb.FromUpstream_Result {
	snap := s.deps.Snapshot()
	u := snap.UpstreamByAddr(addr)
	switch {
	case u == nil, !snap.AcceptsWork(u), s.deps.Untrusted(), s.deps.HeldOff(u):
		return pb.FromUpstream_NOT_ALLOWED
	case s.open.Load() >= s.deps.Max:
		return pb.FromUpstream_BUSY
	case !s.deps.Gate.Ready(), s.deps.Gate.Enter() != nil: // the end of a stop would cut the tunnel
		return pb.FromUpstream_STOPPING
	}
	s.deps.Metrics.Gauge("tunnels_open").Update(s.open.Add(1))
	s.deps.Metrics.Counter("tunnels_served").Inc(1)
	return pb.FromUpstream_NONE
}

// leave ends a tunnel that admit counted.
func (s *Server) leave() {
	s.deps.Metrics.Gauge("tunnels_open").Update(s.open.Add(-1))
	s.deps.Gate.Leave()
}

// dialResult returns the result for a failed connection.
func dialResult(err error) pb.FromUpstream_Result {
	switch {
	case errors.Is(err, upstream.ErrPathFailed):
		return pb.FromUpstream_CUT_OFF
	case upstream.IsShortage(err):
		return pb.FromUpstream_BUSY
	case errors.Is(err, syscall.ECONNREFUSED):
		return pb.FromUpstream_REFUSED
	default:
		return pb.FromUpstream_TIMED_OUT
	}
}

// copyToUpstream copies what the other instance sends to the upstream's connection, and closes it at the end of the
// tunnel: that tells the upstream to stop the work.
func copyToUpstream(c net.Conn, stream pb.DRPCTunnel_OpenStream) {
	defer crash.Report("tunnel for another instance, to upstream")
	defer func() { _ = c.Close() }()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		// An upstream may answer and close before it has read the request, so that writes fail. The answer can still be
		// read, and shows how the connection ended.
		_, _ = c.Write(m.Data)
	}
}

// copyFromUpstream copies the upstream's bytes to the other instance, and then tells it how the connection ended. An
// answer without a length is complete only if the upstream closed its connection in order.
func copyFromUpstream(stream pb.DRPCTunnel_OpenStream, c net.Conn) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			if sendErr := stream.Send(&pb.FromUpstream{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case err == io.EOF:
			return stream.Send(&pb.FromUpstream{End: pb.FromUpstream_CLOSED})
		case err != nil:
			return stream.Send(&pb.FromUpstream{End: pb.FromUpstream_BROKEN})
		}
	}
}
