// Package conformance is the contract of objects.Store as a suite of tests. Whatever implements the port
// runs it: the memory store, and the wire client against the stand-in.
package conformance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// watchWait is what the suite's watches wait when nothing is to come.
const watchWait = 50 * time.Millisecond

// longWait is what the suite's watches wait for a change that is to come.
const longWait = 20 * time.Second

// Run runs the suite; each test gets an empty store from open.
func Run(t *testing.T, open func(t *testing.T) objects.Store) {
	tests := map[string]func(*testing.T, objects.Store){
		"create if absent":               createIfAbsent,
		"conditional update":             conditionalUpdate,
		"delete":                         conditionalDelete,
		"versions grow over the store":   versionsGrow,
		"recreated object is not old":    recreated,
		"one of many writers wins":       oneWriterWins,
		"list":                           list,
		"watch waits and ends":           watchEnds,
		"watch shows changes once":       watchShows,
		"watch shows deletions":          watchDeletions,
		"watch wakes at a change":        watchWakes,
		"kinds are apart":                kindsApart,
		"names need no escaping by user": oddNames,
		"settle after a lost answer":     settle,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, open(t)) })
	}
}

func key(name string) objects.Key { return objects.Key{Kind: "suite", Name: name} }

func put(t *testing.T, s objects.Store, k objects.Key, ifVersion uint64, id, value string) uint64 {
	t.Helper()
	version, err := s.Put(context.Background(), objects.Write{Key: k, IfVersion: ifVersion, WriteID: id, Value: []byte(value)})
	if err != nil {
		t.Fatalf("put %s: %v", k, err)
	}
	return version
}

// conflict checks that err is a conflict at that version.
func conflict(t *testing.T, err error, current uint64, writeID string) {
	t.Helper()
	var c *objects.ConflictError
	if !errors.As(err, &c) || c.Current != current || c.WriteID != writeID {
		t.Fatalf("got %v, want a conflict at version %d by %q", err, current, writeID)
	}
}

func createIfAbsent(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	_, err := s.Get(ctx, key("a"))
	is.True(errors.Is(err, objects.ErrNotFound))
	v := put(t, s, key("a"), 0, "w1", `{"n":1}`)
	is.True(v > 0)
	o, err := s.Get(ctx, key("a"))
	is.NoErr(err)
	is.Equal(o.Version, v)
	is.Equal(o.WriteID, "w1")
	is.Equal(string(o.Value), `{"n":1}`)
	_, err = s.Put(ctx, objects.Write{Key: key("a"), WriteID: "w2", Value: []byte(`{}`)})
	conflict(t, err, v, "w1")
}

func conditionalUpdate(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	first := put(t, s, key("a"), 0, "w1", `1`)
	second := put(t, s, key("a"), first, "w2", `2`)
	is.True(second > first)
	_, err := s.Put(ctx, objects.Write{Key: key("a"), IfVersion: first, WriteID: "w3", Value: []byte(`3`)})
	conflict(t, err, second, "w2")
	o, err := s.Get(ctx, key("a"))
	is.NoErr(err)
	is.Equal(string(o.Value), `2`) // the refused write had no effect
	_, err = s.Put(ctx, objects.Write{Key: key("none"), IfVersion: 7, WriteID: "w4", Value: []byte(`4`)})
	is.True(err != nil) // an update of what is not there
	_, err = s.Get(ctx, key("none"))
	is.True(errors.Is(err, objects.ErrNotFound))
}

func conditionalDelete(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	is.True(errors.Is(s.Delete(ctx, key("a"), 1), objects.ErrNotFound))
	first := put(t, s, key("a"), 0, "w1", `1`)
	second := put(t, s, key("a"), first, "w2", `2`)
	conflict(t, s.Delete(ctx, key("a"), first), second, "w2")
	is.NoErr(s.Delete(ctx, key("a"), second))
	_, err := s.Get(ctx, key("a"))
	is.True(errors.Is(err, objects.ErrNotFound))
}

func versionsGrow(t *testing.T, s objects.Store) {
	is := is.New(t)
	a := put(t, s, key("a"), 0, "w1", `1`)
	b := put(t, s, key("b"), 0, "w2", `1`)
	c := put(t, s, key("a"), a, "w3", `2`)
	is.True(a < b && b < c)
}

