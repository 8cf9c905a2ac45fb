// Package vtime runs events in virtual time, for tests and measurements of the pure packages below
// internal/decide. Events at the same instant run in the order in which they were scheduled, so that runs are
// reproducible.
package vtime

import (
	"container/heap"
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Loop is a virtual clock with a queue of pending events. The zero value starts at instant 0. A Loop is not safe for
// concurrent use.
type Loop struct {
	now   decide.Instant
	seq   uint64
	queue events
}

// event is a function scheduled for an instant. seq is the order of scheduling.
type event struct {
	at  decide.Instant
	seq uint64
	run func()
}

// events implements heap.Interface, earliest event first.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// Now returns the virtual time.
func (l *Loop) Now() decide.Instant { return l.now }

// At schedules run for the instant at, or for now if at is in the past.
func (l *Loop) At(at decide.Instant, run func()) {
	l.seq++
	heap.Push(&l.queue, event{at: max(at, l.now), seq: l.seq, run: run})
}

// After schedules run for d from now.
func (l *Loop) After(d time.Duration, run func()) { l.At(l.now.Add(d), run) }

// Step runs the next event if it is due by end, and reports whether it ran one. If no event is due, it sets the clock to
// end.
func (l *Loop) Step(end decide.Instant) bool {
	if len(l.queue) == 0 || l.queue[0].at > end {
		l.now = end
		return false
	}
	e := heap.Pop(&l.queue).(event)
	l.now = e.at
	e.run()
	return true
}

// RunUntil runs all events up to and including end, and sets the clock to end.
func (l *Loop) RunUntil(end decide.Instant) {
	for l.Step(end) {
	}
}

// Exponential returns a random time to the next event of a Poisson process; rate is its mean number of events a second.
func Exponential(r decide.Rand, rate float64) time.Duration {
	return time.Duration(-math.Log(1-decide.Float(r)) / rate * float64(time.Second))
}
