package catalog

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Config is one version of the configuration, indexed for the path of a request. It is immutable.
type Config struct {
	Version  uint64
	Revision uint64 // of the store, at the version's write
	Limits   Limits

	byHost   map[string][]*Route // longest prefix first
	services map[ServiceName]*Service
	keys     map[string]*Workspace
	keyed    bool // workspaces are declared: a request needs a key unless its route is public
}

// NewConfig indexes a version. It gives an error that names the field and value at fault.
func NewConfig(version, revision uint64, limits Limits, routes []*Route, services []*Service, spaces []KeyedWorkspace) (*Config, error) {
	c := &Config{
		Version: version, Revision: revision, Limits: limits,
		byHost:   map[string][]*Route{},
		services: make(map[ServiceName]*Service, len(services)),
		keys:     map[string]*Workspace{},
		keyed:    len(spaces) > 0,
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, all := range c.byHost {
		slices.SortStableFunc(all, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, w := range spaces {
		for _, key := range w.Keys {
			c.keys[key] = &w.Workspace
		}
	}
	return c, nil
}

// KeyedWorkspace is a workspace with the keys that its callers show.
type KeyedWorkspace struct {
	Workspace
	Keys []string
}

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

// Route gives the route of a request: of the host's routes the one with the longest prefix of path; nil
// where none matches. The host may carry a port, and path a query.
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

// hostName gives the host without its port, in lower case.
func hostName(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}

// Service gives a service, or nil.
func (c *Config) Service(name ServiceName) *Service { return c.services[name] }

// Services gives all services by name; not to be changed.
func (c *Config) Services() map[ServiceName]*Service { return c.services }

// NeedsKey tells whether a request of the route must show a key.
func (c *Config) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// Workspace gives the workspace that holds the key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.keys[key] }

// Pick gives the service for a request of the route; point is a number in [0, 1) that is drawn for the
// request, so that the shares are met over many requests.
func (r *Route) Pick(point float64) ServiceName {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := point * total
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Snapshot is all that an instance knows of the fleet at a moment. It is immutable.
type Snapshot struct {
	Config       *Config // nil: none known yet
	DomainsOut   map[fleet.DomainID]bool
	FleetVersion uint64 // of the store, as of which the upstreams are known
	Members      []*Member

	upstreams map[fleet.UpstreamID]*Upstream
	byService map[ServiceName][]*Upstream
}

// NewSnapshot indexes what is known. The arguments must not be changed afterwards.
func NewSnapshot(c *Config, upstreams []*Upstream, out map[fleet.DomainID]bool, members []*Member, version uint64) *Snapshot {
	return (&Snapshot{}).WithConfig(c).WithDomainsOut(out).WithMembers(members).WithUpstreams(upstreams, version)
}

// WithConfig gives the snapshot with another configuration; the rest is shared.
func (s *Snapshot) WithConfig(c *Config) *Snapshot {
	next := *s
	next.Config = c
	return &next
}

// WithOut gives the snapshot with other failure domains out; the rest is shared.
func (s *Snapshot) WithDomainsOut(out map[fleet.DomainID]bool) *Snapshot {
	next := *s
	next.DomainsOut = out
	return &next
}

// WithMembers gives the snapshot with other instances, which it sorts; the rest is shared.
func (s *Snapshot) WithMembers(members []*Member) *Snapshot {
	next := *s
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next.Members = members
	return &next
}

// WithUpstreams gives the snapshot with other upstreams, known as of a version of the store; the rest is shared.
func (s *Snapshot) WithUpstreams(upstreams []*Upstream, version uint64) *Snapshot {
	next := *s
	next.FleetVersion = version
	next.upstreams = make(map[fleet.UpstreamID]*Upstream, len(upstreams))
	next.byService = map[ServiceName][]*Upstream{}
	for _, u := range upstreams {
		next.upstreams[u.ID] = u
		next.byService[u.Service] = append(next.byService[u.Service], u)
	}
	for _, all := range next.byService {
		slices.SortFunc(all, func(a, b *Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return &next
}

// Upstream gives the upstream with that id, or nil.
func (s *Snapshot) Upstream(id fleet.UpstreamID) *Upstream { return s.upstreams[id] }

// Running gives the upstream whose known start is that process, or nil.
func (s *Snapshot) UpstreamByProcess(p fleet.Process) *Upstream {
	if u := s.upstreams[p.ID]; u != nil && u.StartTime == p.StartTime {
		return u
	}
	return nil
}

// Upstreams gives a service's upstreams, sorted by id; not to be changed.
func (s *Snapshot) Upstreams(name ServiceName) []*Upstream { return s.byService[name] }

// Open tells whether the upstream may get new work: it isn't leaving and its domain isn't taken out.
func (s *Snapshot) AcceptsWork(u *Upstream) bool { return !u.Leaving && !s.DomainsOut[u.Domain] }
