package placement

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// upstreamEntries returns a full copy of n upstreams.
func upstreamEntries(n int) watch.Change {
	c := watch.Change{Kind: "u", Full: true, From: 9, To: 9}
	for i := range n {
		c.Objects = append(c.Objects, wire.Object{Kind: "u", Name: fmt.Sprint("upstream-", i), Version: 9,
			Value: fmt.Appendf(nil, `{"service":"engines","address":"10.0.%d.%d:8080","zone":"a","slots":12,"state":"ready"}`, i/250, i%250)})
	}
	return c
}

// Guards against the dispatcher's link being full for minutes at three hundred instances, when each that attaches is
// sent a megabyte of entries, packed anew. A long copy is packed once, and the same bytes go to all.
func TestFullCopyIsPackedOnce(t *testing.T) {
	is := is.New(t)
	c := upstreamEntries(3000)
	w := newFullCopyCache()
	first, err := w.message(c)
	is.NoErr(err)
	is.True(len(first.Packed) > 0 && len(first.Packed) < 150_000)
	second, err := w.message(c)
	is.NoErr(err)
	is.True(first == second)
	back, err := decodeChange(first, nil, 0)
	is.NoErr(err)
	is.Equal(back, c)
	c.From = 10
	third, err := w.message(c)
	is.NoErr(err)
	is.True(third != first)
}

// Guards against repeated requests for a copy in transit, since heartbeats show ten times a second that it is
// missing.
func TestMissingCopyIsRequestedOnce(t *testing.T) {
	is := is.New(t)
	c := &Client{requestedAt: map[string]time.Time{}}
	is.Equal(c.notYetRequested([]string{"u", "c"}), []string{"u", "c"})
	is.Equal(len(c.notYetRequested([]string{"u", "c"})), 0)
	c.requestedAt["u"] = time.Now().Add(-2 * fullCopyTimeout)
	is.Equal(c.notYetRequested([]string{"u", "c"}), []string{"u"})
}

// Guards against corrupt packed bytes being applied to the copy here.
func TestCorruptCopyIsRejected(t *testing.T) {
	is := is.New(t)
	m, err := changeMessage(upstreamEntries(100))
	is.NoErr(err)
	m.Packed[len(m.Packed)/2] ^= 0xff
	_, err = decodeChange(m, nil, 0)
	is.True(err != nil)
}

// Guards against two dispatchers while an instance that has just started lists the members for half a second. Missing
// members must not keep it from being the dispatcher: it is the first in dispatcher order, and meanwhile it
// dispatches for itself.
func TestMissingMembersDoNotMakeStateIncomplete(t *testing.T) {
	is := is.New(t)
	theirs := []*pb.Proof{{Kind: watch.KindMembers, Known: true}, {Kind: "u", Known: true}, {Kind: "c"}}
	is.True(hasAllKinds([]watch.Proof{{Kind: "u", Known: true}}, theirs))
	is.True(!hasAllKinds([]watch.Proof{{Kind: "u"}, {Kind: watch.KindMembers, Known: true}}, theirs))
}

// Guards against the dispatcher's link being full after each change of a configuration of a thousand routes, sent in
// full to hundreds of instances. The next version is sent as a difference, and an instance that holds another version
// requests a full copy.
func TestLargeObjectIsSentAsDifference(t *testing.T) {
	is := is.New(t)
	value := func(timeout int) []byte {
		var b []byte
		for i := range 1500 {
			b = fmt.Appendf(b, `{"name":"r-%x","path_prefix":"/p%x/","timeout_ms":%d}`, i*40503, i*48271, timeout)
		}
		return b
	}
	change := func(version uint64, timeout int) watch.Change {
		return watch.Change{Kind: "c", From: version - 1, To: version, Objects: []wire.Object{
			{Kind: "c", Name: "main", Version: version, Value: value(timeout)},
		}}
	}
	sent := sentObjects{}
	first, err := sent.changeMessage(change(2, 1000))
	is.NoErr(err)
	second, err := sent.changeMessage(change(3, 2500))
	is.NoErr(err)
	is.True(proto.Size(second) < proto.Size(first)/10)

	f := newTestFollower()
	needed, err := applyState(f, []*pb.Change{second}, nil)
	is.NoErr(err)
	is.Equal(needed, []string{"c"}) // nothing is held yet
	f.ApplyChange(watch.Change{Kind: "c", Full: true, To: 1})
	needed, err = applyState(f, []*pb.Change{first, second}, nil)
	is.NoErr(err)
	is.Equal(len(needed), 0)
	o, ok := f.Object("c", "main")
	is.True(ok)
	is.Equal(o.Version, uint64(3))
	is.True(bytes.Equal(o.Value, value(2500)))
	needed, err = applyState(f, []*pb.Change{second}, nil)
	is.NoErr(err)
	is.Equal(len(needed), 0) // a repeated difference
}

// Guards against a fleet that ignores the news of instances whose build knows no eras, for as long as an upgrade takes:
// their revisions count in the present era.
func TestChangesWithoutEraCountInPresentOne(t *testing.T) {
	is := is.New(t)
	held := objects.NewVersion(3, 20)
	m := &pb.Change{Kind: "k", From: 20, To: 21, Objects: []*pb.Object{{Name: "o", Version: 21, Value: []byte("{}")}}}
	c, err := decodeChange(m, nil, objects.Era(held))
	is.NoErr(err)
	is.True(c.From == held && c.To > held && c.Objects[0].Version == c.To)
	p := decodeProof(&pb.Proof{Kind: "k", Known: true, Revision: 21, Latest: 21}, objects.Era(held))
	is.Equal(p.Revision, c.To)

	back, err := changeMessage(c)
	is.NoErr(err)
	is.Equal(back.To, uint64(21)) // what such a build understands
	is.Equal(back.ToEra, uint64(3+1))
	again, err := decodeChange(back, nil, 9)
	is.NoErr(err)
	is.Equal(again, c)

	first, err := changeMessage(watch.Change{Kind: "k", From: 20, To: 21, Deleted: []string{"o"}})
	is.NoErr(err)
	late, err := decodeChange(first, nil, 1) // of the first era, which has the number 0
	is.NoErr(err)
	is.Equal(late.To, uint64(21))
}

// Guards against a full copy that is encoded anew for each of hundreds of instances that attach, and against an outdated
// one: a copy can change several times at one revision.
func TestFullCopyIsEncodedOncePerChange(t *testing.T) {
	is := is.New(t)
	cache := newFullCopyCache()
	full := watch.Change{Kind: "k", Full: true, Serial: 1, From: objects.NewVersion(3, 20), To: objects.NewVersion(3, 20)}
	first, err := cache.message(full)
	is.NoErr(err)
	again, err := cache.message(full)
	is.NoErr(err)
	is.True(first == again)
	full.Serial, full.Lapsing = 2, []string{"o"}
	changed, err := cache.message(full)
	is.NoErr(err)
	is.Equal(changed.Lapsing, full.Lapsing)
}
