package follow

import (
	"context"

	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// announcingStore is a store that reports the configurations written through it to a Follower.
type announcingStore struct {
	objects.Store
	follower *Follower
}

// Announce returns a store that passes each configuration written through it to f as soon as the write is acknowledged,
// so that f distributes it at once. A watcher would see the configuration later, because its watch may lag.
func Announce(s objects.Store, f *Follower) objects.Store {
	return announcingStore{Store: s, follower: f}
}

// Put implements objects.Store.
func (a announcingStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	version, err := a.Store.Put(ctx, w)
	if err == nil && w.Key == ConfigKey {
		a.follower.ConfigAccepted(version, w.Value)
	}
	return version, err
}
