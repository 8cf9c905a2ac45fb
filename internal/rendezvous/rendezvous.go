// Package rendezvous assigns keys to members by highest-random-weight hashing. Instances with the same list of members
// get the same owners without communication. A member that is added or removed changes the owner of its own keys only.
//
// Ownership is only an optimisation: two instances with different lists may both own a key by their lists. Safety must
// not depend on a single owner.
package rendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of member for key. The member with the highest weight owns the key.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owner returns the member that owns key, or "" without members. Of members with equal scores it returns the one whose
// name sorts first.
func Owner(key string, members []string) string {
	owner, best := "", uint64(0)
	for _, m := range members {
		s := Score(key, m)
		if owner == "" || s > best || (s == best && m < owner) {
			owner, best = m, s
		}
	}
	return owner
}

// Top returns the n members with the highest weights for key, highest first, or all members if there are fewer than n.
func Top(key string, members []string, n int) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		sa, sb := Score(key, a), Score(key, b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return ranked[:min(n, len(ranked))]
}
