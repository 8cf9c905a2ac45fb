package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

// The retry budget of the fleet, and the load of the plays.
const (
	budgetWindow    = 10 * time.Second
	budgetRatio     = 0.2 // as in the daemons' settings
	budgetSlack     = 106
	budgetPlay      = 24 * time.Second
	failingPerS     = 40 // requests a second of all callers
	rejectedPercent = 30 // of the arrivals; the others get 500
	failingPrefix   = "failing-"
)

// failingRun is a streamRun whose workers fail each request of its callers, so that every one would be sent again.
type failingRun struct {
	*streamRun
	begun []time.Time // when callers sent a request; guarded by mu
}

// Guards against a storm of retries from a fleet that has lost count of them: instances that stop, end or pause, alone or
// together, and instances whose entries are missing from the store.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, play := range []struct {
		name    string
		disturb func(r *failingRun, end time.Time)
	}{
		{"stopped_in_turn", func(r *failingRun, end time.Time) { r.restartInTurn(syscall.SIGTERM, end) }},
		{"killed_in_turn", func(r *failingRun, end time.Time) { r.restartInTurn(syscall.SIGKILL, end) }},
		{"killed_together", (*failingRun).killTogether},
		{"paused_together", (*failingRun).pauseTogether},
		{"entries_missing", (*failingRun).removeEntries},
	} {
		t.Run(play.name, func(t *testing.T) {
			r := &failingRun{streamRun: newStreamRunWith(t, nil, budgetSlack)}
			t.Parallel()
			for _, w := range r.workers {
				w.SetReply(r.fail)
			}
			r.startDaemons()
			for i := range r.daemons {
				r.callers.Go(func() { r.sendFailing(i) })
			}
			play.disturb(r, time.Now().Add(budgetPlay))
			r.finish()
			r.checkBudget()
		})
	}
}

// fail answers a request in place of a worker.
func (r *failingRun) fail(c *standin.WorkerConn, a standin.Arrival) bool {
	r.recordSend(a)
	time.Sleep(5 * time.Millisecond)
	switch {
	case !strings.HasPrefix(a.AttemptID(), failingPrefix):
		return standin.OK("ok")(c, a)
	case rand.IntN(100) < rejectedPercent:
		return standin.NotExecuted(c, a)
	default:
		return standin.Status(500, "failed")(c, a)
	}
}

// sendFailing sends requests to random daemons, one of as many callers as there are daemons. It doesn't wait for answers.
func (r *failingRun) sendFailing(number int) {
	random := rand.New(rand.NewPCG(*firstSeed, 500+uint64(number)))
	every := time.NewTicker(time.Duration(len(r.daemons)) * time.Second / failingPerS)
	defer every.Stop()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		case <-every.C:
		}
		d, id := r.daemons[random.IntN(len(r.daemons))], fmt.Sprintf("%s%d-%d", failingPrefix, number, i)
		r.mu.Lock()
		r.begun = append(r.begun, time.Now())
		r.mu.Unlock()
		r.callers.Go(func() { getStatus(d, "/quick/x", id) })
	}
}

// restartInTurn ends one daemon after the other by a signal and starts it again.
func (r *failingRun) restartInTurn(s syscall.Signal, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		d := r.daemons[n%len(r.daemons)]
		d.signal(s)
		d.awaitExit(recoveryTimeout)
		d.start(r.t)
		time.Sleep(300 * time.Millisecond)
	}
}

// killTogether kills all daemons and starts them again, several times in a window.
func (r *failingRun) killTogether(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(3500 * time.Millisecond)
		r.signalAll(syscall.SIGKILL)
		for _, d := range r.daemons {
			d.awaitExit(recoveryTimeout)
			d.start(r.t)
		}
	}
}

// pauseTogether pauses all daemons again and again.
func (r *failingRun) pauseTogether(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+r.rand.IntN(2000)) * time.Millisecond)
		r.signalAll(syscall.SIGSTOP)
		time.Sleep(time.Duration(300+r.rand.IntN(2000)) * time.Millisecond)
		r.signalAll(syscall.SIGCONT)
	}
}

// removeEntries removes the daemons' entries from the store again and again. They write them again.
func (r *failingRun) removeEntries(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(1500 * time.Millisecond)
		for _, d := range r.daemons {
			r.store.Remove("damaskshelf-instances", d.name)
		}
	}
}

// checkBudget reports the windows in which more arrivals repeat a request than the budget allows. A window's requests are those
// of that window, of the one before it or of the one half a window before it, whichever has most.
func (r *failingRun) checkBudget() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var repeats []time.Time
	for id, sends := range r.sends {
		if strings.HasPrefix(id, failingPrefix) {
			for _, s := range sends[1:] {
				repeats = append(repeats, s.arrivedAt)
			}
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	over, worst := 0, ""
	mostOver := -float64(len(r.begun))
	for _, from := range repeats {
		requests := max(inWindow(r.begun, from), inWindow(r.begun, from.Add(-budgetWindow)), inWindow(r.begun, from.Add(-budgetWindow/2)))
		allowed, got := budgetRatio*float64(requests)+budgetSlack, float64(inWindow(repeats, from))
		if got > allowed {
			over++
		}
		if got-allowed > mostOver {
			mostOver, worst = got-allowed, fmt.Sprintf("%.0f repeats in %s, %.0f allowed", got, budgetWindow, allowed)
		}
	}
	r.t.Logf("%d requests, %d repeats; worst window: %s", len(r.begun), len(repeats), worst)
	if over > 0 {
		r.t.Errorf("%d windows have more repeats than allowed; the worst: %s", over, worst)
	}
}

// inWindow returns how many of the times are in the window that begins at from.
func inWindow(all []time.Time, from time.Time) (n int) {
	for _, at := range all {
		if !at.Before(from) && at.Sub(from) < budgetWindow {
			n++
		}
	}
	return n
}