// An instance holds version 7 of an object that is deleted and created anew; if the new one began at 1,
// its conditional write or its rule to take only higher versions would be fooled.
func recreated(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	first := put(t, s, key("a"), 0, "w1", `1`)
	is.NoErr(s.Delete(ctx, key("a"), first))
	second := put(t, s, key("a"), 0, "w2", `2`)
	is.True(second > first)
}

func oneWriterWins(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w0", `0`)
	const writers = 16
	var all sync.WaitGroup
	won := make(chan string, writers)
	for i := range writers {
		all.Go(func() {
			id := fmt.Sprint("w", i+1)
			if _, err := s.Put(ctx, objects.Write{Key: key("a"), IfVersion: base, WriteID: id, Value: []byte(`1`)}); err == nil {
				won <- id
			}
		})
	}
	all.Wait()
	is.Equal(len(won), 1)
	o, err := s.Get(ctx, key("a"))
	is.NoErr(err)
	is.Equal(o.WriteID, <-won)
}

func names(l wire.List) []string {
	var all []string
	for _, o := range l.Objects {
		all = append(all, o.Name)
	}
	return all
}

func list(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	l, err := s.List(ctx, "suite")
	is.NoErr(err)
	is.Equal(len(l.Objects), 0)
	put(t, s, key("b"), 0, "w1", `1`)
	last := put(t, s, key("a"), 0, "w2", `2`)
	l, err = s.List(ctx, "suite")
	is.NoErr(err)
	is.Equal(names(l), []string{"a", "b"})
	is.True(l.Version >= last)
}

func watchEnds(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	v := put(t, s, key("a"), 0, "w1", `1`)
	l, err := s.Watch(ctx, "suite", v, watchWait)
	is.NoErr(err)
	is.Equal(len(l.Objects)+len(l.Deleted), 0)
	is.True(l.Version >= v) // nothing came, and the next watch may go on from here
}

func watchShows(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w1", `1`)
	b := put(t, s, key("b"), 0, "w2", `1`)
	put(t, s, key("b"), b, "w3", `2`)
	l, err := s.Watch(ctx, "suite", base, longWait)
	is.NoErr(err)
	is.Equal(names(l), []string{"b"}) // the latest of b, once, and not a
	is.Equal(string(l.Objects[0].Value), `2`)
	l, err = s.Watch(ctx, "suite", l.Version, watchWait)
	is.NoErr(err)
	is.Equal(len(l.Objects), 0)
}

func watchDeletions(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	v := put(t, s, key("a"), 0, "w1", `1`)
	is.NoErr(s.Delete(ctx, key("a"), v))
	l, err := s.Watch(ctx, "suite", v, longWait)
	is.NoErr(err)
	is.Equal(l.Deleted, []string{"a"})
}

func watchWakes(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w1", `1`)
	got := make(chan wire.List, 1)
	go func() {
		l, err := s.Watch(ctx, "suite", base, longWait)
		if err != nil {
			t.Errorf("watch: %v", err)
		}
		got <- l
	}()
	put(t, s, key("b"), 0, "w2", `2`)
	is.Equal(names(<-got), []string{"b"})
}

func kindsApart(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w1", `1`)
	put(t, s, objects.Key{Kind: "other", Name: "a"}, 0, "w2", `2`)
	l, err := s.List(ctx, "suite")
	is.NoErr(err)
	is.Equal(len(l.Objects), 1)
	is.Equal(string(l.Objects[0].Value), `1`)
	l, err = s.Watch(ctx, "suite", base, watchWait)
	is.NoErr(err)
	is.Equal(len(l.Objects), 0) // another kind's change is none
}

func oddNames(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	for _, name := range []string{"a b", "a/b", "a?b=c", "a%2Fb", "ü"} {
		v := put(t, s, key(name), 0, "w-"+name, `1`)
		o, err := s.Get(ctx, key(name))
		is.NoErr(err)
		is.Equal(o.Name, name)
		is.Equal(o.Version, v)
	}
}

func settle(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	w := objects.Write{Key: key("a"), WriteID: "w1", Value: json.RawMessage(`1`)}
	_, err := objects.ResolveWrite(ctx, s, w)
	conflict(t, err, 0, "") // it did not take effect
	v, err := s.Put(ctx, w)
	is.NoErr(err)
	got, err := objects.ResolveWrite(ctx, s, w)
	is.NoErr(err)
	is.Equal(got, v)
	other := put(t, s, key("a"), v, "w2", `2`)
	_, err = objects.ResolveWrite(ctx, s, w)
	conflict(t, err, other, "w2")
}
