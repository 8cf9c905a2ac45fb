package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/silence"
)

// ledger counts what watchdogs have taken and not given back.
type ledger struct {
	mu              sync.Mutex
	retries, grants int // guarded by mu
}

// add adds to both counts.
func (l *ledger) add(retries, grants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries, l.grants = l.retries+retries, l.grants+grants
}

// held returns the retries and grants that are held.
func (l *ledger) held() (retries, grants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retries, l.grants
}

// heldGrant is a Grant that its ledger counts until its release.
type heldGrant struct {
	Grant
	ledger *ledger
}

// Release implements Grant.
func (g heldGrant) Release(Outcome, fleet.UpstreamID) { g.ledger.add(0, -1) }

// silentWatchdog returns a watchdog whose upstream has been silent for too long, and the context of its send. refusal is the
// answer to its question for another place; nil: a grant.
func silentWatchdog(l *ledger, refusal error) (*watchdog, context.Context) {
	ctx, cancel := context.WithCancelCause(context.Background())
	w := &watchdog{
		requestCtx: context.Background(), cancel: cancel, wait: silence.NewWait(time.Now().Add(-time.Hour), time.Hour, time.Hour, 1),
		take: func() (func(), bool) { l.add(1, 0); return func() { l.add(-1, 0) }, true },
		place: func(ctx context.Context, _ time.Time) (Grant, error) {
			time.Sleep(time.Second)
			if refusal != nil {
				return nil, refusal
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			l.add(0, 1)
			return heldGrant{ledger: l}, nil
		},
	}
	w.timer = time.AfterFunc(time.Hour, func() {})
	return w, ctx
}

// Guards against retry budget and places that are lost for the whole window: the watchdog takes them before it ends a send, and
// the send that they were taken for may not follow, as when the caller goes away.
func TestRetryTakenForNoSendIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		taken := &ledger{}
		w, ctx := silentWatchdog(taken, nil)
		w.check()
		is.NoErr(ctx.Err()) // until the place is granted
		time.Sleep(2 * time.Second)
		is.True(errors.Is(context.Cause(ctx), errOverdue))
		retries, grants := taken.held()
		is.Equal(retries, 1)
		is.Equal(grants, 1)
		l := &lifecycle{watchdog: w}
		l.prepaid = l.watchdog.stop()
		is.True(l.watchdog.stop() == nil) // only once
		grant, err := l.place(PlacementRequest{})
		is.NoErr(err)
		giveBack, ok := l.takeRetry() // as for a send that could not be made
		is.True(ok)
		giveBack()
		grant.Release(NotSent, "")
		retries, grants = taken.held()
		is.Equal(retries, 0)
		is.Equal(grants, 0)
		taken.add(1, 1)
		l.prepaid = &nextSend{giveBack: func() { taken.add(-1, 0) }, grant: heldGrant{ledger: taken}}
		l.returnPrepaid()
		l.returnPrepaid()
		retries, grants = taken.held()
		is.Equal(retries, 0)
		is.Equal(grants, 0)
	})
}

// Guards against more retries in a window than the budget allows: those that waited long for their places would count before
// their sends. One that the budget doesn't allow any more doesn't end its send.
func TestRetryCountsWhenItsSendFollows(t *testing.T) {
	for _, stillAllowed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			taken := &ledger{}
			w, ctx := silentWatchdog(taken, nil)
			take, begun, last := w.take, time.Now(), time.Time{}
			w.take = func() (func(), bool) {
				if last = time.Now(); last.After(begun) && !stillAllowed {
					return nil, false
				}
				return take()
			}
			w.check()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			is.Equal(last.Sub(begun), time.Second) // when the place was granted
			is.Equal(w.hasExpired(), stillAllowed)
			is.Equal(ctx.Err() != nil, stillAllowed)
			retries, grants := taken.held()
			held := 0
			if stillAllowed {
				held = 1
			}
			is.Equal(retries, held)
			is.Equal(grants, held)
			w.stop()
		})
	}
}

// Guards against retry budget that is lost when a request ends without its watchdog having been stopped, as after a panic, and
// when a second send that never reached its upstream is found silent.
func TestRetriesOfRequestThatEndsAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		taken := &ledger{}
		silent := func() *watchdog {
			w, _ := silentWatchdog(taken, nil)
			w.check()
			time.Sleep(2 * time.Second)
			return w
		}
		l := &lifecycle{watchdog: silent()}
		l.stopWatchdog()
		l.watchdog = silent()
		retries, grants := taken.held()
		is.Equal(retries, 2)
		is.Equal(grants, 2)
		l.stopWatchdog()
		retries, grants = taken.held()
		is.Equal(retries, 1) // one send can follow
		is.Equal(grants, 1)
		l.returnPrepaid()
		retries, grants = taken.held()
		is.Equal(retries, 0)
		is.Equal(grants, 0)
	})
}

// Guards against a send that is ended although no other place is granted, its upstream is heard meanwhile, or it has ended.
func TestSendIsEndedOnlyForAnotherPlace(t *testing.T) {
	refused := fault.New(fault.NoUpstream, "none")
	for name, c := range map[string]struct {
		refusal   error
		meanwhile func(*watchdog)
	}{
		"refused": {refused, func(*watchdog) {}},
		"event":   {nil, func(w *watchdog) { w.onEvent(time.Now(), true) }},
		"stopped": {nil, func(w *watchdog) { w.cancel = func(error) {}; w.stop() }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				taken := &ledger{}
				w, ctx := silentWatchdog(taken, c.refusal)
				w.check()
				time.Sleep(time.Millisecond)
				c.meanwhile(w)
				time.Sleep(2 * time.Second)
				is.NoErr(ctx.Err())
				retries, grants := taken.held()
				is.Equal(retries, 0)
				is.Equal(grants, 0)
				is.True(w.next == nil)
				w.timer.Stop()
			})
		})
	}
}
