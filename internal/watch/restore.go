package watch

import (
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// The store may come back from a copy and lose what was written since. It then gives its revisions out again, in a later
// era.

// Era returns the latest era of the store that is known.
func (f *Follower) Era() uint64 { return f.era.Load() }

// noteEra records the era of a version, and reports whether it is later than the latest known one, as after the store
// came back from a copy. mu is held.
func (f *Follower) noteEra(version uint64) (later bool) {
	before, era := f.era.Load(), objects.Era(version)
	if era <= before {
		return false
	}
	f.era.Store(era)
	if f.holdsNothing() {
		return false // the first that is known
	}
	f.log.Warn("store came back from a copy", "era", era, "era_before", before)
	return true
}

// holdsNothing reports whether nothing of the store is known yet. mu is held.
func (f *Follower) holdsNothing() bool {
	for _, r := range f.replicas {
		if r.revision > 0 {
			return false
		}
	}
	return true
}

// relistAll makes the next read of every kind a list, at once: a pending watch may wait for revisions that the store
// doesn't have any more. mu is held.
func (f *Follower) relistAll() {
	for _, r := range f.replicas {
		r.known = false
	}
	close(f.interrupt)
	f.interrupt = make(chan struct{})
	f.wakeLoops()
}
