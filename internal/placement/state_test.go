package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

func entries(n int) watch.Change {
	c := watch.Change{Kind: "u", Whole: true, From: 9, To: 9}
	for i := range n {
		c.Objects = append(c.Objects, wire.Object{Kind: "u", Name: fmt.Sprint("upstream-", i), Version: 9,
			Value: fmt.Appendf(nil, `{"service":"engines","address":"10.0.%d.%d:8080","zone":"a","slots":12,"state":"ready"}`, i/250, i%250)})
	}
	return c
}

// The dispatcher's link is full for minutes at three hundred instances: each that attaches is sent a megabyte
// of entries, packed anew. A long copy goes out packed, and the same bytes to all.
func TestALongCopyIsPackedOnce(t *testing.T) {
	is := is.New(t)
	c := entries(3000)
	w := wholes{}
	first, err := w.of(c)
	is.NoErr(err)
	is.True(len(first.Packed) > 0 && len(first.Packed) < 150_000)
	second, err := w.of(c)
	is.NoErr(err)
	is.True(first == second)
	back, err := readChange(first)
	is.NoErr(err)
	is.Equal(back, c)
	c.From = 10
	third, err := w.of(c)
	is.NoErr(err)
	is.True(third != first)
}

// Beats show ten times a second that a copy is missing while it is on its way; it is asked for once.
func TestAMissingCopyIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	c := &Client{lacked: map[string]time.Time{}}
	is.Equal(c.unasked([]string{"u", "c"}), []string{"u", "c"})
	is.Equal(len(c.unasked([]string{"u", "c"})), 0)
	c.lacked["u"] = time.Now().Add(-2 * askAgain)
	is.Equal(c.unasked([]string{"u", "c"}), []string{"u"})
}

// Bytes that are no packed copy are refused, and the copy here stays.
func TestASpoiledCopyIsRefused(t *testing.T) {
	is := is.New(t)
	m, err := changeMessage(entries(100))
	is.NoErr(err)
	m.Packed[len(m.Packed)/2] ^= 0xff
	_, err = readChange(m)
	is.True(err != nil)
}

// An instance that has just started lists the members anew for half a second. That must not keep it from being
// the dispatcher: it is the first in the order, and meanwhile it dispatches for itself, beside another one.
func TestMembersDontDecideWhoKnowsLess(t *testing.T) {
	is := is.New(t)
	theirs := []*pb.Proof{{Kind: watch.KindMembers, Known: true}, {Kind: "u", Known: true}, {Kind: "c"}}
	is.True(knowsAll([]watch.Proof{{Kind: "u", Known: true}}, theirs))
	is.True(!knowsAll([]watch.Proof{{Kind: "u"}, {Kind: watch.KindMembers, Known: true}}, theirs))
}
