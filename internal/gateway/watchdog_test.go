package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/silence"
)

// Guards against retry budget that is lost for the whole window: the watchdog takes a retry before it ends a send, and the
// send that it was taken for may not follow, as when the caller goes away.
func TestRetryTakenForNoSendIsGivenBack(t *testing.T) {
	is := is.New(t)
	taken := 0
	ctx, cancel := context.WithCancelCause(context.Background())
	w := &watchdog{
		cancel: cancel, wait: silence.NewWait(time.Now().Add(-time.Hour), time.Hour, time.Hour, 1),
		take: func() (func(), bool) { taken++; return func() { taken-- }, taken <= 1 },
	}
	w.timer = time.AfterFunc(time.Hour, func() {})
	w.check()
	is.True(errors.Is(context.Cause(ctx), errOverdue))
	is.Equal(taken, 1)
	l := &lifecycle{watchdog: w}
	l.prepaid = l.watchdog.stop()
	is.True(l.watchdog.stop() == nil) // only once
	giveBack, ok := l.takeRetry()     // as for a send that could not be made
	is.True(ok)
	giveBack()
	is.Equal(taken, 0)
	l.prepaid = func() { taken-- }
	taken++
	l.returnPrepaid()
	l.returnPrepaid()
	is.Equal(taken, 0)
}

// Guards against retry budget that is lost when a request ends without its watchdog having been stopped, as after a panic, and
// when a second send that never reached its upstream is found silent.
func TestRetriesOfRequestThatEndsAreGivenBack(t *testing.T) {
	is := is.New(t)
	taken := 0
	silent := func() *watchdog {
		w := &watchdog{
			cancel: func(error) {}, wait: silence.NewWait(time.Now().Add(-time.Hour), time.Hour, time.Hour, 1),
			take: func() (func(), bool) { taken++; return func() { taken-- }, true },
		}
		w.timer = time.AfterFunc(time.Hour, func() {})
		w.check()
		return w
	}
	l := &lifecycle{watchdog: silent()}
	l.stopWatchdog()
	l.watchdog = silent()
	is.Equal(taken, 2)
	l.stopWatchdog()
	is.Equal(taken, 1) // one send can follow
	l.returnPrepaid()
	is.Equal(taken, 0)
}
