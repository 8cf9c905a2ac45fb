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

// upstreamDecoder decodes upstream entries whose process started at 7.
type upstreamDecoder struct{}

func (upstreamDecoder) Config(wire.Object) (*catalog.Config, error) { return &catalog.Config{}, nil }

func (upstreamDecoder) Upstream(o wire.Object, _ time.Time) (*catalog.Upstream, error) {
	return &catalog.Upstream{ID: fleet.UpstreamID(o.Name), Service: "s", StartTime: 7, Revision: o.Version}, nil
}

// recordingSink is a sink that records what it is sent.
type recordingSink struct{ sent []*pb.ToEntry }

func (s *recordingSink) send(m *pb.ToEntry) { s.sent = append(s.sent, m) }

// departures returns the departures that the sink was sent.
func (s *recordingSink) departures() []*pb.Departure { return mergeToEntry(s.sent).Departures }

// followerWithUpstreams returns a Follower that holds the given upstreams, each with StartTime 7.
func followerWithUpstreams(upstreams ...string) *watch.Follower {
	f := watch.New(watch.Deps{
		Kinds: watch.Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: upstreamDecoder{}, Log: hclog.NewNullLogger(),
	})
	c := watch.Change{Kind: "u", Full: true, To: 1}
	for _, id := range upstreams {
		c.Objects = append(c.Objects, wire.Object{Kind: "u", Name: id, Version: 1})
	}
	f.ApplyChange(c)
	return f
}

// Guards against a departure that is lost to a new dispatcher, or to an instance that attaches after the broadcast.
func TestNewDispatcherLearnsDepartures(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerWithUpstreams("x", "y"), hclog.NewNullLogger())
	c.MarkLeaving(&catalog.Upstream{ID: "x", StartTime: 7}, "its answer")
	first := c.firstMessage()
	is.Equal(len(first.Departures), 1)
	h := newHub("self", followerWithUpstreams("x", "y"), hclog.NewNullLogger())
	before, after := &recordingSink{}, &recordingSink{}
	h.attach("i0", before, &pb.FromEntry{})
	h.attach("i1", &recordingSink{}, first)
	is.True(h.snapshot().Upstream("x").Leaving)
	is.Equal(h.snapshot().Upstream("y").Leaving, false)
	is.Equal(len(before.departures()), 1)
	h.attach("i2", after, &pb.FromEntry{})
	is.Equal(len(after.departures()), 1)
	h.receive("i1", h.sinks["i1"], first) // a repeated report is not broadcast again
	is.Equal(len(before.departures()), 1)
}

// Guards against a departure that is never reported because it arrives after the first message to a new dispatcher
// was built.
func TestDepartureDuringSessionSwitchIsReported(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerWithUpstreams("x", "y", "z"), hclog.NewNullLogger())
	c.session = &session{peerID: "old", end: func() {}, send: func(*pb.FromEntry) {}}
	c.MarkLeaving(&catalog.Upstream{ID: "x", StartTime: 7}, "its answer")
	first := c.firstMessage()
	c.MarkLeaving(&catalog.Upstream{ID: "y", StartTime: 7}, "its answer")
	var since *pb.FromEntry
	c.switchSession(&session{peerID: "next", firstMessage: first, end: func() {}, send: func(m *pb.FromEntry) { since = m }})
	is.Equal(len(since.Departures), 1)
	h := newHub("self", followerWithUpstreams("x", "y", "z"), hclog.NewNullLogger())
	other := &recordingSink{}
	h.attach("i0", other, &pb.FromEntry{})
	to := &recordingSink{}
	h.attach("i1", to, first)
	h.receive("i1", to, since)
	for id, leaving := range map[fleet.UpstreamID]bool{"x": true, "y": true, "z": false} {
		is.Equal(h.snapshot().Upstream(id).Leaving, leaving)
	}
	is.Equal(len(other.departures()), 2)
}
