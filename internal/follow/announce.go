package follow

import (
	"context"

	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// announcing is a store that tells a Follower of configurations that it wrote.
type announcing struct {
	objects.Store
	follower *Follower
}

// Announce gives a store whose writes of the configuration spread from here as soon as their answer is
// there, instead of when a watcher, whose watch may lag, sees them.
func Announce(s objects.Store, f *Follower) objects.Store { return announcing{Store: s, follower: f} }

// Put implements objects.Store.
func (a announcing) Put(ctx context.Context, w objects.Write) (uint64, error) {
	version, err := a.Store.Put(ctx, w)
	if err == nil && w.Key == ConfigKey {
		a.follower.ConfigAccepted(version, w.Value)
	}
	return version, err
}
