package watch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// retention states what a copy keeps although the store doesn't have it.
type retention struct {
	// outageGrace is how long entries that vanish during an outage are kept, and restoreGrace how long those are that
	// are missing after the store came back from a copy; 0: not at all.
	outageGrace, restoreGrace time.Duration
	// takesBack reports whether an object states less than one that was read before, for example an upstream that
	// isn't leaving any more; nil: objects have nothing to take back.
	takesBack func(before, read wire.Object) bool
}

// noteRestore records that the store came back from a copy if a version is of a later era than the copy here, and reports
// whether it is.
func (r *replica) noteRestore(version uint64, now time.Time) (restored bool) {
	if r.revision == 0 || objects.Era(version) <= objects.Era(r.revision) {
		return false
	}
	r.restoredAt = now
	return true
}

// keepMissing starts the grace period of the objects that are missing after the store came back from a copy, also of those
// that were missing before.
func (r *replica) keepMissing(c *Change, listed map[string]bool, version uint64, now time.Time) {
	for name := range r.objects {
		if !listed[name] {
			delete(r.lapsing, name)
			r.startGrace(c, name, lapse{version, now.Add(r.retention.restoreGrace)})
		}
	}
}

// missingFrom returns the names of the objects that are not listed and not within their grace period already.
func (r *replica) missingFrom(listed map[string]bool) []string {
	var missing []string
	for name := range r.objects {
		if _, lapsing := r.lapsing[name]; !lapsing && !listed[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// takesBack is retention.takesBack.
func (r *replica) takesBack(before, read wire.Object) bool {
	return r.retention.takesBack != nil && r.retention.takesBack(before, read)
}

// adoptLapsing stores an object that another instance keeps for its grace period, if it isn't held here and wasn't
// deleted since.
func (r *replica) adoptLapsing(o wire.Object) {
	if _, held := r.objects[o.Name]; !held && o.Version > r.deletedAt[o.Name] {
		r.objects[o.Name] = o
	}
}
