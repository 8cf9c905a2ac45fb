package engine

import (
	"maps"
	"time"
)

// Counters is what a test wants to know of an engine; they survive its restarts.
type Counters struct {
	Runs            map[string]int `json:"runs"` // dispatches that started, by request id
	Resumes         int            `json:"resumes"`
	CachedTokens    int64          `json:"cached_tokens"` // prompt tokens that did not have to be computed
	Completed       int            `json:"completed"`
	Finished        map[string]int `json:"finished"`  // completed dispatches, by request id
	Cancelled       int            `json:"cancelled"` // by order or because the connection closed
	Released        int            `json:"released"`  // ended because their reservation was released or expired
	Refused         int            `json:"refused"`   // as not started
	Collapses       int            `json:"collapses"` // falls under more load than it bears cold
	MaxInFlightCold int            `json:"max_in_flight_cold"`
	OrdersRun       int            `json:"orders_run"`
	StaleRefused    int            `json:"stale_refused"` // orders refused for their old fencing number
	StaleRun        int            `json:"stale_run"`     // orders carried out after one with a higher number came
	RepeatedOrders  int            `json:"repeated_orders"`

	InFlight       int   `json:"in_flight"`
	Cold           bool  `json:"cold"`
	ReservedTokens int64 `json:"reserved_tokens"` // held by reservations now
	OverdueTokens  int64 `json:"overdue_tokens"`  // held by reservations whose deadline has passed
	HeldTokens     int64 `json:"held_tokens"`     // held by jobs and reservations now
}

func newCounters() Counters { return Counters{Runs: map[string]int{}, Finished: map[string]int{}} }

// Counters gives the counts so far.
func (e *Engine) Counters() Counters {
	var c Counters
	e.locked(func(now time.Duration) {
		c = e.counters
		c.Runs, c.Finished = maps.Clone(c.Runs), maps.Clone(c.Finished)
		c.InFlight, c.Cold, c.HeldTokens = len(e.jobs), e.warmth.cold, e.held()
		for _, r := range e.reservations {
			c.ReservedTokens += r.Tokens
			if r.overdue(now) {
				c.OverdueTokens += r.Tokens
			}
		}
	})
	return c
}
