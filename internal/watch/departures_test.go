package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// startTimeDecoder decodes entries whose value is the start time of the upstream's process.
type startTimeDecoder struct{ emptyDecoder }

// Upstream implements Decoder.
func (startTimeDecoder) Upstream(o wire.Object, _ time.Time) (*catalog.Upstream, error) {
	u := &catalog.Upstream{ID: fleet.UpstreamID(o.Name), Service: "s", Revision: o.Version}
	_, err := fmt.Sscan(string(o.Value), &u.StartTime)
	return u, err
}

// Guards against a departure that is reverted by older information from the store, or by an entry that lapsed and was
// restored; and against one that also applies to the upstream's next process.
func TestDepartureIsFinalForItsProcess(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: startTimeDecoder{}, Log: hclog.NewNullLogger()})
	revision := uint64(0)
	apply := func(startTime string) *catalog.Upstream {
		revision++
		c := Change{Kind: "u", Full: revision == 1, From: revision - 1, To: revision}
		if startTime == "" {
			c.Deleted = []string{"x"}
		} else {
			c.Objects = []wire.Object{{Kind: "u", Name: "x", Version: revision, Value: []byte(startTime)}}
		}
		f.ApplyChange(c)
		return f.Snapshot().Upstream("x")
	}
	is.Equal(apply("7").Leaving, false)
	is.True(f.MarkLeaving(fleet.Process{ID: "x", StartTime: 7}, "its answer", "i"))
	is.True(!f.MarkLeaving(fleet.Process{ID: "x", StartTime: 7}, "its answer", "i"))
	is.True(f.Snapshot().Upstream("x").Leaving)
	is.True(apply("7").Leaving)
	is.Equal(f.Departures(), []fleet.Process{{ID: "x", StartTime: 7}})
	is.Equal(apply(""), nil)
	is.Equal(len(f.Departures()), 0)
	is.True(apply("7").Leaving)
	is.Equal(apply("8").Leaving, false)
	f.MarkLeaving(fleet.Process{ID: "x", StartTime: 7}, "a late answer", "i")
	is.Equal(f.Snapshot().Upstream("x").Leaving, false)
}

// Guards against an upstream that never gets work again: without a start time, a new process under the same id can't be
// distinguished from the one that left.
func TestDepartureWithoutStartTimeEndsWithItsEntry(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: startTimeDecoder{}, Log: hclog.NewNullLogger()})
	entry := func(version uint64) []wire.Object {
		return []wire.Object{{Kind: "u", Name: "x", Version: version, Value: []byte("0")}}
	}
	f.ApplyChange(Change{Kind: "u", Full: true, To: 1, Objects: entry(1)})
	f.MarkLeaving(fleet.Process{ID: "x", StartTime: 0}, "its answer", "i")
	is.True(f.Snapshot().Upstream("x").Leaving)
	f.ApplyChange(Change{Kind: "u", From: 1, To: 2, Deleted: []string{"x"}})
	f.ApplyChange(Change{Kind: "u", From: 2, To: 3, Objects: entry(3)})
	is.Equal(f.Snapshot().Upstream("x").Leaving, false)
}

// Guards against memory use that grows with every upstream that has ever left.
func TestOldDeparturesAreEvicted(t *testing.T) {
	is := is.New(t)
	d := newDepartures()
	start := time.Now()
	for i := range maxDepartures + 5 {
		d.mark(fleet.Process{ID: fleet.UpstreamID(fmt.Sprint(i)), StartTime: 1}, start.Add(time.Duration(i)))
	}
	is.Equal(len(d.markedAt), maxDepartures)
	is.True(!d.has(&catalog.Upstream{ID: "0", StartTime: 1}))
	is.True(d.has(&catalog.Upstream{ID: fleet.UpstreamID(fmt.Sprint(maxDepartures)), StartTime: 1}))
}
