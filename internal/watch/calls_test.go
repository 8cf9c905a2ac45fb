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

// storeFault is how the modelled store responds to an instance's calls.
type storeFault uint8

const (
	healthy      storeFault = iota
	refusing                // reports at once that nothing was done
	unresponsive            // doesn't answer; the call fails after 1 s
	slow                    // answers after fifty times the usual time
)

// countingStore is a store in virtual time that counts the calls of all instances.
type countingStore struct {
	mu       sync.Mutex
	log      map[string][]event // by kind
	revision uint64
	oldest   uint64        // watches from an earlier revision fail, because the history before it is dropped
	changed  chan struct{} // closed by the next write
	calls    int
	faultOf  func(instance int) storeFault
}

// newCountingStore returns an empty store without faults.
func newCountingStore() *countingStore {
	return &countingStore{log: map[string][]event{}, changed: make(chan struct{}), faultOf: func(int) storeFault { return healthy }}
}

// put writes an object.
func (s *countingStore) put(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.log[kind] = append(s.log[kind], event{name: name, version: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the objects of a kind that were written after a revision, and a channel that the next write closes.
func (s *countingStore) since(kind string, revision uint64) (wire.List, chan struct{}) {
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

// instanceStore is the store as accessed by one instance.
type instanceStore struct {
	*countingStore
	instance int
}

// call counts a call, and delays or fails it according to the instance's fault.
func (s instanceStore) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	fault := s.faultOf(s.instance)
	s.mu.Unlock()
	switch fault {
	case refusing:
		time.Sleep(4 * time.Millisecond)
		return objects.ErrUnavailable
	case unresponsive:
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

// List implements objects.Store.
func (s instanceStore) List(ctx context.Context, kind string) (wire.List, error) {
	if err := s.call(ctx); err != nil {
		return wire.List{}, err
	}
	l, _ := s.since(kind, 0)
	return l, nil
}

// Watch implements objects.Store.
func (s instanceStore) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
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

func (instanceStore) Get(context.Context, objects.Key) (wire.Object, error) {
	return wire.Object{}, objects.ErrNotFound
}
func (instanceStore) Put(context.Context, objects.Write) (uint64, error) {
	return 0, objects.ErrUnavailable
}
func (instanceStore) Delete(context.Context, objects.Key, uint64) error {
	return objects.ErrUnavailable
}
func (emptyDecoder) Config(wire.Object) (*catalog.Config, error) { return &catalog.Config{}, nil }
func (emptyDecoder) Upstream(wire.Object, time.Time) (*catalog.Upstream, error) {
	return &catalog.Upstream{}, nil
}

// emptyDecoder decodes every object to an empty value.
type emptyDecoder struct{}

// dispatchedFleet is a fleet of followers that are attached to one dispatcher. The dispatcher chooses the readers, and
// forwards proofs and changes a few ms later, as sessions would.
type dispatchedFleet struct {
	store     *countingStore
	followers []*Follower
	readers   readers.Selector
	start     time.Time
	changes   chan Change
}

// startFleet runs n followers and their dispatcher until ctx ends.
func startFleet(ctx context.Context, n int) *dispatchedFleet {
	f := &dispatchedFleet{store: newCountingStore(), start: time.Now(), changes: make(chan Change, 1<<16)}
	for i := range n {
		follower := New(Deps{
			Store: instanceStore{f.store, i}, Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o", ConfigName: "main"},
			Decoder: emptyDecoder{}, Log: hclog.NewNullLogger(),
			BootClock: func() decide.Instant { return decide.Instant(time.Since(f.start)) },
		})
		follower.ShareReads(func(c Change, own bool) {
			if own {
				f.changes <- c
			}
		})
		f.followers = append(f.followers, follower)
		go follower.Run(ctx)
	}
	go f.dispatch(ctx)
	return f
}

// dispatch forwards the changes that readers report to all followers, and sends heartbeats until ctx ends.
func (f *dispatchedFleet) dispatch(ctx context.Context) {
	var candidates []readers.Candidate
	for i := range f.followers {
		candidates = append(candidates, readers.Candidate{ID: fleet.InstanceID(fmt.Sprint(i)), Domain: fleet.DomainID(fmt.Sprint(i % 5))})
	}
	heartbeats := time.NewTicker(100 * time.Millisecond)
	defer heartbeats.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.changes:
			time.Sleep(2 * time.Millisecond)
			for _, follower := range f.followers {
				follower.ApplyChange(c)
			}
		case <-heartbeats.C:
			f.heartbeat(candidates)
		}
	}
}

// heartbeat assigns the roles and forwards the readers' proofs. A follower that is behind gets a full copy.
func (f *dispatchedFleet) heartbeat(candidates []readers.Candidate) {
	now := decide.Instant(time.Since(f.start)) + 1
	chosen := f.readers.Choose(now, candidates)
	for i, follower := range f.followers {
		role := Receiver
		if at := slices.Index(chosen, candidates[i].ID); at >= 0 {
			role = FirstReader + Role(at)
		}
		follower.SetRole(role)
		proofs := follower.ReaderProofs()
		if proofs == nil {
			continue
		}
		report := readers.Report{ProofAge: time.Hour}
		for _, p := range proofs {
			report.FailingFor = max(report.FailingFor, p.FailingFor)
			if p.Known {
				report.ProofAge = min(report.ProofAge, p.Age)
			}
		}
		f.readers.HandleReport(now, candidates[i].ID, report)
		for _, p := range proofs {
			p.FailingFor = f.readers.OutageDuration(now)
			for _, other := range f.followers {
				if other.ApplyProof(p) {
					if full, ok := follower.FullCopy(p.Kind); ok {
						other.ApplyChange(full)
					}
				}
			}
		}
	}
}

// callsWithin returns the number of store calls that the fleet makes during d.
func (f *dispatchedFleet) callsWithin(d time.Duration) int {
	f.store.mu.Lock()
	before := f.store.calls
	f.store.mu.Unlock()
	time.Sleep(d)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.calls - before
}

// setFault sets the fault of each instance's calls.
func (s *countingStore) setFault(faultOf func(instance int) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultOf = faultOf
}

// Calls to the store are paid for, and its rate limit is shared. Guards against instances that each read the four kinds
// by themselves while they receive nothing, as when the store refuses a third of the instances or is down. The number
// of calls would then grow with the fleet just when the store can serve the fewest. It must stay below a bound that
// doesn't depend on the number of instances.
func TestStoreCallsDoNotGrowWithFleet(t *testing.T) {
	const (
		healthyBound  = 6.0                   // calls per second
		changingBound = 3*12.0 + healthyBound // three kinds change continuously; each reader waits between its reads
		faultyBound   = 12.0
	)
	forThird := func(fault func() storeFault) func(int) storeFault {
		return func(i int) storeFault { return faultIf(i%3 == 0, fault()) }
	}
	cases := []struct {
		name     string
		bound    float64
		faultOf  func(int) storeFault
		changing bool
	}{
		{"quiet", healthyBound, nil, false},
		{"changes", changingBound, nil, true},
		{"down", faultyBound, func(int) storeFault { return refusing }, false},
		{"silent", faultyBound, func(int) storeFault { return unresponsive }, false},
		{"slow", healthyBound, func(int) storeFault { return slow }, false},
		{"a third is refused", faultyBound, forThird(func() storeFault { return refusing }), false},
		{"a third gets no answer", faultyBound, forThird(func() storeFault { return unresponsive }), false},
	}
	for _, n := range modelSizes {
		for _, c := range cases {
			t.Run(fmt.Sprint(c.name, "/", n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					defer time.Sleep(time.Minute) // until all goroutines have ended
					defer cancel()
					f := startFleet(ctx, n)
					f.store.put("c", "main")
					f.store.put("u", "w1")
					time.Sleep(5 * time.Second)
					if c.faultOf != nil {
						f.store.setFault(c.faultOf)
					}
					if c.changing {
						go f.writeContinuously(ctx)
					}
					const window = 10 * time.Second
					rate := float64(f.callsWithin(window)) / window.Seconds()
					t.Logf("%.1f calls per second", rate)
					if rate > c.bound {
						t.Errorf("%.1f calls per second, allowed %.0f", rate, c.bound)
					}
					f.store.setFault(func(int) storeFault { return healthy })
					f.store.put("c", "main")
					time.Sleep(1500 * time.Millisecond)
					f.checkCurrent(t)
				})
			})
		}
	}
}

// faultIf returns the fault if faulty is set, and healthy otherwise.
func faultIf(faulty bool, fault storeFault) storeFault {
	if faulty {
		return fault
	}
	return healthy
}

// writeContinuously writes an object of each of three kinds fifty times a second.
func (f *dispatchedFleet) writeContinuously(ctx context.Context) {
	for ctx.Err() == nil {
		for _, kind := range []string{"c", "u", "o"} {
			f.store.put(kind, "main")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkCurrent checks that every instance has the current configuration, or one at most 60 revisions older.
func (f *dispatchedFleet) checkCurrent(t *testing.T) {
	t.Helper()
	l, _ := f.store.since("c", 0)
	newest := l.Objects[len(l.Objects)-1].Version
	for i, follower := range f.followers {
		c, ok := follower.FullCopy("c")
		if !ok || len(c.Objects) != 1 || c.Objects[0].Version+60 < newest {
			t.Fatalf("instance %d has configuration %v, the current version is %d", i, c.Objects, newest)
		}
	}
}
