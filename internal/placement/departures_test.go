package placement

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// upstreamDecoder reads entries of upstreams that started at 7.
type upstreamDecoder struct{}

func (upstreamDecoder) Config(wire.Object) (*catalog.Config, error) { return &catalog.Config{}, nil }

func (upstreamDecoder) Upstream(o wire.Object, _ time.Time) (*catalog.Upstream, error) {
	return &catalog.Upstream{ID: fleet.UpstreamID(o.Name), Service: "s", Born: 7, Revision: o.Version}, nil
}

// told is a sink that keeps what it is sent.
type told struct{ departures []*pb.Departure }

func (s *told) send(m *pb.ToEntry) { s.departures = append(s.departures, m.Departures...) }

func followerOf(upstreams ...string) *watch.Follower {
	f := watch.New(watch.Deps{
		Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Decoder: upstreamDecoder{}, Log: hclog.NewNullLogger(),
	})
	c := watch.Change{Kind: "u", Whole: true, To: 1}
	for _, id := range upstreams {
		c.Objects = append(c.Objects, wire.Object{Kind: "u", Name: id, Version: 1})
	}
	f.Offer(c)
	return f
}

// Guards against a departure that a new dispatcher doesn't know, or an instance that attaches after it was told.
func TestADepartureIsKnownAfterAChangeOfDispatcher(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerOf("x", "y"), hclog.NewNullLogger())
	c.MarkLeaving(&catalog.Upstream{ID: "x", Born: 7}, "its answer")
	first := c.first()
	is.Equal(len(first.Departures), 1)
	h := newHub(followerOf("x", "y"), hclog.NewNullLogger())
	before, after := &told{}, &told{}
	h.attach("i0", before, &pb.FromEntry{})
	h.attach("i1", &told{}, first)
	is.True(h.snapshot().Upstream("x").Leaving)
	is.Equal(h.snapshot().Upstream("y").Leaving, false)
	is.Equal(len(before.departures), 1)
	h.attach("i2", after, &pb.FromEntry{})
	is.Equal(len(after.departures), 1)
	h.tell("i1", h.entries["i1"], first) // told once more, it goes no further
	is.Equal(len(before.departures), 1)
}

// Guards against a departure that nobody else learns, since it is heard after the first message to a new dispatcher was made.
func TestADepartureHeardWhileTheDispatcherChangesIsTold(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerOf("x", "y", "z"), hclog.NewNullLogger())
	c.session = &session{with: "old", end: func() {}, tell: func(*pb.FromEntry) {}}
	c.MarkLeaving(&catalog.Upstream{ID: "x", Born: 7}, "its answer")
	first := c.first()
	c.MarkLeaving(&catalog.Upstream{ID: "y", Born: 7}, "its answer")
	var since *pb.FromEntry
	c.moved(&session{with: "next", first: first, end: func() {}, tell: func(m *pb.FromEntry) { since = m }})
	is.Equal(len(since.Departures), 1)
	h := newHub(followerOf("x", "y", "z"), hclog.NewNullLogger())
	other := &told{}
	h.attach("i0", other, &pb.FromEntry{})
	to := &told{}
	h.attach("i1", to, first)
	h.tell("i1", to, since)
	for id, leaving := range map[fleet.UpstreamID]bool{"x": true, "y": true, "z": false} {
		is.Equal(h.snapshot().Upstream(id).Leaving, leaving)
	}
	is.Equal(len(other.departures), 2)
}
