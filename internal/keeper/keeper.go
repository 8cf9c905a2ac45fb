// Package keeper builds the immutable fleet.View out of configuration, instance list and what engines say
// of themselves, and publishes it through an atomic pointer. Writers take a lock; readers never do.
package keeper

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Served is what an engine says that it serves.
type ServingState struct {
	Models   []string // sorted
	LongLane bool     // its role puts it in a long lane
}

// Keeper holds the current View.
type Keeper struct {
	view atomic.Pointer[fleet.View]

	mu      sync.Mutex
	version uint64                            // guarded by mu: of config
	config  api.Config                        // guarded by mu
	list    wire.InstanceList                 // guarded by mu
	served  map[fleet.UpstreamID]ServingState // guarded by mu
	leaving []fleet.UpstreamID                // guarded by mu: by signs other than the instance list
	changed func(old, new *fleet.View)        // called under mu after each publication; may be nil
}

// New gives a Keeper with an empty View. changed is called in order after each new View.
func New(changed func(old, new *fleet.View)) *Keeper {
	k := &Keeper{served: map[fleet.UpstreamID]ServingState{}, changed: changed}
	k.view.Store(fleet.NewView(0, api.Config{}, 0, nil, nil))
	return k
}

// View gives the current picture; never nil.
func (k *Keeper) View() *fleet.View { return k.view.Load() }

// SetConfig puts a configuration in force if its version is higher than the one in force, and tells
// whether it did. A lower version is a stale read or a late message: taking it would revert an accepted
// configuration.
func (k *Keeper) SetConfig(version uint64, cfg api.Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.version {
		return false
	}
	k.version, k.config = version, cfg
	k.publish()
	return true
}

// SetInstances takes a newer instance list, and tells whether it was newer.
func (k *Keeper) SetInstances(list wire.InstanceList) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if list.Version <= k.list.Version {
		return false
	}
	k.list = list
	k.publish()
	return true
}

// SetServed takes what an engine says that it serves.
func (k *Keeper) SetServingState(id fleet.UpstreamID, s ServingState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, ok := k.served[id]; ok && slices.Equal(old.Models, s.Models) && old.LongLane == s.LongLane {
		return
	}
	k.served[id] = s
	k.publish()
}

// SetLeaving takes the upstreams that are leaving by signs other than the instance list (their own
// answers, peers), in place of those that it took before.
func (k *Keeper) SetLeaving(ids []fleet.UpstreamID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Equal(k.leaving, ids) {
		return
	}
	k.leaving = slices.Clone(ids)
	k.publish()
}

// publish builds and stores a View; mu is held.
func (k *Keeper) publish() {
	var instances []*fleet.Instance
	var upstreams []*fleet.Upstream
	for _, i := range k.list.Instances {
		if i.Kind == wire.KindEntry {
			instances = append(instances, instance(i))
			continue
		}
		upstreams = append(upstreams, k.upstream(i))
	}
	k.forget(upstreams)
	old := k.view.Load()
	v := fleet.NewView(k.version, k.config, k.list.Version, instances, upstreams)
	k.view.Store(v)
	if k.changed != nil {
		k.changed(old, v)
	}
}

// forget drops what is known of upstreams that the list no longer names.
func (k *Keeper) forget(upstreams []*fleet.Upstream) {
	listed := make(map[fleet.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = true
	}
	for id := range k.served {
		if !listed[id] {
			delete(k.served, id)
		}
	}
}

func instance(i wire.Instance) *fleet.Instance {
	return &fleet.Instance{
		ID: fleet.InstanceID(i.ID), PeerAddr: i.PeerAddr,
		Domain: fleet.DomainID(i.Domain), Region: fleet.RegionID(i.Region),
		Leaving: i.State == wire.StateLeaving,
	}
}

func (k *Keeper) upstream(i wire.Instance) *fleet.Upstream {
	id := fleet.UpstreamID(i.ID)
	u := &fleet.Upstream{
		ID: id, Addr: i.Addr,
		Domain: fleet.DomainID(i.Domain), Region: fleet.RegionID(i.Region),
		Service: i.Service, Fencing: i.Fencing, KVCacheTokens: i.KVCacheTokens,
		Models:    k.served[id].Models,
		LongLane:  k.served[id].LongLane,
		Leaving:   i.State == wire.StateLeaving || slices.Contains(k.leaving, id),
		DomainOut: slices.Contains(k.config.DomainsOut, i.Domain),
	}
	if i.Kind == wire.KindService {
		u.Kind = fleet.Service
	}
	return u
}
