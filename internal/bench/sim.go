// Package bench measures the routing policy under virtual time: the real decisions, driven through the
// types that the daemon uses, against a service-time model of engines, with lagging reports, several
// entries that each see a part, and fixed seeds. It is no network simulator: every message takes one fixed
// delay and none is lost.
package bench

import (
	"container/heap"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// event is something that happens at an instant; seq keeps equal instants in order of scheduling.
type event struct {
	at  decide.Instant
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock is the virtual time and what is scheduled in it.
type clock struct {
	now     decide.Instant
	seq     uint64
	pending events
}

// after schedules do.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.pending, event{c.now.Add(d), c.seq, do})
}

// run carries out events until the given instant.
func (c *clock) run(until decide.Instant) {
	for len(c.pending) > 0 && c.pending[0].at <= until {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
