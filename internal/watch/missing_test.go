package watch

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Guards against instances that write their entries again after a start of all, because the copy that they are told is older
// than their entries.
func TestEntryIsMissingOnlyFromLaterCopy(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Log: hclog.NewNullLogger()})
	copyOf := func(revision uint64, members ...catalog.Member) {
		c := Change{Kind: KindMembers, Full: true, To: revision}
		for i, m := range members {
			value, err := encodeMember(&m)
			is.NoErr(err)
			c.Objects = append(c.Objects, wire.Object{Name: string(m.ID), Version: revision - uint64(i), Value: value})
		}
		f.ApplyChange(c)
	}
	other := catalog.Member{ID: "i1", Addr: "127.0.0.1:1", Incarnation: 1}
	self := catalog.Member{ID: "i2", Addr: "127.0.0.1:2", Incarnation: 7}
	former := self
	former.Incarnation = 6
	const written = 20
	copyOf(10, other)
	is.True(!f.EntryMissing(self, written))
	copyOf(15, other, former)
	is.True(!f.EntryMissing(self, written))
	copyOf(25, other)
	is.True(f.EntryMissing(self, written))
	copyOf(30, other, self)
	is.True(!f.EntryMissing(self, written))
	copyOf(35, other, former)
	is.True(f.EntryMissing(self, written))
}
