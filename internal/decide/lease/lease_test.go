package lease_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
)

// TestMain fixes the seed, so that every run checks the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "4000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// cfg is the configuration that all instances in these tests use.
var cfg = lease.Config{TTL: 10 * time.Second, Margin: time.Second, OrderDelay: 3 * time.Second}

// storeObject is the lease object in the store.
type storeObject struct {
	version uint64
	holder  string
}

// delayedWrite is a write in transit to the store.
type delayedWrite struct {
	arrivesAt decide.Instant
	ifVersion uint64
	holder    string
}

// instance has its own clock, with an arbitrary start and a rate that deviates by up to 4%.
type instance struct {
	name   string
	lease  *lease.Lease
	offset int64 // in nanoseconds
	rate   int64 // in thousandths of real time
	fences []uint64
}

// now returns the time of the instance's clock at a global time.
func (p *instance) now(global decide.Instant) decide.Instant {
	return decide.Instant(p.offset + int64(global)/1000*p.rate)
}

// simulation is the store and the writes in transit, at a global time.
type simulation struct {
	t        *rapid.T
	now      decide.Instant
	object   storeObject
	inFlight []delayedWrite
	history  []storeObject // earlier objects, for stale reads
}

// applyArrived applies the writes that have arrived by now.
func (a *simulation) applyArrived() {
	for i := 0; i < len(a.inFlight); {
		if w := a.inFlight[i]; !a.now.Before(w.arrivesAt) {
			a.write(w.ifVersion, w.holder)
			a.inFlight = slices.Delete(a.inFlight, i, i+1)
			continue
		}
		i++
	}
}

// write writes the object if it still has that version, and reports whether it did.
func (a *simulation) write(ifVersion uint64, holder string) bool {
	if ifVersion != a.object.version {
		return false
	}
	a.object = storeObject{version: a.object.version + 1, holder: holder}
	a.history = append(a.history, a.object)
	return true
}

// step lets one instance perform its lease's next action, with lost responses, delayed writes and stale reads.
func (a *simulation) step(p *instance) {
	effect, reason := p.lease.Step(p.now(a.now))
	if !slices.Contains(lease.Reasons, reason) {
		a.t.Fatalf("reason %q is not listed", reason)
	}
	switch effect {
	case lease.Read:
		o := a.object
		if len(a.history) > 0 && rapid.IntRange(0, 4).Draw(a.t, "stale") == 0 {
			o = rapid.SampledFrom(a.history).Draw(a.t, "old")
		}
		p.lease.Observe(o.holder, o.version, p.now(a.now))
	case lease.Write:
		p.lease.BeginWrite(p.now(a.now))
		a.sendWrite(p)
	}
	if p.lease.Valid(p.now(a.now)) && !slices.Contains(p.fences, p.lease.Fence()) {
		p.fences = append(p.fences, p.lease.Fence())
	}
}

// sendWrite sends a write that may be lost, delayed, or have its response lost.
func (a *simulation) sendWrite(p *instance) {
	ifVersion := p.lease.IfVersion()
	switch rapid.IntRange(0, 5).Draw(a.t, "fate") {
	case 0: // takes effect, the response is lost
		a.write(ifVersion, p.name)
		p.lease.WriteUnknown()
	case 1: // arrives later, without a response
		delay := time.Duration(rapid.IntRange(1, 25).Draw(a.t, "delay")) * time.Second
		a.inFlight = append(a.inFlight, delayedWrite{arrivesAt: a.now.Add(delay), ifVersion: ifVersion, holder: p.name})
		p.lease.WriteUnknown()
	case 2: // never arrives
		p.lease.WriteUnknown()
	default:
		if a.write(ifVersion, p.name) {
			p.lease.WriteSucceeded(a.object.version, p.now(a.now))
		} else {
			p.lease.WriteConflicted()
		}
	}
}

