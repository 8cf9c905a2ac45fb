// Package keeper builds the immutable fleet.View from the configuration, the instance list and the reports of engines.
// It publishes the view through an atomic pointer. Writers take a lock; readers never do.
package keeper

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// ServingState is what an engine reports about the models that it serves.
type ServingState struct {
	Models   []string // sorted
	LongLane bool     // the engine's role assigns it to a lane for long prompts
}

// Keeper holds the current View.
type Keeper struct {
	view atomic.Pointer[fleet.View]

	mu            sync.Mutex
	configVersion uint64                            // guarded by mu; version of config
	config        api.Config                        // guarded by mu
	instanceList  wire.InstanceList                 // guarded by mu
	serving       map[fleet.UpstreamID]ServingState // guarded by mu
	// leaving holds the upstreams that leave according to sources other than the instance list. Guarded by mu.
	leaving  []fleet.UpstreamID
	onChange func(old, new *fleet.View) // called with mu held after each new View; may be nil
}

// New returns a Keeper with an empty View. It calls onChange after each new View, in the order of the Views. A nil
// onChange is not called.
func New(onChange func(old, new *fleet.View)) *Keeper {
	k := &Keeper{serving: map[fleet.UpstreamID]ServingState{}, onChange: onChange}
	k.view.Store(fleet.NewView(0, api.Config{}, 0, nil, nil))
	return k
}

// View returns the current View. It is never nil.
func (k *Keeper) View() *fleet.View { return k.view.Load() }

// SetConfig puts a configuration in force if its version is higher than the one in force, and reports whether it did. A
// lower version comes from a stale read or a late message: putting it in force would revert an accepted configuration.
func (k *Keeper) SetConfig(version uint64, cfg api.Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.configVersion {
		return false
	}
	k.configVersion, k.config = version, cfg
	k.publish()
	return true
}

// SetInstances replaces the instance list if the new one has a higher version, and reports whether it did.
func (k *Keeper) SetInstances(list wire.InstanceList) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if list.Version <= k.instanceList.Version {
		return false
	}
	k.instanceList = list
	k.publish()
	return true
}

// SetServingState records what an engine reports about the models that it serves.
func (k *Keeper) SetServingState(id fleet.UpstreamID, s ServingState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, ok := k.serving[id]; ok && slices.Equal(old.Models, s.Models) && old.LongLane == s.LongLane {
		return
	}
	k.serving[id] = s
	k.publish()
}

// SetLeaving records the upstreams that are leaving according to sources other than the instance list: their own
// responses, and other instances. It replaces those of earlier calls.
func (k *Keeper) SetLeaving(ids []fleet.UpstreamID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Equal(k.leaving, ids) {
		return
	}
	k.leaving = slices.Clone(ids)
	k.publish()
}

// publish builds and stores a View, and calls onChange. The caller holds mu.
func (k *Keeper) publish() {
	var instances []*fleet.Instance
	var upstreams []*fleet.Upstream
	for _, i := range k.instanceList.Instances {
		if i.Kind == wire.KindEntry {
			instances = append(instances, newInstance(i))
			continue
		}
		upstreams = append(upstreams, k.newUpstream(i))
	}
	k.pruneServing(upstreams)
	old := k.view.Load()
	v := fleet.NewView(k.configVersion, k.config, k.instanceList.Version, instances, upstreams)
	k.view.Store(v)
	if k.onChange != nil {
		k.onChange(old, v)
	}
}

// pruneServing removes the serving states of upstreams that are not in the list. The caller holds mu.
func (k *Keeper) pruneServing(upstreams []*fleet.Upstream) {
	listed := make(map[fleet.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = true
	}
	for id := range k.serving {
		if !listed[id] {
			delete(k.serving, id)
		}
	}
}

// newInstance converts an entry of the instance list to an instance.
func newInstance(i wire.Instance) *fleet.Instance {
	return &fleet.Instance{
		ID: fleet.InstanceID(i.ID), PeerAddr: i.PeerAddr,
		Domain: fleet.DomainID(i.Domain), Region: fleet.RegionID(i.Region),
		Leaving: i.State == wire.StateLeaving,
	}
}

// newUpstream converts an entry of the instance list to an upstream. The caller holds mu.
func (k *Keeper) newUpstream(i wire.Instance) *fleet.Upstream {
	id := fleet.UpstreamID(i.ID)
	u := &fleet.Upstream{
		ID: id, Addr: i.Addr,
		Domain: fleet.DomainID(i.Domain), Region: fleet.RegionID(i.Region),
		Service: i.Service, Fencing: i.Fencing, KVCacheTokens: i.KVCacheTokens,
		Models:    k.serving[id].Models,
		LongLane:  k.serving[id].LongLane,
		Leaving:   i.State == wire.StateLeaving || slices.Contains(k.leaving, id),
		DomainOut: slices.Contains(k.config.DomainsOut, i.Domain),
	}
	if i.Kind == wire.KindService {
		u.Kind = fleet.Service
	}
	return u
}
