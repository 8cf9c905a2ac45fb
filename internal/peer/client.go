package peer

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/peer/peerpb"
)

const (
	// HeartbeatTimeout bounds one heartbeat with its dial. It is below decide/member's bound on how long
	// an instance may go unheard, so that a silent connection costs one exchange and not the bound.
	HeartbeatTimeout = 400 * time.Millisecond
	// PullTimeout bounds one pull of a configuration with its dial.
	PullTimeout = time.Second
	// maxAge replaces a kept connection: what stands between the ends forgets old ones first.
	maxAge = time.Minute
)

// ErrClosed answers calls on a closed client.
var ErrClosed = errors.New("peer client is closed")

// Client calls peers. It keeps one connection for the heartbeats of each address and opens another for
// each pull: pulls are rare and large, and would hold heartbeats up.
type Client struct {
	mu     sync.Mutex
	kept   map[string]*lane // guarded by mu
	closed bool             // guarded by mu
}

// lane is the kept connection to one address. One call at a time uses it.
type lane struct {
	turn chan struct{} // holds one token while the lane is free
	conn *drpcconn.Conn
	born time.Time
}

// NewClient gives a client without connections.
func NewClient() *Client { return &Client{kept: map[string]*lane{}} }

// Heartbeat exchanges digests with the peer at addr, within HeartbeatTimeout.
func (c *Client) Heartbeat(ctx context.Context, addr string, d relay.Digest) (relay.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	l, err := c.lane(addr)
	if err != nil {
		return relay.Digest{}, err
	}
	select {
	case <-l.turn:
	case <-ctx.Done():
		return relay.Digest{}, ctx.Err()
	}
	defer func() { l.turn <- struct{}{} }()
	conn, err := l.open(ctx, addr)
	if err != nil {
		return relay.Digest{}, err
	}
	answer, err := peerpb.NewDRPCPeerClient(conn).Heartbeat(ctx, encodeDigest(d))
	if err != nil {
		// A connection can go silent for good while new ones work: what stands between the ends has lost
		// track of it, and nothing ever comes back. The call's deadline shows it, and the next call dials
		// anew, so one exchange is lost and not all of them.
		l.drop()
		return relay.Digest{}, err
	}
	return decodeDigest(answer)
}

// Pull asks the peer at addr for its configuration if it is above version, within PullTimeout.
func (c *Client) Pull(ctx context.Context, addr string, above uint64) (relay.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, PullTimeout)
	defer cancel()
	conn, err := Dial(ctx, addr)
	if err != nil {
		return relay.Config{}, err
	}
	defer func() { _ = conn.Close() }()
	answer, err := peerpb.NewDRPCPeerClient(conn).Pull(ctx, &peerpb.PullRequest{Above: above})
	if err != nil {
		return relay.Config{}, err
	}
	return relay.Config{Version: answer.Version, Packed: answer.Packed}, nil
}

// Keep closes the connections to all but these addresses.
func (c *Client) CloseExcept(addrs []string) {
	c.mu.Lock()
	var gone []*lane
	for addr, l := range c.kept {
		if !slices.Contains(addrs, addr) {
			gone = append(gone, l)
			delete(c.kept, addr)
		}
	}
	c.mu.Unlock()
	dropAll(gone)
}

// Close closes every connection; calls that run end with their own.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseExcept(nil)
}

// dropAll closes the lanes' connections, each after the call that uses it.
func dropAll(lanes []*lane) {
	for _, l := range lanes {
		<-l.turn
		l.drop()
		l.turn <- struct{}{}
	}
}

func (c *Client) lane(addr string) (*lane, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	l := c.kept[addr]
	if l == nil {
		l = &lane{turn: make(chan struct{}, 1)}
		l.turn <- struct{}{}
		c.kept[addr] = l
	}
	return l, nil
}

// open gives the kept connection, or a new one when it is closed or old. The turn is held.
func (l *lane) open(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	if l.conn != nil && (isClosed(l.conn) || time.Since(l.born) > maxAge) {
		l.drop()
	}
	if l.conn != nil {
		return l.conn, nil
	}
	conn, err := Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	l.conn, l.born = conn, time.Now()
	return conn, nil
}

func (l *lane) drop() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// Dial connects to an instance at addr. Each write is bounded, and so is the size of a message.
func Dial(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	return DialWithReadHook(ctx, addr, nil)
}

// DialHeard is Dial; heard is called whenever bytes come, also those of a message that isn't whole yet. nil: nobody asks.
func DialWithReadHook(ctx context.Context, addr string, heard func()) (*drpcconn.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(&timedConn{Conn: raw, heard: heard}, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}}), nil
}
