package settle_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/settle"
)

var errLost = errors.New("answer lost")

// lossyStore loses the answers of its first writes. These writes take effect before the loss, or are delayed.
type lossyStore struct {
	*memory.Store
	answersToLose int            // number of answers still to lose
	applies       bool           // whether a write with a lost answer takes effect
	delayed       *objects.Write // the last write that is still in transit
	afterLoss     func()         // runs after each lost answer
}

func (l *lossyStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if l.answersToLose == 0 {
		return l.Store.Put(ctx, w)
	}
	l.answersToLose--
	if l.applies {
		_, _ = l.Store.Put(ctx, w)
	} else {
		l.delayed = &w
	}
	if l.afterLoss != nil {
		l.afterLoss()
	}
	return 0, errLost
}

var key = objects.Key{Kind: "config", Name: "current"}

func write(id string) objects.Write {
	return objects.Write{Key: key, WriteID: id, Value: []byte(`{}`)}
}

// Guards against an error for a change that is in force, after a write took effect and its answer was lost.
func TestPutFindsAppliedWriteWhoseAnswerWasLost(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{Store: memory.New(), answersToLose: 2, applies: true}
	version, err := settle.Put(context.Background(), s, write("w1"))
	is.NoErr(err)
	o, err := s.Get(context.Background(), key)
	is.NoErr(err)
	is.Equal(o.Version, version)
	is.Equal(o.WriteID, "w1")
}

// Guards against the outcome "unknown" after a wait of ten seconds for a change that is in force. It happens when
// the answers of all writes are lost while reads succeed: repeating the write alone never gets an answer.
func TestPutReadsBackWhenEveryAnswerIsLost(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{Store: memory.New(), answersToLose: math.MaxInt, applies: true}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	version, err := settle.Put(ctx, s, write("w1"))
	is.NoErr(err)
	is.Equal(version, uint64(1))
}

// Guards against the outcome "not done" for a change that takes effect seconds later. It happens when the write is
// delayed and the object is read back before it arrives. Reading back alone, as objects.ResolveWrite does, reports a
// conflict here.
func TestDelayedWriteCannotTakeEffectTwice(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &lossyStore{Store: memory.New(), answersToLose: 1}
	_, err := objects.ResolveWrite(ctx, s, write("w1"))
	var conflict *objects.ConflictError
	is.True(errors.As(err, &conflict)) // reading back before the arrival reports a conflict

	version, err := settle.Put(ctx, s, write("w1"))
	is.NoErr(err)
	_, err = s.Store.Put(ctx, *s.delayed) // the delayed first copy arrives
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, version)
}

// Guards against the outcome "conflict" for a write that may have taken effect. Another operator's write follows a
// write whose answer was lost, and the object no longer shows whether the earlier one took effect.
func TestLaterWriteByAnotherWriterLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &lossyStore{Store: memory.New(), answersToLose: 1, applies: true}
	s.afterLoss = func() {
		_, err := s.Store.Put(ctx, objects.Write{Key: key, IfVersion: 1, WriteID: "other", Value: []byte(`{}`)})
		is.NoErr(err)
	}
	_, err := settle.Put(ctx, s, write("w1"))
	is.True(errors.Is(err, settle.ErrUnknown))
}

// A conflict on the first attempt and a store that is unavailable before the write is sent both have a known
// outcome.
func TestConflictAndUnsentWriteHaveKnownOutcome(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := memory.New()
	_, err := s.Put(ctx, write("other"))
	is.NoErr(err)
	_, err = settle.Put(ctx, s, write("w1"))
	var conflict *objects.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(!errors.Is(err, settle.ErrUnknown))

	_, err = settle.Put(ctx, unavailableStore{}, write("w1"))
	is.True(errors.Is(err, objects.ErrUnavailable))
	is.True(!errors.Is(err, settle.ErrUnknown))
}

// The outcome is unknown if the store stops answering after a write was sent.
func TestOutageAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_, err := settle.Put(ctx, &lossyStore{Store: memory.New(), answersToLose: 1 << 20}, write("w1"))
	is.True(errors.Is(err, settle.ErrUnknown))
}

// unavailableStore rejects every write as unsent.
type unavailableStore struct{ objects.Store }

func (unavailableStore) Put(context.Context, objects.Write) (uint64, error) {
	return 0, objects.ErrUnavailable
}
