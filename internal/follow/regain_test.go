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

// Guards against an instance that rejects requests right after it resumes, and against requests that wait at an
// isolated one.
func TestRegainingOnlyShortlyAfterTrustEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, err := New(Deps{Log: hclog.NewNullLogger()})
		is.NoErr(err)
		is.True(!f.Regaining()) // it was never trusted

		time.Sleep(time.Minute)
		f.guard.Tick(f.now())
		f.trustEnd.Store(int64(f.now()))
		is.True(f.Regaining())
		time.Sleep(regainTimeout)
		is.True(!f.Regaining())

		// A pause ends the earlier trust. What counts is the time since its end,
		// not when the earlier trust would have ended.
		f.guard.Tick(f.now())
		f.trustedUntil.Store(int64(f.now().Add(time.Hour)))
		time.Sleep(time.Minute)
		is.True(f.Regaining())
		f.handleEvent(func(now decide.Instant) []relay.Effect {
			f.guard.Tick(now)
			is.Equal(f.trustedUntil.Load(), int64(0)) // ended before the guard accepts requests again
			return nil
		})
		is.True(f.Regaining())
		time.Sleep(regainTimeout)
		f.guard.Tick(f.now())
		is.True(!f.Regaining())
	})
}
