package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// Guards against an upstream that no instance of a domain uses because one of them, which is cut off, can't connect: that
// its other work goes through other instances shows that it is cut off.
func TestIndirectRunsShowThatInstanceIsCutOff(t *testing.T) {
	for name, message := range map[string]*pb.FromEntry{
		"indirect":  {Indirect: []string{"far"}},
		"path lost": {Ended: []*pb.Ended{{Id: "far", How: pb.Ended_PATH_LOST}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestClient(t, "i1", "near")
			st := dispatch.New(nil, dispatch.DefaultParams())
			st.SetUpstreams([]dispatch.Upstream{{ID: "far", Domain: "far", Slots: 1}, {ID: "near", Domain: "near", Slots: 9}})
			newJob := func(id fleet.RequestID, instance fleet.InstanceID) *dispatch.Job {
				return &dispatch.Job{ID: id, Instance: instance, Domain: "near", FirstEventDeadline: 1 << 40, Deadline: 1 << 40}
			}
			h := p.hub
			h.mu.Lock()
			defer h.mu.Unlock()
			h.services["s"] = st
			now := h.now()
			for _, id := range []fleet.UpstreamID{"far", "near"} {
				st.Adopt(now, newJob(fleet.RequestID(id), "cut"), id, nil, nil, false)
			}
			h.apply(now, "cut", message)
			h.apply(now, "cut", &pb.FromEntry{Ended: []*pb.Ended{{Id: "near", How: pb.Ended_UNREACHABLE}}})
			st.Adopt(now, newJob("fills far", "sound"), "far", nil, nil, false)
			st.Ask(newJob("sound", "sound"))
			decisions := st.Step(now + 1000)
			is.Equal(len(decisions), 1)
			is.Equal(decisions[0].Upstream, fleet.UpstreamID("near"))
		})
	}
}
