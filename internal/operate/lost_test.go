package operate_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
)

// An operator confirms; the store writes it, and its answer is lost. Without settling, the operator is
// told that it failed while the whole fleet has it in force.
func TestConfirmationWithLostAnswerIsAccepted(t *testing.T) {
	is := is.New(t)
	store := &loseOnce{Store: memory.New(), before: func() {}, after: func() {}}
	s := newSide(t, store)
	p := s.propose(intent(2))
	store.armed.Store(true)
	var c api.Confirmation
	is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
	is.Equal(c.PlanID, p.ID)
}

type loseOnce struct {
	*memory.Store
	armed  atomic.Bool
	before func() // runs before the write takes effect
	after  func() // runs after it, before the answer is lost
}

func (l *loseOnce) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if !l.armed.CompareAndSwap(true, false) {
		return l.Store.Put(ctx, w)
	}
	l.before()
	_, _ = l.Store.Put(ctx, w)
	l.after()
	return 0, errors.New("answer lost")
}

// The answer to a confirmation is lost, and another operator's change comes on top before it is settled.
// Whether the first took effect is told from what the second was made from: "accepted" if it was made
// from the first's version, a conflict if from the same version as the first.
func TestConfirmationUnderAnothersIsSettled(t *testing.T) {
	for _, afterwards := range []bool{true, false} {
		is := is.New(t)
		nothing := func() {}
		store := &loseOnce{Store: memory.New(), before: nothing, after: nothing}
		s := newSide(t, store)
		p, rival := s.propose(intent(6)), s.propose(api.Change{Drain: "a"})
		confirmRival := func() {
			if afterwards {
				rival = s.propose(api.Change{Drain: "a"})
			}
			var c api.Confirmation
			is.Equal(s.call("POST", confirmPath(rival), nil, &c), 200)
		}
		if afterwards {
			store.after = confirmRival
		} else {
			store.before = confirmRival
		}
		store.armed.Store(true)
		var got struct {
			Plan  string
			Error string
		}
		status := s.call("POST", confirmPath(p), nil, &got)
		if afterwards {
			is.Equal(status, 200)
			is.Equal(got.Plan, p.ID)
			continue
		}
		is.Equal(status, 409)
		is.Equal(got.Error, "plan_conflict")
	}
}
