// Package fleet defines the identifiers of the fleet's parts and the View, an immutable snapshot of the fleet that the
// request path reads. A single writer builds each View and publishes it through an atomic pointer.
package fleet

import (
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/api"
)

// Identifiers. Each is unique among all of its kind for as long as the fleet exists.
type (
	InstanceID  string // a damaskshelf instance, or an instance of the platform
	UpstreamID  string // an engine, or an instance of a plain service
	DomainID    string // a failure domain
	RegionID    string
	WorkspaceID string
	RequestID   string
)

// Process identifies one start of an upstream. A restarted upstream has the same id but is another process that has no
// state of this one.
type Process struct {
	ID        UpstreamID
	StartTime int64 // Unix ms; 0: unknown
}

// Instance is one damaskshelf instance.
type Instance struct {
	ID       InstanceID
	PeerAddr string
	Domain   DomainID
	Region   RegionID
	Leaving  bool
}

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind uint8

// Kinds of upstreams.
const (
	Engine UpstreamKind = iota
	Service
)

// Upstream is one engine or one instance of a plain service, as listed in the instance list and the configuration.
type Upstream struct {
	ID            UpstreamID
	Kind          UpstreamKind
	Addr          string
	Domain        DomainID
	Region        RegionID
	Service       string   // name of the plain service
	Models        []string // models that it currently serves, sorted
	LongLane      bool     // belongs to a lane for long prompts
	Fencing       bool     // rejects orders with an outdated fencing number
	KVCacheTokens int64    // capacity of its KV cache
	Leaving       bool
	DomainOut     bool // its failure domain is out of service
}

// AcceptsWork reports whether the upstream may get new work.
func (u *Upstream) AcceptsWork() bool { return !u.Leaving && !u.DomainOut }

// Serves reports whether the upstream has the model loaded.
func (u *Upstream) Serves(model string) bool {
	_, found := slices.BinarySearch(u.Models, model)
	return found
}

// View is an immutable snapshot of the fleet. It isn't modified after its publication.
type View struct {
	ConfigVersion uint64 // version of Config in the object API; 0: no configuration yet
	Config        api.Config
	ListVersion   uint64      // version of the instance list
	Instances     []*Instance // sorted by ID
	Upstreams     []*Upstream // sorted by ID
	byID          map[UpstreamID]*Upstream
	byModel       map[string][]*Upstream
	byService     map[string][]*Upstream
}

// NewView builds a View. It takes ownership of the slices and sorts them; the caller must not modify them afterwards.
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

// Upstream returns the upstream with the id, or nil.
func (v *View) Upstream(id UpstreamID) *Upstream { return v.byID[id] }

// Engines returns the engines that have the model loaded, sorted by id. The slice is shared; the caller must not modify
// it.
func (v *View) Engines(model string) []*Upstream { return v.byModel[model] }

// Services returns the instances of a plain service, sorted by id. The slice is shared; the caller must not modify it.
func (v *View) Services(name string) []*Upstream { return v.byService[name] }
