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

// bornDecoder reads entries whose value is the start of the upstream's process.
type bornDecoder struct{ emptyDecoder }

func (bornDecoder) Upstream(o wire.Object, _ time.Time) (*catalog.Upstream, error) {
	u := &catalog.Upstream{ID: fleet.UpstreamID(o.Name), Service: "s", Revision: o.Version}
	_, err := fmt.Sscan(string(o.Value), &u.StartTime)
	return u, err
}

// Guards against a leaving that the store's older news, or an entry that lapsed and came back, takes back; and against one that
// outlives its process.
func TestADepartureIsFinalForItsProcess(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: bornDecoder{}, Log: hclog.NewNullLogger()})
	revision := uint64(0)
	offer := func(born string) *catalog.Upstream {
		revision++
		c := Change{Kind: "u", Full: revision == 1, From: revision - 1, To: revision}
		if born == "" {
			c.Deleted = []string{"x"}
		} else {
			c.Objects = []wire.Object{{Kind: "u", Name: "x", Version: revision, Value: []byte(born)}}
		}
		f.ApplyChange(c)
		return f.Snapshot().Upstream("x")
	}
	is.Equal(offer("7").Leaving, false)
	is.True(f.MarkLeaving(fleet.Process{ID: "x", StartTime: 7}, "its answer", "i"))
	is.True(!f.MarkLeaving(fleet.Process{ID: "x", StartTime: 7}, "its answer", "i"))
	is.True(f.Snapshot().Upstream("x").Leaving)
	is.True(offer("7").Leaving)
	is.Equal(f.Departures(), []fleet.Process{{ID: "x", StartTime: 7}})
	is.Equal(offer(""), nil)
	is.Equal(len(f.Departures()), 0)
	is.True(offer("7").Leaving)
	is.Equal(offer("8").Leaving, false)
	f.MarkLeaving(fleet.Process{ID: "x", StartTime: 7}, "a late answer", "i")
	is.Equal(f.Snapshot().Upstream("x").Leaving, false)
}

// Guards against an upstream that gets nothing for ever: where no start is stated, another process under its id can't be told
// from the one that left.
func TestADepartureWithoutAStartEndsWithItsEntry(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: bornDecoder{}, Log: hclog.NewNullLogger()})
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

// Guards against a memory that grows with every upstream that ever left.
func TestOldDeparturesAreForgotten(t *testing.T) {
	is := is.New(t)
	d := newDepartures()
	began := time.Now()
	for i := range maxDepartures + 5 {
		d.note(fleet.Process{ID: fleet.UpstreamID(fmt.Sprint(i)), StartTime: 1}, began.Add(time.Duration(i)))
	}
	is.Equal(len(d.noted), maxDepartures)
	is.True(!d.has(&catalog.Upstream{ID: "0", StartTime: 1}))
	is.True(d.has(&catalog.Upstream{ID: fleet.UpstreamID(fmt.Sprint(maxDepartures)), StartTime: 1}))
}
