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

// lossy loses the answers of its first writes, after or before they take effect.
type lossy struct {
	*memory.Store
	lose    int
	effect  bool
	held    *objects.Write // a write that is still on its way
	between func()         // runs after a lost answer
}

func (l *lossy) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if l.lose == 0 {
		return l.Store.Put(ctx, w)
	}
	l.lose--
	if l.effect {
		_, _ = l.Store.Put(ctx, w)
	} else {
		l.held = &w
	}
	if l.between != nil {
		l.between()
	}
	return 0, errLost
}

var key = objects.Key{Kind: "config", Name: "current"}

func write(id string) objects.Write {
	return objects.Write{Key: key, WriteID: id, Value: []byte(`{}`)}
}

// An operator sees an error for a change that is in force: the write took effect, its answer was lost.
func TestLostAnswerToAnEffectiveWriteIsSettled(t *testing.T) {
	is := is.New(t)
	s := &lossy{Store: memory.New(), lose: 2, effect: true}
	version, err := settle.Put(context.Background(), s, write("w1"))
	is.NoErr(err)
	o, err := s.Get(context.Background(), key)
	is.NoErr(err)
	is.Equal(o.Version, version)
	is.Equal(o.WriteID, "w1")
}

// An operator waits ten seconds and is told "unknown" for a change that is in force: every write's answer is
// lost, though reads work all the time. Sending again alone gets lost answers for ever.
func TestEveryAnswerLostIsSettledByReading(t *testing.T) {
	is := is.New(t)
	s := &lossy{Store: memory.New(), lose: math.MaxInt, effect: true}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	version, err := settle.Put(ctx, s, write("w1"))
	is.NoErr(err)
	is.Equal(version, uint64(1))
}

// An operator is told "not done", and seconds later the change is in force: the write was delayed, the
// object was read back before it arrived. Reading back alone (objects.Settle) says conflict here.
func TestDelayedWriteCannotTakeEffectTwice(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &lossy{Store: memory.New(), lose: 1}
	_, err := objects.Settle(ctx, s, write("w1"))
	var conflict *objects.ConflictError
	is.True(errors.As(err, &conflict)) // read-back before arrival: the guard's absence

	version, err := settle.Put(ctx, s, write("w1"))
	is.NoErr(err)
	_, err = s.Store.Put(ctx, *s.held) // the delayed first copy arrives
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, version)
}

// Another operator's write stands on top of a write whose answer was lost: whether ours took effect in
// between can't be read off the object, so it must not be called refused.
func TestAnothersWriteOnTopLeavesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &lossy{Store: memory.New(), lose: 1, effect: true}
	s.between = func() {
		_, err := s.Store.Put(ctx, objects.Write{Key: key, IfVersion: 1, WriteID: "other", Value: []byte(`{}`)})
		is.NoErr(err)
	}
	_, err := settle.Put(ctx, s, write("w1"))
	is.True(errors.Is(err, settle.ErrUnknown))
}

func TestCleanConflictAndOutageAreCertain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := memory.New()
	_, err := s.Put(ctx, write("other"))
	is.NoErr(err)
	_, err = settle.Put(ctx, s, write("w1"))
	var conflict *objects.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(!errors.Is(err, settle.ErrUnknown))

	_, err = settle.Put(ctx, down{}, write("w1"))
	is.True(errors.Is(err, objects.ErrUnavailable))
	is.True(!errors.Is(err, settle.ErrUnknown))
}

// The store answers nothing any more after a write was sent.
func TestOutageAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_, err := settle.Put(ctx, &lossy{Store: memory.New(), lose: 1 << 20}, write("w1"))
	is.True(errors.Is(err, settle.ErrUnknown))
}

type down struct{ objects.Store }

func (down) Put(context.Context, objects.Write) (uint64, error) { return 0, objects.ErrUnavailable }
