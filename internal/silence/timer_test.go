package silence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fleet without a dispatcher after a pause of all: each side of a session finds that nothing came for longer
// than the timeout, and ends the session, before it has read what did come.
func TestTimerDoesNotCountOwnPause(t *testing.T) {
	is := is.New(t)
	ended := 0
	const timeout = time.Hour // no check comes by itself
	timer := AfterFunc(timeout, timeout, 4, func() { ended++ })
	defer timer.Stop()
	checkAt := func(late time.Duration) { timer.check(timer.wait.NextCheck().Add(late)) }
	checkAt(0)
	checkAt(10 * timeout) // paused
	is.Equal(ended, 0)
	for range 3 {
		checkAt(0)
	}
	is.Equal(ended, 0)
	checkAt(0) // nothing came for a whole timeout after the pause
	is.Equal(ended, 1)
	checkAt(0)
	is.Equal(ended, 1) // only once
}

// Guards against a session that goes on forever although the other side lost power, or that ends although something arrives.
func TestTimerEndsOnSilenceOnly(t *testing.T) {
	const timeout = 200 * time.Millisecond
	ended := make(chan struct{}, 2)
	timer := AfterFunc(timeout/2, timeout, 3, func() { ended <- struct{}{} })
	for range 5 {
		timer.Arrived()
		select {
		case <-ended:
			t.Fatal("ended although something arrived")
		case <-time.After(timeout / 10):
		}
	}
	select {
	case <-ended:
	case <-time.After(20 * timeout):
		t.Fatal("did not end")
	}
	stopped := AfterFunc(timeout/10, timeout, 3, func() { ended <- struct{}{} })
	stopped.Stop()
	select {
	case <-ended:
		t.Fatal("ended after Stop")
	case <-time.After(timeout):
	}
}
