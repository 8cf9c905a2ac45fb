package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// A member that leaves moves only the keys it owned, and the order of the list does not matter.
func TestOnlyTheLostMembersKeysMove(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c", "d", "e", "f"}
	rest := []string{"f", "e", "d", "b", "a"}
	owned := map[string]int{}
	for i := range 600 {
		key := fmt.Sprint("key-", i)
		before := rendezvous.Owner(key, members)
		after := rendezvous.Owner(key, rest)
		if before != "c" {
			is.Equal(before, after)
		}
		is.Equal(before, rendezvous.Top(key, members, 3)[0])
		owned[before]++
	}
	for _, m := range members {
		is.True(owned[m] > 50) // every member owns a fair part of 600 keys
	}
}

func TestTopNeedsNoMoreThanThereIs(t *testing.T) {
	is := is.New(t)
	is.Equal(rendezvous.Owner("k", nil), "")
	top := rendezvous.Top("k", []string{"a", "b"}, 5)
	slices.Sort(top)
	is.Equal(top, []string{"a", "b"})
}
