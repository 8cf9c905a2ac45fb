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

// One verdict on every run: the seed is fixed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "4000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var cfg = lease.Config{TTL: 10 * time.Second, Margin: time.Second, OrderDelay: 3 * time.Second}

// object is the store's one object.
type object struct {
	version uint64
	holder  string
}

// late is a write that is still on its way.
type late struct {
	at        decide.Instant
	ifVersion uint64
	holder    string
}

// party is one instance with its own clock, which starts anywhere and runs up to 4% fast or slow.
type party struct {
	name   string
	lease  *lease.Lease
	offset int64
	rate   int64 // thousandths
	fences []uint64
}

func (p *party) now(world decide.Instant) decide.Instant {
	return decide.Instant(p.offset + int64(world)/1000*p.rate)
}

type arena struct {
	t       *rapid.T
	now     decide.Instant
	object  object
	flying  []late
	history []object // for stale reads
}

// land lets the writes take effect that arrive by now.
func (a *arena) land() {
	for i := 0; i < len(a.flying); {
		if w := a.flying[i]; !a.now.Before(w.at) {
			a.write(w.ifVersion, w.holder)
			a.flying = slices.Delete(a.flying, i, i+1)
			continue
		}
		i++
	}
}

func (a *arena) write(ifVersion uint64, holder string) bool {
	if ifVersion != a.object.version {
		return false
	}
	a.object = object{version: a.object.version + 1, holder: holder}
	a.history = append(a.history, a.object)
	return true
}

// step lets one instance do what its lease says, with lost answers, delayed writes and stale reads.
func (a *arena) step(p *party) {
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
		a.send(p)
	}
	if p.lease.Valid(p.now(a.now)) && !slices.Contains(p.fences, p.lease.Fence()) {
		p.fences = append(p.fences, p.lease.Fence())
	}
}

func (a *arena) send(p *party) {
	ifVersion := p.lease.IfVersion()
	switch rapid.IntRange(0, 5).Draw(a.t, "fate") {
	case 0: // takes effect, the answer is lost
		a.write(ifVersion, p.name)
		p.lease.WriteUnknown()
	case 1: // arrives later, no answer
		delay := time.Duration(rapid.IntRange(1, 25).Draw(a.t, "delay")) * time.Second
		a.flying = append(a.flying, late{at: a.now.Add(delay), ifVersion: ifVersion, holder: p.name})
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

// An engine gets contradicting orders from two instances that both believe that they hold its lease: one
// was paused past its end, or its renewal's answer was lost, or a write arrived late. No schedule of
// pauses, lost answers, late writes, stale reads and clocks that differ may show two holders at a moment.
func TestNeverTwoHolders(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		a := &arena{t: t}
		var parties []*party
		for _, name := range []string{"a", "b", "c"} {
			parties = append(parties, &party{
				name: name, lease: lease.New(cfg, name),
				offset: rapid.Int64Range(0, 1e12).Draw(t, "offset"), rate: rapid.Int64Range(960, 1040).Draw(t, "rate"),
			})
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			a.now = a.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			a.land()
			a.step(rapid.SampledFrom(parties).Draw(t, "party"))
			var holders []string
			for _, p := range parties {
				if p.lease.Valid(p.now(a.now)) {
					holders = append(holders, p.name)
					held++
				}
			}
			if len(holders) > 1 {
				t.Fatalf("%v hold it at once, version %d", holders, a.object.version)
			}
		}
		fencesDiffer(t, parties)
	})
	is.New(t).True(held > 1000) // leases were held often enough to mean something
}

func fencesDiffer(t *rapid.T, parties []*party) {
	seen := map[uint64]bool{}
	for _, p := range parties {
		for i, f := range p.fences {
			if seen[f] || (i > 0 && f <= p.fences[i-1]) {
				t.Fatalf("fence %d of %s is not new", f, p.name)
			}
			seen[f] = true
		}
	}
}

// A holder is paused for a minute and wakes: it must not act on the lease it remembers, and takes a new
// fence when it gets the lease again.
func TestPausedHolderWakesWithoutLease(t *testing.T) {
	is := is.New(t)
	l := lease.New(cfg, "a")
	l.Observe("", 0, 0)
	effect, reason := l.Step(0)
	is.Equal(effect, lease.Write)
	is.Equal(reason, lease.Acquiring)
	l.BeginWrite(0)
	l.WriteSucceeded(7, 0)
	is.True(l.Valid(0))
	is.True(l.Settled(0)) // nobody held it before
	woke := decide.Instant(time.Minute)
	is.True(!l.Valid(woke))
	_, reason = l.Step(woke)
	is.Equal(reason, lease.Expired)
	l.Observe("a", 7, woke)
	l.BeginWrite(woke)
	l.WriteSucceeded(9, woke)
	is.Equal(l.Fence(), uint64(9))
	is.True(!l.Settled(woke)) // its own orders from before the pause may still be on their way
	is.True(l.Settled(woke.Add(cfg.OrderDelay)))
}

// A lease is renewed while it is valid and keeps its fence; another instance waits it out.
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
	at := decide.Instant(4 * time.Second)
	effect, reason = a.Step(at)
	is.Equal(effect, lease.Write)
	is.Equal(reason, lease.Renewing)
	a.BeginWrite(at)
	a.WriteSucceeded(2, at)
	is.Equal(a.Fence(), uint64(1))
	is.True(a.Valid(decide.Instant(12 * time.Second)))
	effect, reason = b.Step(decide.Instant(11 * time.Second))
	is.Equal(effect, lease.Write) // on what it knows it may take over; the condition refuses it
	is.Equal(reason, lease.TakingOver)
	b.WriteConflicted()
	b.Observe("a", 2, decide.Instant(11*time.Second))
	_, reason = b.Step(decide.Instant(20 * time.Second))
	is.Equal(reason, lease.HeldByOther)
}
