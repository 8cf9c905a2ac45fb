// Package share keeps the resource usage of workspaces and of kinds of prompts, and decides whose jobs go first while
// jobs wait. It follows dominant resource fairness (Ghodsi et al., NSDI 2011) over three resources: slots, KV cache and
// prefill time. Slots and KV cache count while they are held. Prefill counts as it is placed, and its weight decays, so
// that many short prompts count although none of them is held for long.
package share

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// PrefillWindow is the time constant with which placed prefill decays. It is about the time for which a short prompt
// occupies its slot, so that the three resources describe the same span.
const PrefillWindow = 2 * time.Second

// Amount is what one job needs of each resource.
type Amount struct {
	Slots     int
	KVTokens  int
	PrefillMs float64 // on one otherwise idle engine
}

// add adds b to a.
func (a *Amount) add(b Amount) {
	a.Slots += b.Slots
	a.KVTokens += b.KVTokens
	a.PrefillMs += b.PrefillMs
}

// Capacity is what the engines of a service have of each resource.
type Capacity struct {
	Slots    int
	KVTokens int
	Engines  int // each prefills for one ms per ms
}

// Usage is what some jobs use of each resource. The zero value is no usage.
type Usage struct {
	slots, kvTokens int
	prefill         decayingSum // ms, over PrefillWindow
}

// Start adds the slots and the KV cache of a job at now, and the prefill that was placed at placedAt, at most now.
func (u *Usage) Start(now, placedAt decide.Instant, a Amount) {
	u.slots += a.Slots
	u.kvTokens += a.KVTokens
	u.prefill.add(now, PrefillWindow, a.PrefillMs*decayFactor(now.Sub(placedAt), PrefillWindow))
}

// End subtracts the slots and the KV cache of a job. Its prefill goes on to decay.
func (u *Usage) End(a Amount) {
	u.slots -= a.Slots
	u.kvTokens -= a.KVTokens
}

// Held returns the slots and the KV cache that are held.
func (u *Usage) Held() Amount { return Amount{Slots: u.slots, KVTokens: u.kvTokens} }

// Dominant returns the largest share of a resource that is used. It can exceed 1, for example after a loss of engines.
func (u *Usage) Dominant(now decide.Instant, c Capacity) float64 {
	return Amount{Slots: u.slots, KVTokens: u.kvTokens, PrefillMs: u.prefill.at(now, PrefillWindow)}.dominant(c)
}

// dominant returns the largest share of a resource that an amount is which is held at one time and whose prefill is placed
// within PrefillWindow.
func (a Amount) dominant(c Capacity) float64 {
	prefill := a.PrefillMs * float64(time.Millisecond) / float64(PrefillWindow)
	return max(ratio(float64(a.Slots), c.Slots), ratio(float64(a.KVTokens), c.KVTokens), ratio(prefill, c.Engines))
}

// ratio returns used divided by capacity. A capacity below 1 counts as 1, so that the result is finite.
func ratio(used float64, capacity int) float64 { return used / float64(max(1, capacity)) }

// decayingSum is a sum whose terms decay exponentially with their age. The zero value is 0.
type decayingSum struct {
	sum       float64
	updatedAt decide.Instant
}

// add adds x at now.
func (d *decayingSum) add(now decide.Instant, window time.Duration, x float64) {
	d.sum = d.at(now, window) + x
	d.updatedAt = max(d.updatedAt, now)
}

// at returns the sum at now.
func (d *decayingSum) at(now decide.Instant, window time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decayFactor(now.Sub(d.updatedAt), window)
}

// decayFactor returns the weight of a term of the given age, 1 for a term from the future.
func decayFactor(age, window time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(window))
}
