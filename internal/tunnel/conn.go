package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"storj.io/drpc/drpcconn"

	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/tunnel/tunnelpb"
)

// conn is a connection to an upstream through another instance. It is one end of a pipe, which gives it deadlines; two
// goroutines copy between the other end and the tunnel.
type conn struct {
	net.Conn
	far    net.Conn
	rpc    *drpcconn.Conn
	stream pb.DRPCTunnel_OpenClient
	via    fleet.InstanceID
	end    atomic.Int32 // pb.FromUpstream_End
	closed atomic.Bool  // by this side
	onEnd  func(lost bool)
}

// newConn returns the connection over an open tunnel. onEnd is called once when the tunnel has ended; lost means that the
// other instance was lost.
func newConn(rpc *drpcconn.Conn, stream pb.DRPCTunnel_OpenClient, via fleet.InstanceID, onEnd func(lost bool)) *conn {
	near, far := net.Pipe()
	c := &conn{Conn: near, far: far, rpc: rpc, stream: stream, via: via, onEnd: onEnd}
	go c.copyToTunnel()
	go c.copyFromTunnel()
	return c
}

// Via implements upstream.Tunneled.
func (c *conn) Via() fleet.InstanceID { return c.via }

// copyToTunnel sends what is written to the connection.
func (c *conn) copyToTunnel() {
	defer crash.Report("tunnel, sending")
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.far.Read(buffer)
		if err != nil {
			return
		}
		if err := c.stream.Send(&pb.ToUpstream{Data: buffer[:n]}); err != nil {
			// The answer may be here already, and is read only after the write. copyFromTunnel closes the pipe.
			_, _ = io.Copy(io.Discard, c.far)
			return
		}
	}
}

// copyFromTunnel passes on what the upstream sends, and closes the pipe at the end of the tunnel.
func (c *conn) copyFromTunnel() {
	defer crash.Report("tunnel, receiving")
	defer func() {
		_ = c.rpc.Close()
		c.onEnd(c.end.Load() == int32(pb.FromUpstream_OPEN) && !c.closed.Load())
	}()
	defer func() { _ = c.far.Close() }()
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return
		}
		if len(m.Data) > 0 {
			if _, err := c.far.Write(m.Data); err != nil {
				return
			}
		}
		if m.End != pb.FromUpstream_OPEN {
			c.end.Store(int32(m.End))
			return
		}
	}
}

// Read implements net.Conn. It returns io.EOF only if the upstream closed its connection in order.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a connection whose tunnel has ended.
func (c *conn) endError() error {
	switch pb.FromUpstream_End(c.end.Load()) {
	case pb.FromUpstream_CLOSED:
		return io.EOF
	case pb.FromUpstream_BROKEN:
		return fmt.Errorf("upstream's connection at instance %s broke: %w", c.via, syscall.ECONNRESET)
	default:
		return fmt.Errorf("%w: %s: %w", ErrLost, c.via, syscall.ECONNRESET)
	}
}

// Close implements net.Conn. The other instance then closes its connection to the upstream.
func (c *conn) Close() error {
	c.closed.Store(true)
	err := c.Conn.Close()
	_ = c.rpc.Close()
	return err
}
