package watch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// A leaving upstream gets work, or a new one none: changes that go out as one leave a copy in another state than one by
// one.
func TestJoinedChangesAreTheSame(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Now()
		first, one, joined := newMirror("k", true), newMirror("k", false), newMirror("k", false)
		if rapid.Bool().Draw(r, "outage") {
			first.returned = now
		}
		start := wire.List{Version: 10, Objects: []wire.Object{object("a", 3), object("b", 7)}}
		for _, m := range []*mirror{first, one, joined} {
			m.replace(start, time.Now())
		}
		all := Change{Kind: "k", From: first.latest, To: first.revision}
		for i := range uint64(rapid.IntRange(1, 12).Draw(r, "changes")) {
			revision := 11 + 2*i
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name")
			l := wire.List{Version: revision}
			if rapid.Bool().Draw(r, "gone") {
				l.Deleted = []string{name}
			} else {
				l.Objects = []wire.Object{object(name, revision)}
			}
			c := first.follow(l, now)
			if rapid.Bool().Draw(r, "list without news") {
				c = c.Merge(first.replace(listed(first, revision+1), now))
			}
			if c.empty() {
				continue
			}
			if _, ok := one.offer(c, now); !ok {
				r.Fatal("a change was not taken")
			}
			all = all.Merge(c)
		}
		if _, ok := joined.offer(all, now); !ok {
			r.Fatal("the joined change was not taken")
		}
		for _, m := range []*mirror{one, joined} {
			m.expire(now.Add(lapseGrace))
		}
		if got, want := fmt.Sprint(versions(joined)), fmt.Sprint(versions(one)); got != want {
			r.Fatalf("joined %s, one by one %s", got, want)
		}
	})
}

// listed is what the store that a copy has just read lists as of a revision.
func listed(m *mirror, revision uint64) wire.List {
	l := wire.List{Version: revision}
	for name, o := range m.objects {
		if _, lapses := m.lapsing[name]; !lapses {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

func versions(m *mirror) map[string]uint64 {
	all := map[string]uint64{}
	for name, o := range maps.All(m.objects) {
		all[name] = o.Version
	}
	return all
}
