// Package rendezvous chooses owners by highest-random-weight hashing. Instances with the same list of
// members agree without talking, and a member that comes or goes moves only its own share.
//
// Ownership found here is an optimisation: two instances with different lists may both think they own a
// key, and nothing may depend on that not happening.
package rendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of member for key; the highest owns it.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owner gives the member that owns key, or "" without members. Equal scores go to the lower name.
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

// Top gives the n members with the highest weight for key, highest first; fewer where there are fewer.
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
