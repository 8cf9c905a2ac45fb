package watch

import (
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// The store may come back from a copy and lose what was written since. What operators and upstreams wrote is written
// again, after a while. Until then the copies here keep what must not be undone: a configuration in force and the keys
// that it revokes, an upstream's leaving, a failure domain that is out of service. They also keep the entries of
// upstreams and instances for as long as these need to write them again.

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
	f.log.Warn("store came back from a copy: what is missing in it stays in force until it is written again", "era", era, "era_before", before)
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
	f.endPendingReads()
}

// configTakesBack reports whether a configuration that was read is older than the one before, or can't be decoded.
func (f *Follower) configTakesBack(before, read wire.Object) bool {
	b, err := f.deps.Decoder.Config(before)
	if err != nil {
		return false // logged when it was read
	}
	r, err := f.deps.Decoder.Config(read)
	if err != nil {
		f.log.Error("configuration can't be decoded; the one before is kept", "revision", objects.FormatVersion(read.Version), "error", err)
		return true
	}
	return r.Version < b.Version
}

// upstreamTakesBack reports whether an upstream that was read is not leaving although the same process was before, or may
// have been the same. mu is held.
func (f *Follower) upstreamTakesBack(before, read wire.Object) bool {
	b := f.decodedUpstream(before)
	if b == nil || !b.Leaving {
		return false
	}
	r := f.decodedUpstream(read)
	restarted := r != nil && r.StartTime != b.StartTime && r.StartTime != 0 && b.StartTime != 0
	return r == nil || !r.Leaving && !restarted
}

// decodedUpstream decodes an upstream's entry, or returns nil if that fails. mu is held.
func (f *Follower) decodedUpstream(o wire.Object) *catalog.Upstream {
	if u := f.upstreams[fleet.UpstreamID(o.Name)]; u != nil && u.Revision == o.Version {
		return u
	}
	return f.decodeEntry(o, f.started)
}

// EntryMissing reports whether the store, as last read, has no entry of this incarnation of the instance, which wrote it at the
// given version. It returns false while no instance's entry is known, and while the store was last read before that: the
// instances that read it for all may be behind by as much as they are late, and so may what they tell.
func (f *Follower) EntryMissing(self catalog.Member, written uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[KindMembers]
	if len(r.objects) == 0 || r.revision < written {
		return false
	}
	if _, lapsing := r.lapsing[string(self.ID)]; lapsing {
		return true
	}
	m := f.members[self.ID]
	return m == nil || m.Incarnation != self.Incarnation
}
