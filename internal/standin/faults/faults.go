// Package faults defines the faults that stand-ins can simulate, and a set of them that can be turned on and off at run
// time.
package faults

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Fault is the name of a fault.
type Fault string

// The faults that exist. Each stand-in simulates some of them. Open connections are those that are open when the fault is
// turned on.
const (
	Kill              Fault = "kill"              // closes the listener and all connections; turning it off restarts the stand-in
	SilentConnections Fault = "silent"            // open connections deliver nothing more, for good; new ones work
	CloseConnections  Fault = "cut"               // closes open connections; new ones work
	Hang              Fault = "hang"              // requests are read but not answered
	Slow              Fault = "slow"              // requests are handled after a delay
	SlowFirstByte     Fault = "slow_first_byte"   // the first token is sent after a delay
	Cold              Fault = "cold"              // the engine turns cold and keeps its boot id
	DuplicateParts    Fault = "duplicate_parts"   // every part is sent twice
	ReorderedParts    Fault = "reordered_parts"   // pairs of consecutive parts are swapped
	LateParts         Fault = "late_parts"        // an earlier part is sent again much later
	ForeignParts      Fault = "foreign_parts"     // parts of another request are mixed in
	NoEndMark         Fault = "no_end_mark"       // streams end early and without an end mark
	LoseAnswer        Fault = "lose_answer"       // the request runs, then the connection is closed without an answer
	DelayOrders       Fault = "delay_orders"      // orders are acknowledged at once and carried out after a delay
	StaleReads        Fault = "stale_reads"       // reads return the state at the time when the fault was turned on
	StaleInstanceList Fault = "lag"               // as StaleReads, but for the instance list
	Leaving           Fault = "leaving"           // new requests are refused as not started; those in flight continue
	RefuseStart       Fault = "refuse_start"      // requests are refused as not started
	CrashBeforeRun    Fault = "crash_before_run"  // the connection is closed before the request runs
	CrashAfterRun     Fault = "crash_after_run"   // the connection is closed after the request ran
	RefuseEverything  Fault = "refuse_everything" // answers 503 to every call, leaving open whether it was started
)

// DefaultDelay is the delay of Slow, SlowFirstByte and DelayOrders if Switch is called without one.
const DefaultDelay = 500 * time.Millisecond

// Set holds the faults of one stand-in that are on. It is safe for concurrent use.
type Set struct {
	known []Fault // faults that the stand-in can simulate
	mu    sync.Mutex
	on    map[Fault]*activeFault
}

// activeFault is a fault that is on.
type activeFault struct {
	delay time.Duration
	off   chan struct{} // closed when the fault is turned off
}

// NewSet returns a set of faults, all off. Only the known faults can be turned on.
func NewSet(known ...Fault) *Set {
	return &Set{known: known, on: map[Fault]*activeFault{}}
}

// Switch turns a fault on or off. A delay that isn't positive stands for DefaultDelay. Turning on a fault that is on
// replaces its delay and ends the waits for its end. Switch fails if the set doesn't know the fault.
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
		s.on[f] = &activeFault{delay: delay, off: make(chan struct{})}
	}
	return nil
}

// On reports whether the fault is on.
func (s *Set) On(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on[f] != nil
}

// Delay returns the fault's delay, or 0 if the fault is off.
func (s *Set) Delay(f Fault) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.on[f]; e != nil {
		return e.delay
	}
	return 0
}

// WaitDelay waits for the fault's delay, or until connClosed is closed. It returns at once if the fault is off.
func (s *Set) WaitDelay(f Fault, connClosed <-chan struct{}) {
	delay := s.Delay(f)
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-connClosed:
	}
}

// WaitUntilOff waits until the fault is turned off or connClosed is closed. It reports whether the fault was on.
func (s *Set) WaitUntilOff(f Fault, connClosed <-chan struct{}) bool {
	s.mu.Lock()
	e := s.on[f]
	s.mu.Unlock()
	if e == nil {
		return false
	}
	select {
	case <-e.off:
	case <-connClosed:
	}
	return true
}
