package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// Removing a member changes the owner of that member's keys only. The order of the list doesn't matter.
func TestRemovingMemberMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c", "d", "e", "f"}
	remaining := []string{"f", "e", "d", "b", "a"}
	owned := map[string]int{}
	for i := range 600 {
		key := fmt.Sprint("key-", i)
		before := rendezvous.Owner(key, members)
		after := rendezvous.Owner(key, remaining)
		if before != "c" {
			is.Equal(before, after)
		}
		is.Equal(before, rendezvous.Top(key, members, 3)[0])
		owned[before]++
	}
	for _, m := range members {
		is.True(owned[m] > 50) // every member owns more than half of the mean share of 600 keys
	}
}

func TestTopWithTooFewMembers(t *testing.T) {
	is := is.New(t)
	is.Equal(rendezvous.Owner("k", nil), "")
	top := rendezvous.Top("k", []string{"a", "b"}, 5)
	slices.Sort(top)
	is.Equal(top, []string{"a", "b"})
}
