package placement

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// churnFleet are clients whose members, connections and upstreams change while they place requests.
type churnFleet struct {
	t        *testing.T
	clients  []*testClient
	addrs    map[fleet.InstanceID]string
	mu       sync.Mutex
	revision uint64 // guarded by mu
}

// newChurnFleet starts clients that know a configuration and upstreams.
func newChurnFleet(t *testing.T, n int) *churnFleet {
	f := &churnFleet{t: t, addrs: map[fleet.InstanceID]string{}, revision: 10}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		c := newTestClientOf(t, id, fleet.DomainID(fmt.Sprintf("d%d", i%3)), newPeerFollower())
		f.clients, f.addrs[id] = append(f.clients, c), c.addr
	}
	return f
}

// next returns the next revision of the store.
func (f *churnFleet) next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	return f.revision
}

// place places requests through a client, and reports on their answers, until ctx ends.
func (f *churnFleet) place(ctx context.Context, c *testClient, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		f.placeOne(ctx, c, r, fmt.Sprintf("%s-%d-%d", c.self, r.Uint64(), n))
	}
}

// placeOne places one request, and reports whether it got a place.
func (f *churnFleet) placeOne(ctx context.Context, c *testClient, r *rand.Rand, id string) bool {
	callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	q := gateway.PlacementRequest{
		ID: fleet.RequestID(id), Service: "svc", PromptTokens: 100 + r.IntN(60_000), MaxOutputTokens: 100, MaxGap: 400 * time.Millisecond,
		TimeLeft: 300 * time.Millisecond, FirstEventTimeout: 300 * time.Millisecond,
	}
	if r.IntN(2) == 0 {
		q.Service = "plain"
	}
	g, err := c.Place(callCtx, q)
	if err != nil {
		return false
	}
	if r.IntN(8) == 0 {
		g.RecordIndirect()
	}
	g.RecordFirstEvent()
	answer := gateway.Answer{Sealed: true, HasLimit: r.IntN(20) == 0, Limit: 500}
	if r.IntN(20) == 0 {
		answer.HoldOff = time.Millisecond
	}
	c.ObserveAnswer(g.Upstream(), answer, time.Now())
	g.Release(gateway.Outcome(r.IntN(6)), "")
	return true
}

// churn changes members, connections, upstreams and the configuration until ctx ends.
func (f *churnFleet) churn(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		c := f.clients[r.IntN(len(f.clients))]
		switch r.IntN(6) {
		case 0, 1:
			listed := maps.Clone(f.addrs)
			for range r.IntN(len(f.clients)) {
				delete(listed, f.clients[r.IntN(len(f.clients))].self)
			}
			c.setMembers(f.t, f.next(), listed)
		case 2:
			c.listener.resetAll()
		case 3:
			revision := f.next()
			name := fmt.Sprint("new-", revision%7)
			c.follower.ApplyChange(watch.Change{Kind: "u", From: 5, To: revision, Objects: []wire.Object{
				{Kind: "u", Name: name, Version: revision, Value: []byte("svc")},
			}})
		case 4:
			revision := f.next()
			c.follower.ApplyChange(watch.Change{Kind: "c", From: 5, To: revision, Objects: []wire.Object{{Kind: "c", Name: "main", Version: revision, Value: []byte("1")}}})
		case 5:
			if all := c.snapshot().Upstreams("svc"); len(all) > 2 {
				c.MarkLeaving(all[r.IntN(len(all))], "its answer")
			}
		}
		time.Sleep(time.Duration(r.IntN(5)) * time.Millisecond)
	}
}

// Guards against an instance that ends or stands still, and against one that shares state without a lock, while sessions
// end and begin, members, upstreams and configurations change and requests are placed, all at the same moment.
func TestPlacementSurvivesChangesOfEverything(t *testing.T) {
	f := newChurnFleet(t, 5)
	for _, c := range f.clients {
		c.setMembers(t, f.next(), f.addrs)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var running sync.WaitGroup
	for i, c := range f.clients {
		for k := range 4 {
			running.Go(func() { f.place(ctx, c, rand.New(rand.NewPCG(uint64(i), uint64(k)))) })
		}
	}
	for i := range 2 {
		running.Go(func() { f.churn(ctx, rand.New(rand.NewPCG(100, uint64(i)))) })
	}
	running.Wait()
	revision := f.next()
	for _, c := range f.clients {
		c.setMembers(t, revision, f.addrs)
	}
	waitUntil(t, "all have one dispatcher", func() bool {
		first := f.clients[0].Dispatcher()
		return first != "" && !slices.ContainsFunc(f.clients, func(c *testClient) bool { return c.Dispatcher() != first })
	})
	r := rand.New(rand.NewPCG(200, 0))
	for i, c := range f.clients {
		n := 0
		waitUntil(t, fmt.Sprintf("instance %d places", i), func() bool {
			n++
			return f.placeOne(t.Context(), c, r, fmt.Sprintf("last-%d-%d", i, n))
		})
	}
}
