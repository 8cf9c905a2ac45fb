package warm

import "github.com/damaskshelf/damaskshelf/internal/rendezvous"

// TopForTest is the member that gets an upstream's first slot.
func FirstSlotHolderForTest(upstream string, members []string) string {
	return rendezvous.Top(upstream, members, 1)[0]
}
