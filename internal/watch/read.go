package watch

import (
	"context"
	"errors"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// defaultConfigWait is how long a watch for configurations waits if ConfigWithin isn't set. A pending watch
	// doesn't prove that nothing has changed: if the store drops its history meanwhile and reports no change, the
	// watch returns only at the end of its wait.
	defaultConfigWait = 800 * time.Millisecond
	// configWaitFraction is the fraction of ConfigWithin that a watch for configurations waits. A watch that
	// reports nothing, a lost answer and a list fit into ConfigWithin.
	configWaitFraction = 0.4
	// minConfigWait and maxConfigWait bound that wait.
	minConfigWait = 200 * time.Millisecond
	maxConfigWait = 2 * time.Second
	// fleetWait is how long the watches for upstreams and failure domains wait. Their changes are allowed more time
	// to take effect than a configuration.
	fleetWait = 2 * time.Second
	// membersWait is how long the watch for instances waits. No safety guarantee depends on the instances.
	membersWait = 8 * time.Second
	// secondReaderFactor is how many times longer than the first reader the second reader waits, so that it adds few
	// calls.
	secondReaderFactor = 4
	// proofWait is the wait of a watch that is only needed as proof that nothing has changed.
	proofWait = time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed read. The delay doubles with each failure in a row.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// readLoop reads a kind from the store whenever this instance has to, until ctx ends.
func (f *Follower) readLoop(ctx context.Context, kind string) {
	defer crash.Report("watch " + kind)
	delay := time.Duration(0)
	for wait.For(ctx, delay) {
		began := time.Now()
		if !f.shouldRead(kind, began) {
			delay = 0
			if !f.waitIdle(ctx, f.recheckDelay(kind, began)) {
				return
			}
			continue
		}
		err := f.read(ctx, kind)
		switch {
		case err == nil:
			delay = max(0, f.minSpacing()-time.Since(began))
		case errors.Is(err, objects.ErrTooOld):
			f.log.Info("store forgot its history: listing again", "kind", kind)
			f.relist(kind)
			delay = 0
		default:
			delay = min(max(f.firstBackoff(), 2*delay), maxBackoff)
		}
	}
}

// minSpacing returns the least time from the start of a successful read to the start of the next one.
func (f *Follower) minSpacing() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role == SecondReader && f.readsSucceed {
		return secondReaderSpacing
	}
	return readSpacing
}

// firstBackoff returns the delay after the first failed read. During a long outage, an instance that newly becomes a
// reader doesn't start with short delays again.
func (f *Follower) firstBackoff() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.outageSince.IsZero() && time.Since(f.outageSince) > maxBackoff {
		return maxBackoff
	}
	return minBackoff
}

// recheckDelay returns how long a loop that doesn't read waits before it checks again whether it has to.
func (f *Follower) recheckDelay(kind string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if left := f.started.Add(f.joinDelay).Sub(now); kind == KindMembers && left > 0 {
		return left
	}
	return recheckInterval
}

// read lists the kind or waits for changes of it, once.
func (f *Follower) read(ctx context.Context, kind string) error {
	maxWait := f.watchWait(kind)
	began := time.Now()
	f.mu.Lock()
	r := f.replicas[kind]
	known, revision := r.known, r.revision
	r.readDue = began
	if known {
		r.readDue = began.Add(maxWait)
	}
	f.mu.Unlock()
	if !known {
		l, err := f.deps.Store.List(ctx, kind)
		return f.readDone(kind, l, true, began, err)
	}
	readCtx, stop := f.interruptible(ctx)
	defer stop()
	l, err := f.deps.Store.Watch(readCtx, kind, revision, maxWait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return nil // interrupted; the next read replaces it
	}
	return f.readDone(kind, l, false, began, err)
}

// watchWait returns how long a watch of the kind waits now.
func (f *Follower) watchWait(kind string) time.Duration {
	untrusted := f.Untrusted()
	f.mu.Lock()
	defer f.mu.Unlock()
	if untrusted || f.sharesReads && !f.readsSucceed {
		return proofWait // only the proof is needed
	}
	maxWait := fleetWait
	switch kind {
	case f.deps.Kinds.Config:
		maxWait = defaultConfigWait
		if within := f.deps.ConfigWithin; within > 0 {
			maxWait = min(maxConfigWait, max(minConfigWait, time.Duration(float64(within)*configWaitFraction)))
		}
	case KindMembers:
		maxWait = membersWait
	}
	if f.role == SecondReader {
		maxWait *= secondReaderFactor
	}
	return maxWait
}

// interruptible returns a context that ends with ctx or when reads are interrupted, and a function that releases it.
func (f *Follower) interruptible(ctx context.Context) (context.Context, func()) {
	f.mu.Lock()
	interrupt := f.interrupt
	f.mu.Unlock()
	readCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-interrupt:
			cancel()
		case <-done:
		}
	}()
	return readCtx, func() {
		close(done)
		cancel()
	}
}

// interruptReads ends the pending watches. After a pause a proof is needed at once, while the answer of a pending watch
// may take seconds and may date from before the end of the pause.
func (f *Follower) interruptReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endPendingReads()
}

// endPendingReads ends the pending watches and makes idle loops check again; mu is held.
func (f *Follower) endPendingReads() {
	close(f.interrupt)
	f.interrupt = make(chan struct{})
	f.wakeLoops()
}

// relist makes the next read of the kind a list.
func (f *Follower) relist(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas[kind].known = false
}

// wakeLoops makes idle loops check again whether they have to read. mu is held.
func (f *Follower) wakeLoops() {
	close(f.recheck)
	f.recheck = make(chan struct{})
}

// waitIdle waits for d, or until wakeLoops is called. It returns false if ctx has ended.
func (f *Follower) waitIdle(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	recheck := f.recheck
	f.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-recheck:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
