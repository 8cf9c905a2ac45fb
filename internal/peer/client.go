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
	// HeartbeatTimeout is the timeout of one heartbeat including its dial. It is far shorter than
	// member.DefaultTrustDuration, for which an instance may act on its state after an exchange. A heartbeat that fails
	// on a silent connection therefore leaves time for another one.
	HeartbeatTimeout = 400 * time.Millisecond
	// PullTimeout is the timeout of one pull of a configuration including its dial.
	PullTimeout = time.Second
	// maxConnAge is the age at which a kept connection is replaced. Network devices between the peers drop the state
	// of old connections first.
	maxConnAge = time.Minute
)

// ErrClosed is the error of heartbeats on a closed client.
var ErrClosed = errors.New("peer client is closed")

// Client calls peers. It keeps one connection to each address for heartbeats and opens another one for each pull,
// because pulls are rare and large and would delay heartbeats. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	conns  map[string]*peerConn // guarded by mu
	closed bool                 // guarded by mu
}

// peerConn is the kept connection to one address. One call at a time uses it: the holder of the token.
type peerConn struct {
	token    chan struct{} // capacity 1; contains the token while no call uses the connection
	conn     *drpcconn.Conn
	openedAt time.Time
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*peerConn{}} }

// Heartbeat sends d to the peer at addr and returns the peer's digest. It fails after HeartbeatTimeout.
func (c *Client) Heartbeat(ctx context.Context, addr string, d relay.Digest) (relay.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	pc, err := c.peerConn(addr)
	if err != nil {
		return relay.Digest{}, err
	}
	select {
	case <-pc.token:
	case <-ctx.Done():
		return relay.Digest{}, ctx.Err()
	}
	defer func() { pc.token <- struct{}{} }()
	conn, err := pc.connect(ctx, addr)
	if err != nil {
		return relay.Digest{}, err
	}
	reply, err := peerpb.NewDRPCPeerClient(conn).Heartbeat(ctx, encodeDigest(d))
	if err != nil {
		// A connection can stay silent while new ones work, if a network device between the peers has dropped its
		// state: no answer and no error arrives. The call then fails at its deadline. Closing the connection makes
		// the next call dial a new one, so only one exchange is lost.
		pc.close()
		return relay.Digest{}, err
	}
	return decodeDigest(reply)
}

// Pull returns the configuration of the peer at addr. If its version is not higher than above, Packed is empty. Pull
// fails after PullTimeout.
func (c *Client) Pull(ctx context.Context, addr string, above uint64) (relay.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, PullTimeout)
	defer cancel()
	conn, err := Dial(ctx, addr)
	if err != nil {
		return relay.Config{}, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCPeerClient(conn).Pull(ctx, &peerpb.PullRequest{Above: above})
	if err != nil {
		return relay.Config{}, err
	}
	return relay.Config{Version: reply.Version, Packed: reply.Packed}, nil
}

// CloseExcept closes the kept connections to all addresses but addrs. It waits for the calls that use them.
func (c *Client) CloseExcept(addrs []string) {
	c.mu.Lock()
	var unused []*peerConn
	for addr, pc := range c.conns {
		if !slices.Contains(addrs, addr) {
			unused = append(unused, pc)
			delete(c.conns, addr)
		}
	}
	c.mu.Unlock()
	closeAll(unused)
}

// Close closes every kept connection after the call that uses it, and makes new heartbeats fail with ErrClosed.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseExcept(nil)
}

// closeAll closes the connections, each after the call that uses it.
func closeAll(conns []*peerConn) {
	for _, pc := range conns {
		<-pc.token
		pc.close()
		pc.token <- struct{}{}
	}
}

// peerConn returns the kept connection to addr, which is created without dialing if there is none.
func (c *Client) peerConn(addr string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	pc := c.conns[addr]
	if pc == nil {
		pc = &peerConn{token: make(chan struct{}, 1)}
		pc.token <- struct{}{}
		c.conns[addr] = pc
	}
	return pc, nil
}

// connect returns the open connection, or dials a new one if there is none or it is closed or older than maxConnAge.
// The caller holds the token.
func (pc *peerConn) connect(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	if pc.conn != nil && (isClosed(pc.conn) || time.Since(pc.openedAt) > maxConnAge) {
		pc.close()
	}
	if pc.conn != nil {
		return pc.conn, nil
	}
	conn, err := Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	pc.conn, pc.openedAt = conn, time.Now()
	return conn, nil
}

// close closes the connection, if there is one. The caller holds the token.
func (pc *peerConn) close() {
	if pc.conn != nil {
		_ = pc.conn.Close()
		pc.conn = nil
	}
}

// isClosed reports whether the connection is closed, without blocking.
func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// Dial connects to the instance at addr. Each write has a timeout, and the size of a received message is limited.
func Dial(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	return DialWithReadHook(ctx, addr, nil)
}

// DialWithReadHook is Dial, but calls onRead whenever bytes arrive, even if the message is not complete yet. onRead may
// be nil.
func DialWithReadHook(ctx context.Context, addr string, onRead func()) (*drpcconn.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewConn(&deadlineConn{Conn: raw, onRead: onRead}), nil
}

// NewConn returns an RPC connection over raw. The size of a received message is limited.
func NewConn(raw net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}})
}