// Two instances that both consider themselves the holder send contradictory orders to an engine. It happens if one
// was paused past the end of its lease, lost the response to a renewal, or had a write delayed. No schedule of
// pauses, lost responses, delayed writes, stale reads and differing clocks may show two holders at a time.
func TestNeverTwoHolders(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		a := &simulation{t: t}
		var instances []*instance
		for _, name := range []string{"a", "b", "c"} {
			instances = append(instances, &instance{
				name: name, lease: lease.New(cfg, name),
				offset: rapid.Int64Range(0, 1e12).Draw(t, "offset"), rate: rapid.Int64Range(960, 1040).Draw(t, "rate"),
			})
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			a.now = a.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			a.applyArrived()
			a.step(rapid.SampledFrom(instances).Draw(t, "party"))
			var holders []string
			for _, p := range instances {
				if p.lease.Valid(p.now(a.now)) {
					holders = append(holders, p.name)
					held++
				}
			}
			if len(holders) > 1 {
				t.Fatalf("%v hold the lease at once, version %d", holders, a.object.version)
			}
		}
		checkFencesUnique(t, instances)
	})
	is.New(t).True(held > 1000) // leases were held often enough for the check to be meaningful
}

// checkFencesUnique checks that no two holdings share a fence, and that those of an instance ascend.
func checkFencesUnique(t *rapid.T, instances []*instance) {
	seen := map[uint64]bool{}
	for _, p := range instances {
		for i, f := range p.fences {
			if seen[f] || (i > 0 && f <= p.fences[i-1]) {
				t.Fatalf("fence %d of %s is not new", f, p.name)
			}
			seen[f] = true
		}
	}
}

// A holder is paused for a minute. After it resumes, it must not act on the lease that it held, and must get a new
// fence when it acquires the lease again.
func TestLeaseExpiresDuringPause(t *testing.T) {
	is := is.New(t)
	l := lease.New(cfg, "a")
	l.Observe("", 0, 0)
	effect, reason := l.Step(0)
	is.Equal(effect, lease.Write)
	is.Equal(reason, lease.Acquiring)
	l.BeginWrite(0)
	l.WriteSucceeded(7, 0)
	is.True(l.Valid(0))
	is.True(l.Settled(0)) // no earlier holder
	resumedAt := decide.Instant(time.Minute)
	is.True(!l.Valid(resumedAt))
	_, reason = l.Step(resumedAt)
	is.Equal(reason, lease.Expired)
	l.Observe("a", 7, resumedAt)
	l.BeginWrite(resumedAt)
	l.WriteSucceeded(9, resumedAt)
	is.Equal(l.Fence(), uint64(9))
	is.True(!l.Settled(resumedAt)) // its own orders from before the pause may still be in transit
	is.True(l.Settled(resumedAt.Add(cfg.OrderDelay)))
}

// A lease that is renewed while it is valid keeps its fence, and another instance waits for its end.
func TestRenewalKeepsTheFence(t *testing.T) {
	is := is.New(t)
	a, b := lease.New(cfg, "a"), lease.New(cfg, "b")
	a.Observe("", 0, 0)
	a.BeginWrite(0)
	a.WriteSucceeded(1, 0)
	b.Observe("a", 1, decide.Instant(time.Second))
	effect, reason := b.Step(decide.Instant(9 * time.Second))
	is.Equal(effect, lease.Read)
	is.Equal(reason, lease.HeldByOther)
	renewedAt := decide.Instant(4 * time.Second)
	effect, reason = a.Step(renewedAt)
	is.Equal(effect, lease.Write)
	is.Equal(reason, lease.Renewing)
	a.BeginWrite(renewedAt)
	a.WriteSucceeded(2, renewedAt)
	is.Equal(a.Fence(), uint64(1))
	is.True(a.Valid(decide.Instant(12 * time.Second)))
	effect, reason = b.Step(decide.Instant(11 * time.Second))
	is.Equal(effect, lease.Write) // as far as it knows, it may take over; the conditional update fails
	is.Equal(reason, lease.TakingOver)
	b.WriteConflicted()
	b.Observe("a", 2, decide.Instant(11*time.Second))
	_, reason = b.Step(decide.Instant(20 * time.Second))
	is.Equal(reason, lease.HeldByOther)
}
