// Package conformance is a test suite of the contract of objects.Store. All implementations run it: the memory store,
// and the clients, among them the platform's, against their stand-ins.
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

// emptyWatchWait is the wait of watches for which no change is expected.
const emptyWatchWait = 50 * time.Millisecond

// changeWatchWait is the longest wait of watches for which a change is expected.
const changeWatchWait = 20 * time.Second

// Run runs the suite. Each test calls open to get an empty store.
func Run(t *testing.T, open func(t *testing.T) objects.Store) {
	tests := map[string]func(*testing.T, objects.Store){
		"create if absent":                      createIfAbsent,
		"conditional update":                    conditionalUpdate,
		"delete":                                conditionalDelete,
		"versions increase over the store":      versionsGrow,
		"recreated object is newer":             recreatedVersionGrows,
		"one of many writers succeeds":          oneWriterWins,
		"list":                                  list,
		"watch times out":                       watchTimesOut,
		"watch reports changes once":            watchReportsLatest,
		"watch reports deletions":               watchReportsDeletions,
		"watch returns on a change":             watchReturnsOnChange,
		"kinds are separate":                    kindsAreSeparate,
		"names are escaped":                     namesAreEscaped,
		"resolve a write after a lost response": resolveLostWrite,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, open(t)) })
	}
}

// key returns the key of an object of the suite's kind.
func key(name string) objects.Key { return objects.Key{Kind: "suite", Name: name} }

// put writes an object and returns its version. It fails the test on an error.
func put(t *testing.T, s objects.Store, k objects.Key, ifVersion uint64, id, value string) uint64 {
	t.Helper()
	version, err := s.Put(context.Background(), objects.Write{Key: k, IfVersion: ifVersion, WriteID: id, Value: []byte(value)})
	if err != nil {
		t.Fatalf("put %s: %v", k, err)
	}
	return version
}

// requireConflict checks that err is a conflict with a current version and write id.
func requireConflict(t *testing.T, err error, current uint64, writeID string) {
	t.Helper()
	var c *objects.ConflictError
	if !errors.As(err, &c) || c.Current != current || c.WriteID != writeID {
		t.Fatalf("got error %v, want a conflict with version %d of write %q", err, current, writeID)
	}
}

// createIfAbsent checks that a write with version 0 creates an object, and is refused if the object exists.
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
	requireConflict(t, err, v, "w1")
}

// conditionalUpdate checks that an update takes effect only if the object has the expected version.
func conditionalUpdate(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	first := put(t, s, key("a"), 0, "w1", `1`)
	second := put(t, s, key("a"), first, "w2", `2`)
	is.True(second > first)
	_, err := s.Put(ctx, objects.Write{Key: key("a"), IfVersion: first, WriteID: "w3", Value: []byte(`3`)})
	requireConflict(t, err, second, "w2")
	o, err := s.Get(ctx, key("a"))
	is.NoErr(err)
	is.Equal(string(o.Value), `2`) // the refused write has no effect
	_, err = s.Put(ctx, objects.Write{Key: key("none"), IfVersion: 7, WriteID: "w4", Value: []byte(`4`)})
	is.True(err != nil) // an update of an object that doesn't exist
	_, err = s.Get(ctx, key("none"))
	is.True(errors.Is(err, objects.ErrNotFound))
}

// conditionalDelete checks that a delete takes effect only if the object has the expected version.
func conditionalDelete(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	is.True(errors.Is(s.Delete(ctx, key("a"), 1), objects.ErrNotFound))
	first := put(t, s, key("a"), 0, "w1", `1`)
	second := put(t, s, key("a"), first, "w2", `2`)
	requireConflict(t, s.Delete(ctx, key("a"), first), second, "w2")
	is.NoErr(s.Delete(ctx, key("a"), second))
	_, err := s.Get(ctx, key("a"))
	is.True(errors.Is(err, objects.ErrNotFound))
}

// versionsGrow checks that each write gets a higher version than all earlier writes, to whichever object.
func versionsGrow(t *testing.T, s objects.Store) {
	is := is.New(t)
	a := put(t, s, key("a"), 0, "w1", `1`)
	b := put(t, s, key("b"), 0, "w2", `1`)
	c := put(t, s, key("a"), a, "w3", `2`)
	is.True(a < b && b < c)
}

// recreatedVersionGrows checks that an object that is created again gets a higher version. If the versions began at 1
// again, an instance that has version 7 of the deleted object could write over the new one, or ignore it as older.
func recreatedVersionGrows(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	first := put(t, s, key("a"), 0, "w1", `1`)
	is.NoErr(s.Delete(ctx, key("a"), first))
	second := put(t, s, key("a"), 0, "w2", `2`)
	is.True(second > first)
}

