package watch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// maxDepartures bounds the departures that are kept; the one that was noted first goes first.
const maxDepartures = 10_000

// Departure says that a process of an upstream leaves, by another word than the store's: its own answer, or that of another
// process at its address. It is final: whatever the store says later of that process is older, however late it comes.
type Departure struct {
	ID   fleet.UpstreamID
	Born int64 // Unix ms of the process's start; 0: it isn't known
}

// DepartureOf gives the departure of an upstream as it is known.
func DepartureOf(u *catalog.Upstream) Departure { return Departure{ID: u.ID, Born: u.Born} }

// departures are those that were noted. They outlive the upstream's entry, which can lapse while the store is away and come
// back as it was.
type departures struct {
	noted map[Departure]time.Time
}

func newDepartures() *departures { return &departures{noted: map[Departure]time.Time{}} }

func (d *departures) has(u *catalog.Upstream) bool {
	if len(d.noted) == 0 {
		return false
	}
	_, ok := d.noted[DepartureOf(u)]
	return ok
}

// note takes a departure, and tells whether it is new.
func (d *departures) note(one Departure, now time.Time) bool {
	if _, known := d.noted[one]; known {
		return false
	}
	if len(d.noted) >= maxDepartures {
		d.forgetFirst()
	}
	d.noted[one] = now
	return true
}

func (d *departures) forgetFirst() {
	var first Departure
	var at time.Time
	for one, noted := range d.noted {
		if at.IsZero() || noted.Before(at) {
			first, at = one, noted
		}
	}
	delete(d.noted, first)
}

// forgetUnnamed drops the departure of an upstream whose start isn't known, as its entry is gone: another process under its
// id could not be told from it.
func (d *departures) forgetUnnamed(id fleet.UpstreamID) { delete(d.noted, Departure{ID: id}) }

// Left notes a departure, which can be known before the store says so: the process gets no new work. by is the instance that
// found out. It tells whether that is news here.
func (f *Follower) Left(d Departure, sign string, by fleet.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.left.note(d, now) {
		return false
	}
	f.log.Info("upstream leaves by its own answer", "upstream", d.ID, "born", d.Born, "sign", sign, "heard_by", by)
	f.publish(f.deps.Kinds.Upstreams, now)
	return true
}

// Departures gives those of upstreams that the store has as staying.
func (f *Follower) Departures() []Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Departure
	for one := range f.left.noted {
		if u := f.upstreams[one.ID]; u != nil && u.Born == one.Born && !u.Leaving {
			all = append(all, one)
		}
	}
	return all
}
