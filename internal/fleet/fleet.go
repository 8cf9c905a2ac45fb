// Package fleet holds the typed identities of the fleet and the immutable View of it that the path of a
// request reads. One writer builds a View and publishes it through an atomic pointer.
package fleet

import (
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/api"
)

// Identities. Each is unique in its kind for the fleet's life.
type (
	InstanceID  string // an instance of ours or of the platform
	UpstreamID  string // an engine or plain service instance
	DomainID    string // a failure domain
	RegionID    string
	WorkspaceID string
	RequestID   string
)

// Process is one start of an upstream: another start under the same id is another process, and knows nothing of this one.
type Process struct {
	ID        UpstreamID
	StartTime int64 // Unix ms of its start; 0: it isn't known
}

// Instance is one entry instance.
type Instance struct {
	ID       InstanceID
	PeerAddr string
	Domain   DomainID
	Region   RegionID
	Leaving  bool
}

// UpstreamKind tells engines from plain services.
type UpstreamKind uint8

// The kinds of upstreams.
const (
	Engine UpstreamKind = iota
	Service
)

// Upstream is one engine or plain service as the instance list and the configuration show it.
type Upstream struct {
	ID            UpstreamID
	Kind          UpstreamKind
	Addr          string
	Domain        DomainID
	Region        RegionID
	Service       string   // plain service's name
	Models        []string // models that it serves now, sorted
	LongLane      bool     // in a long lane
	Fencing       bool     // refuses orders with an old fencing number
	KVCacheTokens int64    // KV cache in tokens
	Leaving       bool
	DomainOut     bool // its failure domain is taken out
}

// Takes tells whether the upstream may get new work.
func (u *Upstream) AcceptsWork() bool { return !u.Leaving && !u.DomainOut }

// Serves tells whether the upstream has the model loaded.
func (u *Upstream) Serves(model string) bool {
	_, found := slices.BinarySearch(u.Models, model)
	return found
}

// View is an immutable picture of the fleet. Nothing in it is changed after it was published.
type View struct {
	ConfigVersion uint64 // version of Config in the object API; 0: none yet
	Config        api.Config
	ListVersion   uint64      // of the instance list
	Instances     []*Instance // sorted by ID
	Upstreams     []*Upstream // sorted by ID
	byID          map[UpstreamID]*Upstream
	byModel       map[string][]*Upstream
	byService     map[string][]*Upstream
}

// NewView builds a View. It takes over the slices, which must not be changed afterwards.
func NewView(version uint64, cfg api.Config, listVersion uint64, instances []*Instance, upstreams []*Upstream) *View {
	v := &View{
		ConfigVersion: version, Config: cfg, ListVersion: listVersion,
		Instances: instances, Upstreams: upstreams,
		byID:      make(map[UpstreamID]*Upstream, len(upstreams)),
		byModel:   map[string][]*Upstream{},
		byService: map[string][]*Upstream{},
	}
	slices.SortFunc(v.Instances, func(a, b *Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(v.Upstreams, func(a, b *Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, u := range v.Upstreams {
		v.byID[u.ID] = u
		if u.Kind == Service {
			v.byService[u.Service] = append(v.byService[u.Service], u)
			continue
		}
		for _, m := range u.Models {
			v.byModel[m] = append(v.byModel[m], u)
		}
	}
	return v
}

// Upstream gives the upstream with that id, or nil.
func (v *View) Upstream(id UpstreamID) *Upstream { return v.byID[id] }

// Engines gives the engines that have model loaded, sorted by id; shared, not to be changed.
func (v *View) Engines(model string) []*Upstream { return v.byModel[model] }

// Services gives the instances of a plain service, sorted by id; shared, not to be changed.
func (v *View) Services(name string) []*Upstream { return v.byService[name] }
