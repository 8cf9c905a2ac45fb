package engine

import (
	"maps"
	"time"
)

// Counters holds counts of an engine's events and, from InFlight on, its state at the time of the call. Tests check them.
// The counts continue across restarts of the engine.
type Counters struct {
	Runs            map[string]int `json:"runs"`          // dispatches that were accepted, by request id
	Resumes         int            `json:"resumes"`       // accepted dispatches with an offset above 0
	CachedTokens    int64          `json:"cached_tokens"` // prompt tokens found in the prefix cache
	Completed       int            `json:"completed"`
	Finished        map[string]int `json:"finished"`           // completed dispatches, by request id
	Cancelled       int            `json:"cancelled"`          // by a cancel call or because the connection closed
	Released        int            `json:"released"`           // jobs whose reservation was released or expired
	Refused         int            `json:"refused"`            // dispatches refused as not started
	Collapses       int            `json:"collapses"`          // collapses by more than ColdLimit requests
	MaxInFlightCold int            `json:"max_in_flight_cold"` // counts the request that causes a collapse too
	OrdersRun       int            `json:"orders_run"`         // orders carried out without an error
	StaleRefused    int            `json:"stale_refused"`      // orders refused for their old fencing number
	StaleRun        int            `json:"stale_run"`          // orders run after one with a higher fencing number came in
	RepeatedOrders  int            `json:"repeated_orders"`    // orders whose id the engine already had

	InFlight       int   `json:"in_flight"` // queued and running jobs
	Cold           bool  `json:"cold"`
	ReservedTokens int64 `json:"reserved_tokens"` // memory of reservations
	OverdueTokens  int64 `json:"overdue_tokens"`  // memory of reservations whose request is past its deadline
	HeldTokens     int64 `json:"held_tokens"`     // memory of running jobs and reservations
}

func newCounters() Counters { return Counters{Runs: map[string]int{}, Finished: map[string]int{}} }

// Counters returns the counts since Start and the current state.
func (e *Engine) Counters() Counters {
	var c Counters
	e.locked(func(now time.Duration) {
		c = e.counters
		c.Runs, c.Finished = maps.Clone(c.Runs), maps.Clone(c.Finished)
		c.InFlight, c.Cold, c.HeldTokens = len(e.jobs), e.warmup.cold, e.memoryInUse()
		for _, r := range e.reservations {
			c.ReservedTokens += r.Tokens
			if r.overdue(now) {
				c.OverdueTokens += r.Tokens
			}
		}
	})
	return c
}
