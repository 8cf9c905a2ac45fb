package watch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Changes are merged before they are sent. Guards against a merged change that leaves a copy in another state than the
// single changes do: a leaving upstream could get work, or a new one none.
func TestMergedChangesEqualSingleChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Now()
		source, single, merged := newTestReplica(true), newTestReplica(false), newTestReplica(false)
		if rapid.Bool().Draw(r, "outage") {
			source.availableSince = now
		}
		start := wire.List{Version: 10, Objects: []wire.Object{object("a", 3), object("b", 7)}}
		for _, rep := range []*replica{source, single, merged} {
			rep.applyList(start, time.Now())
		}
		mergedChange := Change{Kind: "k", From: source.lastChange, To: source.revision}
		for i := range uint64(rapid.IntRange(1, 12).Draw(r, "changes")) {
			revision := 11 + 2*i
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name")
			l := wire.List{Version: revision}
			if rapid.Bool().Draw(r, "deleted") {
				l.Deleted = []string{name}
			} else {
				l.Objects = []wire.Object{object(name, revision)}
			}
			c := source.applyWatch(l, now)
			if rapid.Bool().Draw(r, "unchanged list") {
				c = c.Merge(source.applyList(storeList(source, revision+1), now))
			}
			if c.empty() {
				continue
			}
			if _, ok := single.applyChange(c, now); !ok {
				r.Fatal("a change was not applied")
			}
			mergedChange = mergedChange.Merge(c)
		}
		if _, ok := merged.applyChange(mergedChange, now); !ok {
			r.Fatal("the merged change was not applied")
		}
		for _, rep := range []*replica{single, merged} {
			rep.endGracePeriods(now.Add(lapseGrace))
		}
		if got, want := fmt.Sprint(versions(merged)), fmt.Sprint(versions(single)); got != want {
			r.Fatalf("merged %s, single changes %s", got, want)
		}
	})
}

// storeList returns the list of the store that a copy has just read, as of a revision: all objects of the copy except
// the lapsing ones.
func storeList(rep *replica, revision uint64) wire.List {
	l := wire.List{Version: revision}
	for name, o := range rep.objects {
		if _, lapsing := rep.lapsing[name]; !lapsing {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// versions returns the versions of a copy's objects by name.
func versions(rep *replica) map[string]uint64 {
	all := map[string]uint64{}
	for name, o := range maps.All(rep.objects) {
		all[name] = o.Version
	}
	return all
}
