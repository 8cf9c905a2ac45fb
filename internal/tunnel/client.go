package tunnel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/tunnel/tunnelpb"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// nextInstanceDelay is how long an instance may take to connect before the next one is asked as well.
const nextInstanceDelay = 50 * time.Millisecond

// ClientDeps are the dependencies of a Client.
type ClientDeps struct {
	Self     fleet.InstanceID
	Domain   fleet.DomainID
	Regions  map[fleet.DomainID]fleet.RegionID // empty: all failure domains are in one region
	Snapshot func() *catalog.Snapshot
	Metrics  *metrics.Registry
}

// Client connects to upstreams through other instances. It implements upstream.Bypass.
type Client struct {
	deps    ClientDeps
	chooser *chooser
}

var _ upstream.Bypass = (*Client)(nil)

// NewClient returns a client without tunnels.
func NewClient(d ClientDeps) *Client { return &Client{deps: d, chooser: newChooser()} }

// opening is the result of an attempt to open a tunnel.
type opening struct {
	via  fleet.InstanceID
	conn *conn
	err  error
}

// Dial connects to the upstream at addr through the first of a few instances that succeeds.
func (c *Client) Dial(ctx context.Context, addr string) (net.Conn, error) {
	chosen := c.chooser.choose(time.Now(), c.members(addr), c.deps.Domain)
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan opening, len(chosen))
	next, askedAt := 0, map[fleet.InstanceID]time.Time{}
	ask := func() {
		if next < len(chosen) {
			m := chosen[next]
			next++
			askedAt[m.ID] = time.Now()
			go func() { results <- c.open(ctx, m, addr) }()
		}
	}
	defer func() {
		cancel()
		c.giveUp(askedAt)
		go closeLate(results, len(askedAt))
	}()
	ticker := time.NewTicker(nextInstanceDelay)
	defer ticker.Stop()
	err := ErrNoInstance
	for ask(); len(askedAt) > 0; {
		select {
		case r := <-results:
			delete(askedAt, r.via)
			if r.err == nil {
				c.deps.Metrics.Counter("connections_via_instances").Inc(1)
				return r.conn, nil
			}
			err = errors.Join(err, r.err)
			ask()
		case <-ticker.C:
			ask()
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		}
	}
	return nil, err
}

// closeLate closes tunnels that open after another one was taken.
func closeLate(results <-chan opening, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// members returns the instances that may connect to the upstream at addr for this one: those in the upstream's region.
// Requests that must stay in certain regions only get upstreams there, and their bodies must not pass through others.
func (c *Client) members(addr string) []*catalog.Member {
	snap := c.deps.Snapshot()
	u := snap.UpstreamByAddr(addr)
	var out []*catalog.Member
	for _, m := range snap.Members {
		if m.ID != c.deps.Self && (u == nil || c.deps.Regions[m.Domain] == c.deps.Regions[u.Domain]) {
			out = append(out, m)
		}
	}
	return out
}

// open asks one instance to connect to the upstream at addr.
func (c *Client) open(ctx context.Context, m *catalog.Member, addr string) opening {
	defer crash.Report("tunnel, opening")
	tunnel, err := c.tryOpen(ctx, m, addr)
	if err != nil {
		if ctx.Err() == nil && !upstream.IsShortage(err) {
			c.chooser.failed(time.Now(), m.ID)
		}
		return opening{via: m.ID, err: fmt.Errorf("through %s: %w", m.ID, err)}
	}
	return opening{via: m.ID, conn: tunnel}
}

// giveUp records that the instances asked at these times haven't answered. One that took long has failed: it may have lost
// power, and would delay the next request as well.
func (c *Client) giveUp(askedAt map[fleet.InstanceID]time.Time) {
	now := time.Now()
	for id, at := range askedAt {
		if now.Sub(at) >= nextInstanceDelay/2 {
			c.chooser.failed(now, id)
		}
	}
}

// tryOpen asks an instance to connect to the upstream at addr, and returns the tunnel if it did.
func (c *Client) tryOpen(ctx context.Context, m *catalog.Member, addr string) (*conn, error) {
	raw, err := upstream.DialTCP(ctx, m.Addr)
	if err != nil {
		return nil, err
	}
	rpc := peer.NewConn(raw)
	stop := context.AfterFunc(ctx, func() { _ = rpc.Close() })
	stream, err := pb.NewDRPCTunnelClient(rpc).Open(context.Background())
	if err == nil {
		err = requestTunnel(stream, addr)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	c.chooser.opened(time.Now(), m.ID)
	return newConn(rpc, stream, m.ID, func(lost bool) {
		c.chooser.closed(m.ID)
		if lost {
			c.chooser.failed(time.Now(), m.ID)
		}
	}), nil
}

// requestTunnel sends the first message of a tunnel and reads its result.
func requestTunnel(stream pb.DRPCTunnel_OpenClient, addr string) error {
	if err := stream.Send(&pb.ToUpstream{Addr: addr}); err != nil {
		return err
	}
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	if m.Result != pb.FromUpstream_CONNECTED {
		return fmt.Errorf("not connected: %s", m.Result)
	}
	return nil
}
