package objects

import "strconv"

// A version orders the states of a store and of its objects. A store may come back from a copy: it loses what was
// written since, gives its revisions out again, and raises its era. Within an era the revision orders; any state of a
// later era is newer than all of an earlier one. A store without eras has era 0.

// revisionBits is the number of a version's low bits that hold the revision: thousands of changes a second fill them in
// years. The rest hold the low bits of the era, which rises by one at a time.
const revisionBits = 40

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) uint64 { return era<<revisionBits | Revision(revision) }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> revisionBits }

// Revision returns the store's own revision number of a version.
func Revision(version uint64) uint64 { return version & (1<<revisionBits - 1) }

// FormatVersion returns a version as it appears in log lines: the revision, after the era if there is one.
func FormatVersion(version uint64) string {
	revision := strconv.FormatUint(Revision(version), 10)
	if Era(version) == 0 {
		return revision
	}
	return strconv.FormatUint(Era(version), 10) + "." + revision
}
