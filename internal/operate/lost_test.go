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

// The store performs the write of a confirmation, and its response is lost. The write must be resolved: otherwise the
// operator receives an error although the configuration is in force on the whole fleet.
func TestConfirmationWithLostAnswerIsAccepted(t *testing.T) {
	is := is.New(t)
	store := &lostAnswerStore{Store: memory.New(), beforeWrite: func() {}, afterWrite: func() {}}
	s := newTestServer(t, store)
	p := s.propose(intentChange(2))
	store.armed.Store(true)
	var c api.Confirmation
	is.Equal(s.call("POST", confirmPath(p), nil, &c), 200)
	is.Equal(c.PlanID, p.ID)
}

// lostAnswerStore is a store that loses the response of one write: the write takes effect, but Put returns an error.
type lostAnswerStore struct {
	*memory.Store
	armed       atomic.Bool // the next write's response is lost
	beforeWrite func()      // runs before the write takes effect
	afterWrite  func()      // runs after the write, before its response is lost
}

// Put performs the write. If the store is armed, it returns an error nevertheless, and the store is no longer armed.
func (l *lostAnswerStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if !l.armed.CompareAndSwap(true, false) {
		return l.Store.Put(ctx, w)
	}
	l.beforeWrite()
	_, _ = l.Store.Put(ctx, w)
	l.afterWrite()
	return 0, errors.New("answer lost")
}

// The response to a confirmation's write is lost, and another operator's change is confirmed before that write is
// resolved. The version that the second plan was made from shows whether the first write took effect: the first plan is
// accepted if the second was made from its version, and is a conflict if both were made from the same version.
func TestLostConfirmationIsResolvedAfterAnotherChange(t *testing.T) {
	for _, rivalIsLater := range []bool{true, false} {
		is := is.New(t)
		noop := func() {}
		store := &lostAnswerStore{Store: memory.New(), beforeWrite: noop, afterWrite: noop}
		s := newTestServer(t, store)
		p, rival := s.propose(intentChange(6)), s.propose(api.Change{Drain: "a"})
		confirmRival := func() {
			if rivalIsLater {
				rival = s.propose(api.Change{Drain: "a"})
			}
			var c api.Confirmation
			is.Equal(s.call("POST", confirmPath(rival), nil, &c), 200)
		}
		if rivalIsLater {
			store.afterWrite = confirmRival
		} else {
			store.beforeWrite = confirmRival
		}
		store.armed.Store(true)
		var got struct {
			Plan  string
			Error string
		}
		status := s.call("POST", confirmPath(p), nil, &got)
		if rivalIsLater {
			is.Equal(status, 200)
			is.Equal(got.Plan, p.ID)
			continue
		}
		is.Equal(status, 409)
		is.Equal(got.Error, "plan_conflict")
	}
}
