package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
)

// Guards against callers being turned away by an instance that wakes up, and against waits at one that is cut off.
func TestTrustIsRegainedRightAfterItsEndOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, err := New(Deps{Log: hclog.NewNullLogger()})
		is.NoErr(err)
		is.True(!f.Regaining()) // it never was trusted

		time.Sleep(time.Minute)
		f.guard.Tick(f.now())
		f.lost.Store(int64(f.now()))
		is.True(f.Regaining())
		time.Sleep(regainTime)
		is.True(!f.Regaining())

		// After a pause nothing of before is trusted, and its end counts, not the end of the trust of before.
		f.guard.Tick(f.now())
		f.trusted.Store(int64(f.now().Add(time.Hour)))
		time.Sleep(time.Minute)
		is.True(f.Regaining())
		f.handle(func(now decide.Instant) []relay.Effect {
			f.guard.Tick(now)
			is.Equal(f.trusted.Load(), int64(0)) // before the guard lets requests pass
			return nil
		})
		is.True(f.Regaining())
		time.Sleep(regainTime)
		f.guard.Tick(f.now())
		is.True(!f.Regaining())
	})
}
