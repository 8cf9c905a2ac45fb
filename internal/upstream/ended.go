package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/damaskshelf/damaskshelf/internal/crash"
)

// refusalTimeout bounds the check whether an address refuses connections. The end of a connection has just arrived from there,
// so that an answer takes a round trip.
const refusalTimeout = 100 * time.Millisecond

// BrokeOff reports whether an exchange ended with this error because the upstream closed or reset its connection, or the
// network did so in its place.
func BrokeOff(err error) bool {
	return errors.Is(err, ErrTruncated) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refuses reports whether addr refuses connections over this instance's own path. After an answer that broke off, this shows
// that the upstream's process has ended; if addr accepts connections, only the answer broke off.
func (c *Client) Refuses(ctx context.Context, addr string) bool {
	p := c.pool.paths
	return shareCheck(ctx, &p.refusalChecks, addr, p.refuses)
}

// shareCheck returns the result of check for an address, or false if ctx ends before. Calls for one address at one moment share
// a check: many answers of one upstream break off together.
func shareCheck(ctx context.Context, checks *singleflight.Group, addr string, check func(addr string) bool) bool {
	result := checks.DoChan(addr, func() (any, error) {
		defer crash.Report("check of an upstream")
		return check(addr), nil
	})
	select {
	case r := <-result:
		ok, _ := r.Val.(bool)
		return ok
	case <-ctx.Done():
		return false
	}
}

// refuses connects to addr directly, and reports whether the connection is refused.
func (p *paths) refuses(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	conn, err := p.direct(ctx, addr)
	if err == nil {
		p.pool.putNew(addr, conn)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
