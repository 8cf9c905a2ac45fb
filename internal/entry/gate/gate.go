// Package gate is an instance's readiness and its count of requests in flight. A planned stop goes
// through it: not ready first, refusing only after the balancer's lag, done when nothing is in flight.
package gate

import (
	"context"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/fault"
)

type state = int32

const (
	serving  state = iota
	unready        // readiness says no, but requests that the balancer still sends are served
	refusing       // new requests are refused as Stopping
)

// Gate is safe for concurrent use. The zero value serves.
type Gate struct {
	state    atomic.Int32
	inFlight atomic.Int64
	idle     atomic.Pointer[chan struct{}] // closed when in flight falls to zero while refusing
}

// Enter counts a request in, or refuses it. Leave must follow a nil error.
func (g *Gate) Enter() error {
	// Counted before the state is read: a stop that sees a zero count after it began to refuse can't
	// miss a request that read the state earlier.
	g.inFlight.Add(1)
	if g.state.Load() == refusing {
		g.Leave()
		return fault.New(fault.Stopping, "this instance is stopping")
	}
	return nil
}

// Leave counts a request out.
func (g *Gate) Leave() {
	if g.inFlight.Add(-1) > 0 {
		return
	}
	if ch := g.idle.Load(); ch != nil && g.idle.CompareAndSwap(ch, nil) {
		close(*ch)
	}
}

// InFlight is the number of requests counted in.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Ready tells whether the balancer should send requests.
func (g *Gate) Ready() bool { return g.state.Load() == serving }

// Unready makes readiness say no; requests are still served.
func (g *Gate) MarkUnready() { g.state.CompareAndSwap(serving, unready) }

// Refuse refuses new requests from now on.
func (g *Gate) RefuseNew() { g.state.Store(refusing) }

// Drained waits until nothing is in flight; call it after Refuse. It gives ctx's error when that ends
// first.
func (g *Gate) AwaitIdle(ctx context.Context) error {
	ch := make(chan struct{})
	g.idle.Store(&ch)
	if g.inFlight.Load() == 0 {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
