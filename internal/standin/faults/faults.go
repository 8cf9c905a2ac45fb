// Package faults is the closed list of faults that stand-ins can show, and a set of them that is switched
// at run time.
package faults

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Fault names one fault.
type Fault string

// The closed list.
const (
	Kill              Fault = "kill"              // listener and all connections are closed; off starts the process anew
	SilentConnections Fault = "silent"            // connections open now deliver nothing more, new ones work; off has no effect on them
	CloseConnections  Fault = "cut"               // connections open now are closed, new ones work
	Hang              Fault = "hang"              // requests are read and not answered
	Slow              Fault = "slow"              // requests wait before they are handled
	SlowFirstByte     Fault = "slow_first_byte"   // the first token waits
	Cold              Fault = "cold"              // the engine is cold again, with the same boot id
	DuplicateParts    Fault = "duplicate_parts"   // every part is sent twice
	ReorderedParts    Fault = "reordered_parts"   // pairs of parts change places
	LateParts         Fault = "late_parts"        // an old part is sent again much later
	ForeignParts      Fault = "foreign_parts"     // parts of another request are mixed in
	NoEndMark         Fault = "no_end_mark"       // streams end early, without an end mark
	LoseAnswer        Fault = "lose_answer"       // the work is done, then the connection is closed without an answer
	DelayOrders       Fault = "delay_orders"      // orders are acknowledged and carried out later
	StaleReads        Fault = "stale_reads"       // reads show the state of the moment the fault was switched on
	StaleInstanceList Fault = "lag"               // as StaleReads, for the instance list
	Leaving           Fault = "leaving"           // new requests are refused as not started, those in flight go on
	RefuseStart       Fault = "refuse_start"      // requests are refused with the word that they did not start
	CrashBeforeRun    Fault = "crash_before_run"  // the connection is closed before the request runs
	CrashAfterRun     Fault = "crash_after_run"   // the connection is closed after the request ran
	RefuseEverything  Fault = "refuse_everything" // answers 503 to everything, without a word on whether it started
)

// DefaultDelay is how long Slow, SlowFirstByte, LateParts and DelayOrders wait unless told otherwise.
const DefaultDelay = 500 * time.Millisecond

// Set is the faults of one stand-in. It is safe for concurrent use.
type Set struct {
	known []Fault
	mu    sync.Mutex
	on    map[Fault]*entry
}

type entry struct {
	delay time.Duration
	off   chan struct{}
}

// NewSet makes a set in which only the known faults can be switched on.
func NewSet(known ...Fault) *Set {
	return &Set{known: known, on: map[Fault]*entry{}}
}

// Switch turns a fault on or off. A delay of zero means DefaultDelay.
func (s *Set) Switch(f Fault, on bool, delay time.Duration) error {
	if !slices.Contains(s.known, f) {
		return fmt.Errorf("fault %q is not one of %q", f, s.known)
	}
	if delay <= 0 {
		delay = DefaultDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.on[f]; old != nil {
		close(old.off)
		delete(s.on, f)
	}
	if on {
		s.on[f] = &entry{delay: delay, off: make(chan struct{})}
	}
	return nil
}

// On tells whether the fault is switched on.
func (s *Set) On(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on[f] != nil
}

// Delay gives the fault's delay, or zero when it is off.
func (s *Set) Delay(f Fault) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.on[f]; e != nil {
		return e.delay
	}
	return 0
}

// Hold waits for the fault's delay if it is on, at most until gone is closed.
func (s *Set) WaitDelay(f Fault, gone <-chan struct{}) {
	delay := s.Delay(f)
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
	}
}

// Hang waits until the fault is switched off or gone is closed. It tells whether it waited.
func (s *Set) WaitUntilOff(f Fault, gone <-chan struct{}) bool {
	s.mu.Lock()
	e := s.on[f]
	s.mu.Unlock()
	if e == nil {
		return false
	}
	select {
	case <-e.off:
	case <-gone:
	}
	return true
}