// oneWriterWins checks that exactly one of many concurrent updates of the same version takes effect.
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

// objectNames returns the names of the objects of a list, in its order.
func objectNames(l wire.List) []string {
	var all []string
	for _, o := range l.Objects {
		all = append(all, o.Name)
	}
	return all
}

// list checks that a list has all objects, sorted by name, and a version that covers them.
func list(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	l, err := s.List(ctx, "suite")
	is.NoErr(err)
	is.Equal(len(l.Objects), 0)
	put(t, s, key("b"), 0, "w1", `1`)
	last := put(t, s, key("a"), 0, "w2", `2`)
	l, err = s.List(ctx, "suite")
	is.NoErr(err)
	is.Equal(objectNames(l), []string{"a", "b"})
	is.True(l.Version >= last)
}

// watchTimesOut checks that a watch without changes returns an empty list after its wait.
func watchTimesOut(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	v := put(t, s, key("a"), 0, "w1", `1`)
	l, err := s.Watch(ctx, "suite", v, emptyWatchWait)
	is.NoErr(err)
	is.Equal(len(l.Objects)+len(l.Deleted), 0)
	is.True(l.Version >= v) // there is no change, and the next watch may start at this version
}

// watchReportsLatest checks that a watch reports only the latest version of a changed object, and reports it once.
func watchReportsLatest(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w1", `1`)
	b := put(t, s, key("b"), 0, "w2", `1`)
	put(t, s, key("b"), b, "w3", `2`)
	l, err := s.Watch(ctx, "suite", base, changeWatchWait)
	is.NoErr(err)
	is.Equal(objectNames(l), []string{"b"}) // only the latest version of b, and not a
	is.Equal(string(l.Objects[0].Value), `2`)
	l, err = s.Watch(ctx, "suite", l.Version, emptyWatchWait)
	is.NoErr(err)
	is.Equal(len(l.Objects), 0)
}

// watchReportsDeletions checks that a watch reports an object that was deleted after the watched version.
func watchReportsDeletions(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	v := put(t, s, key("a"), 0, "w1", `1`)
	is.NoErr(s.Delete(ctx, key("a"), v))
	l, err := s.Watch(ctx, "suite", v, changeWatchWait)
	is.NoErr(err)
	is.Equal(l.Deleted, []string{"a"})
}

// watchReturnsOnChange checks that a watch returns when an object is written while it waits.
func watchReturnsOnChange(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w1", `1`)
	got := make(chan wire.List, 1)
	go func() {
		l, err := s.Watch(ctx, "suite", base, changeWatchWait)
		if err != nil {
			t.Errorf("watch: %v", err)
		}
		got <- l
	}()
	put(t, s, key("b"), 0, "w2", `2`)
	is.Equal(objectNames(<-got), []string{"b"})
}

// kindsAreSeparate checks that lists and watches of a kind contain no objects of another kind.
func kindsAreSeparate(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	base := put(t, s, key("a"), 0, "w1", `1`)
	put(t, s, objects.Key{Kind: "other", Name: "a"}, 0, "w2", `2`)
	l, err := s.List(ctx, "suite")
	is.NoErr(err)
	is.Equal(len(l.Objects), 1)
	is.Equal(string(l.Objects[0].Value), `1`)
	l, err = s.Watch(ctx, "suite", base, emptyWatchWait)
	is.NoErr(err)
	is.Equal(len(l.Objects), 0) // a change of another kind is not reported
}

// namesAreEscaped checks that names with spaces, slashes and other special characters are kept.
func namesAreEscaped(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	for _, name := range []string{"a b", "a/b", "a?b=c", "a%2Fb", "ü"} {
		v := put(t, s, key(name), 0, "w-"+name, `1`)
		o, err := s.Get(ctx, key(name))
		is.NoErr(err)
		is.Equal(o.Name, name)
		is.Equal(o.Version, v)
	}
}

// resolveLostWrite checks that objects.ResolveWrite finds out whether a write took effect.
func resolveLostWrite(t *testing.T, s objects.Store) {
	is, ctx := is.New(t), context.Background()
	w := objects.Write{Key: key("a"), WriteID: "w1", Value: json.RawMessage(`1`)}
	_, err := objects.ResolveWrite(ctx, s, w)
	requireConflict(t, err, 0, "") // the write did not take effect
	v, err := s.Put(ctx, w)
	is.NoErr(err)
	got, err := objects.ResolveWrite(ctx, s, w)
	is.NoErr(err)
	is.Equal(got, v)
	other := put(t, s, key("a"), v, "w2", `2`)
	_, err = objects.ResolveWrite(ctx, s, w)
	requireConflict(t, err, other, "w2")
}
