package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// shardIdleTime is how long the local copy of an idle shard is kept after its last use.
const shardIdleTime = 2 * time.Second

// shard executes the effects of one Committer, which holds the operations on one shard object. It makes at most one
// store call at a time.
type shard struct {
	keeper *Keeper
	key    objects.Key
	uses   int // guarded by Keeper.mu: calls of Keeper.shard so far; an unchanged count means no use since

	mu         sync.Mutex
	committer  *claim.Committer                   // guarded by mu
	responses  map[claim.OpID]chan<- claim.Result // guarded by mu
	writes     uint64                             // guarded by mu: writes so far, from which write ids are made
	nextWake   decide.Instant                     // guarded by mu: time of the earliest pending timer; 0: none
	evictTimer *time.Timer                        // guarded by mu: removes the shard from the Keeper; nil: not scheduled yet
}

// newShard returns the shard of the object with that name, which is not read yet.
func newShard(k *Keeper, name string) *shard {
	return &shard{
		keeper: k, key: objects.Key{Kind: claim.ObjectKind, Name: name},
		committer: claim.NewCommitter(k.cfg.Limits), responses: map[claim.OpID]chan<- claim.Result{},
	}
}

// submit queues op and returns its id and the channel on which its result arrives. The channel is buffered, so that
// its sender never blocks.
func (s *shard) submit(op claim.Op) (claim.OpID, <-chan claim.Result) {
	response := make(chan claim.Result, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	id, effects := s.committer.Submit(op, s.keeper.cfg.Now(), s.keeper.cfg.Wall())
	s.responses[id] = response
	s.apply(effects)
	return id, response
}

// cancel cancels the claim with that id: it is answered with Unavailable and withdrawn, as its write may still take
// effect. A claim that was answered before is left alone.
func (s *shard) cancel(id claim.OpID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.committer.Cancel(id, s.keeper.cfg.Now(), s.keeper.cfg.Wall()))
}

// pending returns the number of operations that are queued or in flight.
func (s *shard) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committer.Pending()
}

// apply sends the responses and starts the store call or timer that effects ask for; mu is held.
func (s *shard) apply(effects claim.Effects) {
	for _, r := range effects.Responses {
		if ch := s.responses[r.ID]; ch != nil {
			ch <- r.Result
			delete(s.responses, r.ID)
		}
	}
	switch {
	case effects.Read:
		s.start(s.read)
	case effects.Put != nil:
		put := *effects.Put
		s.writes++
		id := fmt.Sprintf("%s.%s.%d", s.keeper.cfg.Incarnation, s.key.Name, s.writes)
		s.start(func(ctx context.Context) { s.put(ctx, put, id) })
	case effects.Wake > 0:
		s.wakeAt(effects.Wake)
	}
	if s.committer.Idle() {
		s.scheduleEviction()
	}
}

// start makes a store call in the background; mu is held. On a closed Keeper it makes none and fails all pending
// operations.
func (s *shard) start(call func(ctx context.Context)) {
	k := s.keeper
	if k.base.Err() != nil {
		s.failAll()
		return
	}
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		ctx, cancel := context.WithTimeout(k.base, k.cfg.CallTimeout)
		defer cancel()
		call(ctx)
	}()
}

// failAll answers all pending operations with Unavailable, as the Keeper is closed; mu is held.
func (s *shard) failAll() {
	for id, ch := range s.responses {
		ch <- claim.Result{Verdict: claim.Unavailable, Run: fault.RunNo}
		delete(s.responses, id)
	}
}

// read reads the shard object and passes it to the committer. An object that does not exist is an empty shard.
func (s *shard) read(ctx context.Context) {
	o, err := s.keeper.store.Get(ctx, s.key)
	var value claim.Shard
	switch {
	case errors.Is(err, objects.ErrNotFound):
		err = nil
	case err == nil:
		err = json.Unmarshal(o.Value, &value)
	}
	if err != nil {
		s.keeper.log.Warn("read of claims failed", "shard", s.key.Name, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.committer.OnRead(value, o.Version, err == nil, s.keeper.cfg.Now(), s.keeper.cfg.Wall()))
}

// put writes the shard object and passes the outcome of the write to the committer.
func (s *shard) put(ctx context.Context, p claim.Put, writeID string) {
	version, written, err := s.write(ctx, p, writeID)
	if err != nil {
		s.keeper.log.Warn("write of claims failed", "shard", s.key.Name, "write", writeID, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.committer.OnWrite(written, version, s.keeper.cfg.Now(), s.keeper.cfg.Wall()))
}

// write writes the shard object conditionally. It returns the object's new version, the outcome of the write, and the
// error to log; a conflict is an outcome and no error.
func (s *shard) write(ctx context.Context, p claim.Put, writeID string) (uint64, claim.WriteOutcome, error) {
	value, err := json.Marshal(p.Shard)
	if err != nil {
		return 0, claim.WriteNotSent, fmt.Errorf("encode shard: %w", err)
	}
	version, err := s.keeper.store.Put(ctx, objects.Write{
		Key: s.key, IfVersion: p.IfVersion, WriteID: writeID, Value: value,
	})
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		return version, claim.WriteApplied, nil
	case errors.As(err, &conflict):
		return 0, claim.WriteConflict, nil
	case errors.Is(err, objects.ErrUnavailable):
		return 0, claim.WriteNotSent, err
	default:
		return 0, claim.WriteUnknown, err
	}
}

// wakeAt sets a timer that ticks the committer, unless an earlier one is pending; mu is held.
func (s *shard) wakeAt(at decide.Instant) {
	if s.nextWake > 0 && s.nextWake <= at {
		return
	}
	s.nextWake = at
	k := s.keeper
	k.wg.Add(1)
	timer := time.NewTimer(at.Sub(k.cfg.Now()))
	go func() {
		defer k.wg.Done()
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-k.base.Done():
			s.mu.Lock()
			s.failAll()
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextWake = 0
		s.apply(s.committer.Tick(k.cfg.Now(), k.cfg.Wall()))
	}()
}

// scheduleEviction schedules the removal of an idle shard from the Keeper if it stays unused for shardIdleTime, which
// bounds memory; mu is held.
func (s *shard) scheduleEviction() {
	if s.evictTimer != nil {
		s.evictTimer.Stop()
	}
	s.evictTimer = time.AfterFunc(shardIdleTime, func() {
		s.keeper.mu.Lock()
		uses := s.uses
		s.keeper.mu.Unlock()
		s.mu.Lock()
		idle := s.committer.Idle()
		s.mu.Unlock()
		s.keeper.mu.Lock()
		defer s.keeper.mu.Unlock()
		if idle && s.uses == uses && s.keeper.shards[s.key.Name] == s {
			delete(s.keeper.shards, s.key.Name)
		}
	})
}
