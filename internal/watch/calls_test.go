package watch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/readers"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// trouble is what the modelled store does to an instance's calls.
type trouble uint8

const (
	fine    trouble = iota
	refuses         // says at once that nothing was done
	silent          // never answers
	slow            // answers after fifty times the usual
)

// calledStore is a store in virtual time that counts the calls of all instances.
type calledStore struct {
	mu       sync.Mutex
	log      map[string][]event // by kind
	revision uint64
	oldest   uint64 // history before it is forgotten
	changed  chan struct{}
	calls    int
	of       func(instance int) trouble
}

func newCalledStore() *calledStore {
	return &calledStore{log: map[string][]event{}, changed: make(chan struct{}), of: func(int) trouble { return fine }}
}

func (s *calledStore) put(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.log[kind] = append(s.log[kind], event{name: name, version: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// since gives the objects of a kind that changed after a revision.
func (s *calledStore) since(kind string, revision uint64) (wire.List, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := wire.List{Version: s.revision}
	for _, e := range s.log[kind] {
		if e.version > revision {
			l.Objects = append(l.Objects, wire.Object{Kind: kind, Name: e.name, Version: e.version, Value: []byte("{}")})
		}
	}
	return l, s.changed
}

// seenBy is the store as one instance reaches it.
type seenBy struct {
	*calledStore
	instance int
}

// call counts a call, and does to it what the trouble does.
func (s seenBy) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	t := s.of(s.instance)
	s.mu.Unlock()
	switch t {
	case refuses:
		time.Sleep(4 * time.Millisecond)
		return objects.ErrUnavailable
	case silent:
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return errors.New("no answer")
	case slow:
		time.Sleep(200 * time.Millisecond)
	default:
		time.Sleep(4 * time.Millisecond)
	}
	return ctx.Err()
}

func (s seenBy) List(ctx context.Context, kind string) (wire.List, error) {
	if err := s.call(ctx); err != nil {
		return wire.List{}, err
	}
	l, _ := s.since(kind, 0)
	return l, nil
}

func (s seenBy) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	if err := s.call(ctx); err != nil {
		return wire.List{}, err
	}
	for end := time.After(wait); ; {
		s.mu.Lock()
		forgotten := version < s.oldest
		s.mu.Unlock()
		if forgotten {
			return wire.List{}, objects.ErrTooOld
		}
		l, changed := s.since(kind, version)
		if len(l.Objects) > 0 {
			return l, nil
		}
		select {
		case <-changed:
		case <-end:
			return l, nil
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

func (seenBy) Get(context.Context, objects.Key) (wire.Object, error) {
	return wire.Object{}, objects.ErrNotFound
}
func (seenBy) Put(context.Context, objects.Write) (uint64, error) { return 0, objects.ErrUnavailable }
func (seenBy) Delete(context.Context, objects.Key, uint64) error  { return objects.ErrUnavailable }
func (emptyDecoder) Config(wire.Object) (*catalog.Config, error)  { return &catalog.Config{}, nil }
func (emptyDecoder) Upstream(wire.Object, time.Time) (*catalog.Upstream, error) {
	return &catalog.Upstream{}, nil
}

type emptyDecoder struct{}

// told is a fleet of followers that one dispatcher tells: it names the readers, and passes proofs and changes on as
// sessions would, some ms later.
type told struct {
	store     *calledStore
	followers []*Follower
	readers   readers.Selector
	start     time.Time
	changes   chan Change
}

func startTold(ctx context.Context, n int) *told {
	f := &told{store: newCalledStore(), start: time.Now(), changes: make(chan Change, 1<<16)}
	for i := range n {
		one := New(Deps{
			Store: seenBy{f.store, i}, Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o", ConfigName: "main"},
			Decoder: emptyDecoder{}, Log: hclog.NewNullLogger(),
		})
		one.ShareReads(func(c Change, own bool) {
			if own {
				f.changes <- c
			}
		})
		f.followers = append(f.followers, one)
		go one.Run(ctx)
	}
	go f.dispatch(ctx)
	return f
}

func (f *told) dispatch(ctx context.Context) {
	var all []readers.Candidate
	for i := range f.followers {
		all = append(all, readers.Candidate{ID: fleet.InstanceID(fmt.Sprint(i)), Domain: fleet.DomainID(fmt.Sprint(i % 5))})
	}
	beat := time.NewTicker(100 * time.Millisecond)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.changes:
			time.Sleep(2 * time.Millisecond)
			for _, one := range f.followers {
				one.ApplyChange(c)
			}
		case <-beat.C:
			f.beat(all)
		}
	}
}

func (f *told) beat(all []readers.Candidate) {
	now := decide.Instant(time.Since(f.start)) + 1
	chosen := f.readers.Choose(now, all)
	for i, one := range f.followers {
		role := Receiver
		if at := slices.Index(chosen, all[i].ID); at >= 0 {
			role = FirstReader + Role(at)
		}
		one.SetRole(role)
		reads := one.ReaderProofs()
		if reads == nil {
			continue
		}
		report := readers.Report{ProofAge: time.Hour}
		for _, p := range reads {
			report.FailingFor = max(report.FailingFor, p.FailingFor)
			if p.Known {
				report.ProofAge = min(report.ProofAge, p.Age)
			}
		}
		f.readers.HandleReport(now, all[i].ID, report)
		for _, p := range reads {
			p.FailingFor = f.readers.OutageDuration(now)
			for _, other := range f.followers {
				if other.ApplyProof(p) {
					if whole, ok := one.FullCopy(p.Kind); ok {
						other.ApplyChange(whole)
					}
				}
			}
		}
	}
}

// spent gives the calls of the fleet in a time.
func (f *told) spent(long time.Duration) int {
	f.store.mu.Lock()
	before := f.store.calls
	f.store.mu.Unlock()
	time.Sleep(long)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.calls - before
}

func (s *calledStore) trouble(of func(instance int) trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of = of
}

// The store is paid for by the call, and its rate is shared: when it turned a third of the instances away, or was down,
// each instance that heard nothing read four kinds by itself, and the calls grew with the fleet just when the store
// could bear least. They stay under a bound that does not grow with the instances.
func TestCallsDontGrowWithTheFleet(t *testing.T) {
	const (
		steady   = 6.0             // calls a second
		storm    = 3*12.0 + steady // while three kinds change all the time: each reader waits between its reads
		troubled = 12.0
	)
	third := func(how func() trouble) func(int) trouble {
		return func(i int) trouble { return pick(i%3 == 0, how()) }
	}
	cases := []struct {
		name  string
		bound float64
		of    func(int) trouble
		storm bool
	}{
		{"quiet", steady, nil, false},
		{"changes", storm, nil, true},
		{"down", troubled, func(int) trouble { return refuses }, false},
		{"silent", troubled, func(int) trouble { return silent }, false},
		{"slow", steady, func(int) trouble { return slow }, false},
		{"a third is turned away", troubled, third(func() trouble { return refuses }), false},
		{"a third hears nothing", troubled, third(func() trouble { return silent }), false},
	}
	for _, n := range modelSizes {
		for _, c := range cases {
			t.Run(fmt.Sprint(c.name, "/", n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					defer time.Sleep(time.Minute) // until all has ended
					defer cancel()
					f := startTold(ctx, n)
					f.store.put("c", "main")
					f.store.put("u", "w1")
					time.Sleep(5 * time.Second)
					if c.of != nil {
						f.store.trouble(c.of)
					}
					if c.storm {
						go f.storm(ctx)
					}
					const long = 10 * time.Second
					rate := float64(f.spent(long)) / long.Seconds()
					t.Logf("%.1f calls a second", rate)
					if rate > c.bound {
						t.Errorf("%.1f calls a second, allowed %.0f", rate, c.bound)
					}
					f.store.trouble(func(int) trouble { return fine })
					f.store.put("c", "main")
					time.Sleep(1500 * time.Millisecond)
					f.mustBeCurrent(t)
				})
			})
		}
	}
}

func pick(bad bool, t trouble) trouble {
	if bad {
		return t
	}
	return fine
}

// storm changes three kinds, fifty times a second.
func (f *told) storm(ctx context.Context) {
	for ctx.Err() == nil {
		for _, kind := range []string{"c", "u", "o"} {
			f.store.put(kind, "main")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// mustBeCurrent checks that every instance has the newest configuration.
func (f *told) mustBeCurrent(t *testing.T) {
	t.Helper()
	l, _ := f.store.since("c", 0)
	newest := l.Objects[len(l.Objects)-1].Version
	for i, one := range f.followers {
		c, ok := one.FullCopy("c")
		if !ok || len(c.Objects) != 1 || c.Objects[0].Version+60 < newest {
			t.Fatalf("instance %d has the configuration of %v, the newest is %d", i, c.Objects, newest)
		}
	}
}
