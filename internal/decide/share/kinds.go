package share

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	// outcomeWindow is the time constant with which placements and refusals decay. A long prompt comes about once a
	// second, so that the window holds several of them.
	outcomeWindow = 5 * time.Second
	// owedBelow is the part of the best kind's satisfaction below which a kind goes first. No kind may fall under half of
	// what the others get; the distance leaves time for the order to take effect.
	owedBelow = 0.8
	// negligible is the dominant share up to which a kind counts as not in use: decaying sums never reach 0.
	negligible = 0.01
)

// Kind is the usage and the recent outcomes of one kind of prompt.
type Kind struct {
	Usage
	placed, refused decayingSum // prompt tokens, over outcomeWindow
	waiting         Amount      // sum over the jobs that wait
	owed            bool
}

// Placed records that a job of the kind was placed.
func (k *Kind) Placed(now decide.Instant, tokens int) {
	k.placed.add(now, outcomeWindow, float64(tokens))
}

// Refused records that a job of the kind was refused.
func (k *Kind) Refused(now decide.Instant, tokens int) {
	k.refused.add(now, outcomeWindow, float64(tokens))
}

// Owed reports whether the kind's jobs go first: at the last Kinds.Update it got much less of what it asked for than
// another kind.
func (k *Kind) Owed() bool { return k.owed }

// Wait adds a job to those of the kind that wait.
func (k *Kind) Wait(a Amount) { k.waiting.add(a) }

// servedPart returns the part of the kind's settled prompt tokens that was placed, 1 if none were settled.
func (k *Kind) servedPart(now decide.Instant) float64 {
	placed, refused := k.placed.at(now, outcomeWindow), k.refused.at(now, outcomeWindow)
	if refused <= 0 {
		return 1
	}
	return placed / (placed + refused)
}

// active reports whether the kind uses something, waits for something, or was refused something recently.
func (k *Kind) active(now decide.Instant, c Capacity) bool {
	return k.waiting.Slots > 0 || k.Dominant(now, c) > negligible || k.servedPart(now) < 1-negligible
}

// satisfaction returns how much of its claim the kind gets, up to 1: what it asks for, or an equal part of a resource if
// that is less. A kind that asks for many times its part is satisfied with the part.
func (k *Kind) satisfaction(now decide.Instant, c Capacity, equalPart float64) float64 {
	return min(1, max(k.servedPart(now), k.Dominant(now, c)/equalPart))
}

// Kinds is a set of kinds that share a capacity.
type Kinds []Kind

// ClearWaiting sets the waiting jobs of all kinds to none.
func (ks Kinds) ClearWaiting() {
	for i := range ks {
		ks[i].waiting = Amount{}
	}
}

// Update determines which kinds are owed at now.
func (ks Kinds) Update(now decide.Instant, c Capacity) {
	active := 0
	for i := range ks {
		if ks[i].active(now, c) {
			active++
		}
	}
	equalPart, best := 1/float64(max(1, active)), 0.0
	for i := range ks {
		if k := &ks[i]; k.active(now, c) {
			best = max(best, k.satisfaction(now, c, equalPart))
		}
	}
	for i := range ks {
		k := &ks[i]
		k.owed = k.satisfaction(now, c, equalPart) < owedBelow*best
	}
}
