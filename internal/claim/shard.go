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

// keepShard is how long the copy of a shard is kept after its last use.
const keepShard = 2 * time.Second

// shard drives one Committer. At most one store call of it is under way.
type shard struct {
	keeper *Keeper
	key    objects.Key
	users  int // guarded by Keeper.mu: uses so far; an unchanged count means nobody came meanwhile

	mu      sync.Mutex
	c       *claim.Committer                   // guarded by mu
	answers map[claim.OpID]chan<- claim.Result // guarded by mu
	writes  uint64                             // guarded by mu: makes write ids
	wake    decide.Instant                     // guarded by mu: the earliest timer that is set; 0: none
	forget  *time.Timer                        // guarded by mu
}

func newShard(k *Keeper, name string) *shard {
	return &shard{
		keeper: k, key: objects.Key{Kind: claim.ObjectKind, Name: name},
		c: claim.NewCommitter(k.cfg.Limits), answers: map[claim.OpID]chan<- claim.Result{},
	}
}

// submit queues op and gives the channel of its answer, which never blocks its sender.
func (s *shard) submit(op claim.Op) (claim.OpID, <-chan claim.Result) {
	answer := make(chan claim.Result, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	id, e := s.c.Submit(op, s.keeper.cfg.Now(), s.keeper.cfg.Wall())
	s.answers[id] = answer
	s.carry(e)
	return id, answer
}

func (s *shard) giveUp(id claim.OpID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carry(s.c.Cancel(id, s.keeper.cfg.Now(), s.keeper.cfg.Wall()))
}

func (s *shard) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.Pending()
}

// carry starts the effects; mu is held.
func (s *shard) carry(e claim.Effects) {
	for _, a := range e.Responses {
		if ch := s.answers[a.ID]; ch != nil {
			ch <- a.Result
			delete(s.answers, a.ID)
		}
	}
	switch {
	case e.Read:
		s.start(s.read)
	case e.Put != nil:
		put := *e.Put
		s.writes++
		id := fmt.Sprintf("%s.%s.%d", s.keeper.cfg.Incarnation, s.key.Name, s.writes)
		s.start(func(ctx context.Context) { s.put(ctx, put, id) })
	case e.Wake > 0:
		s.wakeAt(e.Wake)
	}
	if s.c.Idle() {
		s.forgetLater()
	}
}

// start makes one store call in the background; mu is held. A closed Keeper makes none.
func (s *shard) start(call func(ctx context.Context)) {
	k := s.keeper
	if k.base.Err() != nil {
		s.abandon()
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

// abandon answers all that wait when the Keeper is closed; mu is held.
func (s *shard) abandon() {
	for id, ch := range s.answers {
		ch <- claim.Result{Verdict: claim.Unavailable, Run: fault.RunNo}
		delete(s.answers, id)
	}
}

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
	s.carry(s.c.OnRead(value, o.Version, err == nil, s.keeper.cfg.Now(), s.keeper.cfg.Wall()))
}

func (s *shard) put(ctx context.Context, p claim.Put, writeID string) {
	version, written, err := s.write(ctx, p, writeID)
	if err != nil {
		s.keeper.log.Warn("write of claims failed", "shard", s.key.Name, "write", writeID, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carry(s.c.OnWrite(written, version, s.keeper.cfg.Now(), s.keeper.cfg.Wall()))
}

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

// wakeAt sets a timer unless an earlier one is set; mu is held.
func (s *shard) wakeAt(at decide.Instant) {
	if s.wake > 0 && s.wake <= at {
		return
	}
	s.wake = at
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
			s.abandon()
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wake = 0
		s.carry(s.c.Tick(k.cfg.Now(), k.cfg.Wall()))
	}()
}

// forgetLater drops the shard once it was not used for a while, so that memory follows use; mu is held.
func (s *shard) forgetLater() {
	if s.forget != nil {
		s.forget.Stop()
	}
	s.forget = time.AfterFunc(keepShard, func() {
		s.keeper.mu.Lock()
		users := s.users
		s.keeper.mu.Unlock()
		s.mu.Lock()
		idle := s.c.Idle()
		s.mu.Unlock()
		s.keeper.mu.Lock()
		defer s.keeper.mu.Unlock()
		if idle && s.users == users && s.keeper.shards[s.key.Name] == s {
			delete(s.keeper.shards, s.key.Name)
		}
	})
}
