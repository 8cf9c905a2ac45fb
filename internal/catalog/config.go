package catalog

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Config is one version of the configuration, indexed for the request path. It is immutable.
type Config struct {
	Version  uint64
	Revision uint64 // version (package objects) of the store's object
	Limits   Limits

	byHost         map[string][]*Route // by host name in lower case, longest prefix first
	services       map[ServiceName]*Service
	workspaceByKey map[string]*Workspace
	keysRequired   bool // the configuration declares workspaces: a request needs a key unless its route is public
}

// NewConfig indexes a configuration version. An error names the route and the invalid field.
func NewConfig(version, revision uint64, limits Limits, routes []*Route, services []*Service, workspaces []KeyedWorkspace) (*Config, error) {
	c := &Config{
		Version: version, Revision: revision, Limits: limits,
		byHost:         map[string][]*Route{},
		services:       make(map[ServiceName]*Service, len(services)),
		workspaceByKey: map[string]*Workspace{},
		keysRequired:   len(workspaces) > 0,
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, hostRoutes := range c.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			c.workspaceByKey[key] = &w.Workspace
		}
	}
	return c, nil
}

// KeyedWorkspace is a workspace with the API keys of its callers.
type KeyedWorkspace struct {
	Workspace
	Keys []string
}

// addRoute checks a route and adds it to the routes of its host.
func (c *Config) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return fmt.Errorf("route %q: names no service", r.Name)
	}
	host := strings.ToLower(r.Host)
	c.byHost[host] = append(c.byHost[host], r)
	return nil
}

// Route returns the route of a request, or nil if none matches: among the routes of the host, the one with the longest
// prefix of the path. The host may include a port, and the path a query.
func (c *Config) Route(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}

// Service returns the service with the name, or nil.
func (c *Config) Service(name ServiceName) *Service { return c.services[name] }

// Services returns all services by name. The map is shared; the caller must not modify it.
func (c *Config) Services() map[ServiceName]*Service { return c.services }

// NeedsKey reports whether a request of the route must carry a key.
func (c *Config) NeedsKey(r *Route) bool { return c.keysRequired && !r.Public }

// Workspace returns the workspace that the key belongs to, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.workspaceByKey[key] }

// Pick returns the service that serves a request of the route. The point is drawn uniformly from [0, 1) for each
// request, so that over many requests each service gets its share.
func (r *Route) Pick(point float64) ServiceName {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Snapshot is everything that an instance knows of the fleet at one moment. It is immutable.
type Snapshot struct {
	Config       *Config                 // nil: none known yet
	DomainsOut   map[fleet.DomainID]bool // failure domains that are out of service
	FleetVersion uint64                  // version (package objects) of the upstreams
	Members      []*Member

	upstreams map[fleet.UpstreamID]*Upstream
	byService map[ServiceName][]*Upstream
	byAddr    *addrIndex
}

// addrIndex finds upstreams by address. It is built on its first use, as most snapshots are never asked.
type addrIndex struct {
	once   sync.Once
	byAddr map[string][]*Upstream
}

// find returns the upstreams at an address; all are the snapshot's upstreams.
func (x *addrIndex) find(addr string, all map[fleet.UpstreamID]*Upstream) []*Upstream {
	x.once.Do(func() {
		x.byAddr = make(map[string][]*Upstream, len(all))
		for _, u := range all {
			x.byAddr[u.Addr] = append(x.byAddr[u.Addr], u)
		}
	})
	return x.byAddr[addr]
}

// NewSnapshot returns a snapshot of the arguments, which must not be modified afterwards. The version is the store
// revision of the upstreams.
func NewSnapshot(c *Config, upstreams []*Upstream, out map[fleet.DomainID]bool, members []*Member, version uint64) *Snapshot {
	return (&Snapshot{}).WithConfig(c).WithDomainsOut(out).WithMembers(members).WithUpstreams(upstreams, version)
}

// WithConfig returns a copy of the snapshot with another configuration. The copy shares the rest.
func (s *Snapshot) WithConfig(c *Config) *Snapshot {
	next := *s
	next.Config = c
	return &next
}

// WithDomainsOut returns a copy of the snapshot with other failure domains out of service. The copy shares the rest.
func (s *Snapshot) WithDomainsOut(out map[fleet.DomainID]bool) *Snapshot {
	next := *s
	next.DomainsOut = out
	return &next
}

// WithMembers returns a copy of the snapshot with other instances, and sorts them by id in place. The copy shares the
// rest.
func (s *Snapshot) WithMembers(members []*Member) *Snapshot {
	next := *s
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next.Members = members
	return &next
}

// WithUpstreams returns a copy of the snapshot with other upstreams, as of a revision of the store. The copy shares the
// rest.
func (s *Snapshot) WithUpstreams(upstreams []*Upstream, version uint64) *Snapshot {
	next := *s
	next.FleetVersion = version
	next.upstreams = make(map[fleet.UpstreamID]*Upstream, len(upstreams))
	next.byService = map[ServiceName][]*Upstream{}
	next.byAddr = &addrIndex{}
	for _, u := range upstreams {
		next.upstreams[u.ID] = u
		next.byService[u.Service] = append(next.byService[u.Service], u)
	}
	for _, group := range next.byService {
		slices.SortFunc(group, func(a, b *Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return &next
}

// Upstream returns the upstream with the id, or nil.
func (s *Snapshot) Upstream(id fleet.UpstreamID) *Upstream { return s.upstreams[id] }

// UpstreamByProcess returns the upstream whose current process is p, or nil.
func (s *Snapshot) UpstreamByProcess(p fleet.Process) *Upstream {
	if u := s.upstreams[p.ID]; u != nil && u.StartTime == p.StartTime {
		return u
	}
	return nil
}

// UpstreamByAddr returns the upstream at an address, or nil. Of several, as after an address was assigned again, it
// returns one that accepts work if any does.
func (s *Snapshot) UpstreamByAddr(addr string) *Upstream {
	if s.byAddr == nil {
		return nil
	}
	var found *Upstream
	for _, u := range s.byAddr.find(addr, s.upstreams) {
		if found == nil || s.AcceptsWork(u) {
			found = u
		}
	}
	return found
}

// Upstreams returns the upstreams of a service, sorted by id. The slice is shared; the caller must not modify it.
func (s *Snapshot) Upstreams(name ServiceName) []*Upstream { return s.byService[name] }

// AcceptsWork reports whether the upstream may get new work: it isn't leaving and its failure domain is in service.
func (s *Snapshot) AcceptsWork(u *Upstream) bool { return !u.Leaving && !s.DomainsOut[u.Domain] }
