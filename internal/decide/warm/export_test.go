package warm

import "github.com/damaskshelf/damaskshelf/internal/rendezvous"

// FirstSlotHolderForTest returns the member to which an upstream's first slot is assigned.
func FirstSlotHolderForTest(upstream string, members []string) string {
	return rendezvous.Top(upstream, members, 1)[0]
}
