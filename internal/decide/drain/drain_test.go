package drain_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/drain"
)

// Checks the reason and the shown impact of a drain, by the load and the memory of the remaining upstreams.
func TestDrainReasonAndImpact(t *testing.T) {
	cases := []struct {
		group  drain.Group
		reason any
		impact string
	}{
		{drain.Group{Kind: "model", Name: "m", UpstreamsBefore: 6, UpstreamsAfter: 4, Utilization: 0.5}, drain.LoadFits, "at 75%"},
		{drain.Group{Kind: "model", Name: "m", UpstreamsBefore: 6, UpstreamsAfter: 4, Utilization: 0.9}, drain.Overload, "about 26% of it would be refused"},
		{drain.Group{Kind: "model", Name: "m", UpstreamsBefore: 6, UpstreamsAfter: 4, Utilization: -1}, drain.LoadUnknown, "is not known"},
		{drain.Group{Kind: "model", Name: "m", UpstreamsBefore: 6, UpstreamsAfter: 4, MemoryBefore: 600, MemoryAfter: 400}, drain.LoadFits, "from 600 to 400 tokens"},
	}
	for _, c := range cases {
		is := is.New(t)
		r := drain.Assess(drain.Input{Domain: "a", Groups: []drain.Group{c.group}})
		is.Equal(r.Reason, c.reason)
		is.Equal(r.Rejected, "")
		is.True(strings.Contains(strings.Join(r.Impact, "\n"), c.impact))
		is.True(slices.Contains(drain.Reasons, r.Reason))
	}
}

// Guards against draining the only failure domain that has upstreams of a service, after which every request for the
// service would be refused. The drain is rejected unless it is forced, and a forced one shows what is lost.
func TestDrainOfTheLastUpstreamIsRejectedUnlessForced(t *testing.T) {
	is := is.New(t)
	in := drain.Input{Domain: "a", Groups: []drain.Group{
		{Kind: "service", Name: "bookdesk", UpstreamsBefore: 1, UpstreamsAfter: 0, Utilization: -1},
		{Kind: "model", Name: "m", UpstreamsBefore: 3, UpstreamsAfter: 2, Utilization: 0.1},
	}}
	r := drain.Assess(in)
	is.Equal(r.Reason, drain.NothingLeft)
	is.Equal(r.Rejected, "service bookdesk: no upstream is left, every request would be refused")
	in.Force = true
	r = drain.Assess(in)
	is.Equal(r.Reason, drain.ForcedNothingLeft)
	is.True(slices.Contains(r.Impact, "service bookdesk: no upstream is left, every request would be refused"))
	slices.Reverse(in.Groups)
	is.Equal(drain.Assess(in), r) // the result doesn't depend on the order of groups
}

// Checks that the assessment of a restore shows that the restored upstreams are cold.
func TestRestoreShowsThatUpstreamsAreCold(t *testing.T) {
	is := is.New(t)
	r := drain.Assess(drain.Input{Domain: "a", Restore: true, Groups: []drain.Group{{Kind: "model", Name: "m", UpstreamsBefore: 2, UpstreamsAfter: 3}}})
	is.Equal(r.Reason, drain.Restored)
	is.True(strings.Contains(r.Summary[0], "count as cold"))
	is.Equal(r.Summary[1], "model m: 2 upstreams become 3")
}
