package watch

import (
	"context"
	"errors"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// configWait is the wait of a watch for configurations where the users give them no time to be in force. A watch
	// that waits is no proof that nothing has changed: one that hears nothing while the store drops its history
	// answers only at its end.
	configWait = 800 * time.Millisecond
	// waitShare is the part of the time in which a configuration must be in force that its watch waits: a watch that
	// hears nothing, a lost answer and a list fit into it.
	waitShare = 0.4
	// leastWait and mostWait bound that wait.
	leastWait = 200 * time.Millisecond
	mostWait  = 2 * time.Second
	// fleetWait is the wait of the watches for upstreams and failure domains, whose bounds are longer.
	fleetWait = 2 * time.Second
	// membersWait is the wait of the watch for instances, on which nothing safe depends.
	membersWait = 8 * time.Second
	// secondShare is by how much the second reader waits longer than the first.
	secondShare = 4
	// proofWait is the wait of a watch that is to prove that nothing has changed.
	proofWait = time.Millisecond
	// firstPause and longestPause bound the pause after a failed read, which doubles.
	firstPause   = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// follow reads a kind whenever it is this instance's part to, until ctx ends.
func (f *Follower) follow(ctx context.Context, kind string) {
	pause := time.Duration(0)
	for wait.For(ctx, pause) {
		began := time.Now()
		if !f.reading(kind, began) {
			pause = 0
			if !f.rest(ctx, f.untilLook(kind, began)) {
				return
			}
			continue
		}
		err := f.read(ctx, kind)
		switch {
		case err == nil:
			pause = max(0, f.spacing()-time.Since(began))
		case errors.Is(err, objects.ErrTooOld):
			f.log.Info("store forgot its history: listing again", "kind", kind)
			f.forget(kind)
			pause = 0
		default:
			pause = min(max(f.firstPause(), 2*pause), longestPause)
		}
	}
}

// spacing is the least time between two reads that bring changes.
func (f *Follower) spacing() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role == SecondReader && f.led {
		return secondSpacing
	}
	return spacing
}

// firstPause is the pause after the first failed read. Where others have failed for long, another one that has its turn
// does not begin anew with short pauses.
func (f *Follower) firstPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing.IsZero() && time.Since(f.failing) > longestPause {
		return longestPause
	}
	return firstPause
}

// untilLook is when a loop that doesn't read looks again.
func (f *Follower) untilLook(kind string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if left := f.started.Add(f.joinDelay).Sub(now); kind == KindMembers && left > 0 {
		return left
	}
	return lookEvery
}

// read lists the kind, or waits for its changes, once.
func (f *Follower) read(ctx context.Context, kind string) error {
	longest := f.wait(kind)
	began := time.Now()
	f.mu.Lock()
	m := f.mirrors[kind]
	known, revision := m.known, m.revision
	m.due = began
	if known {
		m.due = began.Add(longest)
	}
	f.mu.Unlock()
	if !known {
		l, err := f.deps.Store.List(ctx, kind)
		return f.took(kind, l, true, began, err)
	}
	reading, stop := f.breakable(ctx)
	defer stop()
	l, err := f.deps.Store.Watch(reading, kind, revision, longest)
	if err != nil && reading.Err() != nil && ctx.Err() == nil {
		return nil // broken off for a new one
	}
	return f.took(kind, l, false, began, err)
}

// wait is how long a watch of the kind waits now.
func (f *Follower) wait(kind string) time.Duration {
	doubtful := f.Untrusted()
	f.mu.Lock()
	defer f.mu.Unlock()
	if doubtful || f.shares && !f.led {
		return proofWait // only the proof is wanted
	}
	longest := fleetWait
	switch kind {
	case f.deps.Kinds.Config:
		longest = configWait
		if within := f.deps.ConfigWithin; within > 0 {
			longest = min(mostWait, max(leastWait, time.Duration(float64(within)*waitShare)))
		}
	case KindMembers:
		longest = membersWait
	}
	if f.role == SecondReader {
		longest *= secondShare
	}
	return longest
}

// breakable gives a context that also ends when reads are broken off.
func (f *Follower) breakable(ctx context.Context) (context.Context, func()) {
	f.mu.Lock()
	breaks := f.breaks
	f.mu.Unlock()
	reading, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-breaks:
			cancel()
		case <-done:
		}
	}()
	return reading, func() {
		close(done)
		cancel()
	}
}

// breakReads ends the watches under way: their answers would prove too little too late.
func (f *Follower) breakReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.breaks)
	f.breaks = make(chan struct{})
	f.wake()
}

// forget makes the next read of the kind a list.
func (f *Follower) forget(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirrors[kind].known = false
}

// wake has the loops look whether they are to read; mu is held.
func (f *Follower) wake() {
	close(f.woken)
	f.woken = make(chan struct{})
}

// rest waits for d, or until who reads what may have changed; false: ctx ended.
func (f *Follower) rest(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	woken := f.woken
	f.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-woken:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
