// Package gate holds the readiness of an instance and counts its requests in flight. A planned stop first makes the
// instance unready, refuses new requests only after the balancer's lag, and is done when no request is in flight.
package gate

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// state is the state of a Gate, as stored in an atomic.Int32.
type state = int32

const (
	serving  state = iota
	unready        // not ready, but requests that the balancer still sends are served
	refusing       // new requests are refused with fault.Stopping
)

// Gate admits requests and counts them. It is safe for concurrent use. The zero value is ready and admits requests.
type Gate struct {
	state    atomic.Int32
	inFlight atomic.Int64
	idle     atomic.Pointer[chan struct{}] // set by AwaitIdle; closed when no request is in flight
}

// CountUntilAnswered counts a request of a caller's connection as in flight until its answer, a refusal too, has left the
// instance. It returns false if this instance has closed the connection, so that the request must not be passed on.
func (g *Gate) CountUntilAnswered(c net.Conn, request string) (open bool) {
	g.inFlight.Add(1)
	return callerconn.Begin(c, request, g.Leave)
}

// Admit returns an error if new requests are refused. The request must be counted before: otherwise a stop could see a
// count of zero while a request that was admitted earlier is about to be counted, and would cut it off.
func (g *Gate) Admit() error {
	if g.state.Load() == refusing {
		return fault.New(fault.Stopping, "this instance is stopping")
	}
	return nil
}

// Enter counts and admits a request. After a nil error the caller must call Leave.
func (g *Gate) Enter() error {
	g.inFlight.Add(1)
	if err := g.Admit(); err != nil {
		g.Leave()
		return err
	}
	return nil
}

// Leave ends a request that is counted as in flight.
func (g *Gate) Leave() {
	if g.inFlight.Add(-1) > 0 {
		return
	}
	if ch := g.idle.Load(); ch != nil && g.idle.CompareAndSwap(ch, nil) {
		close(*ch)
	}
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Ready reports whether the balancer should send requests.
func (g *Gate) Ready() bool { return g.state.Load() == serving }

// MarkUnready makes the instance unready; requests are still served.
func (g *Gate) MarkUnready() { g.state.CompareAndSwap(serving, unready) }

// RefuseNew makes Enter refuse new requests from now on.
func (g *Gate) RefuseNew() { g.state.Store(refusing) }

// AwaitIdle waits until no request is in flight; call it after RefuseNew. It returns ctx's error if ctx ends first.
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
