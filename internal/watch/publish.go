package watch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// publish builds and stores a snapshot; mu is held.
func (f *Follower) publish(now time.Time) {
	k := f.deps.Kinds
	f.readConfig()
	upstreams := f.readUpstreams(now)
	out := map[fleet.DomainID]bool{}
	for name := range f.mirrors[k.Out].objects {
		out[fleet.DomainID(name)] = true
	}
	f.logOut(out)
	s := catalog.NewSnapshot(f.config, upstreams, out, f.readMembers(), f.mirrors[k.Upstreams].revision)
	f.snapshot.Store(s)
}

// readConfig puts a newer configuration in force. A lower version is a stale read; it never replaces one
// that was in force.
func (f *Follower) readConfig() {
	o, ok := f.mirrors[f.deps.Kinds.Config].objects[f.deps.Kinds.ConfigName]
	if !ok || o.Version == f.tried {
		return
	}
	f.tried = o.Version
	c, err := f.deps.Decoder.Config(o)
	if err != nil {
		f.log.Error("configuration can't be read: the last one stays in force", "revision", o.Version, "error", err)
		return
	}
	if f.config != nil && c.Version <= f.config.Version {
		f.log.Warn("configuration is not newer: kept out", "version", c.Version, "in_force", f.config.Version)
		return
	}
	f.config = c
	f.log.Info("configuration in force", "version", c.Version, "revision", c.Revision)
}

func (f *Follower) readUpstreams(now time.Time) []*catalog.Upstream {
	entries := f.mirrors[f.deps.Kinds.Upstreams].objects
	all := make([]*catalog.Upstream, 0, len(entries))
	for name, o := range entries {
		if u := f.readUpstream(name, o, now); u != nil {
			all = append(all, u)
		}
	}
	for id := range f.upstreams {
		if _, ok := entries[string(id)]; !ok {
			f.log.Info("upstream gone", "upstream", id)
			delete(f.upstreams, id)
			delete(f.left, id)
		}
	}
	return all
}

// readUpstream gives the decoded entry, decoding it only when it changed: its cold time counts from then.
func (f *Follower) readUpstream(name string, o wire.Object, now time.Time) *catalog.Upstream {
	id := fleet.UpstreamID(name)
	old := f.upstreams[id]
	if old == nil || old.Revision != o.Version {
		u, err := f.deps.Decoder.Upstream(o, now)
		if err != nil {
			if f.spoiled[name] != o.Version {
				f.spoiled[name] = o.Version
				f.log.Warn("entry names no upstream", "error", err)
			}
			delete(f.upstreams, id)
			return nil
		}
		f.logUpstream(old, u)
		f.upstreams[id] = u
		old = u
	}
	if sign := f.left[id]; sign != nil && sign.Born == old.Born && !old.Leaving {
		leaving := *old
		leaving.Leaving = true
		return &leaving
	}
	return old
}

func (f *Follower) logUpstream(old, u *catalog.Upstream) {
	switch {
	case old == nil:
		f.log.Info("upstream found", "upstream", u.ID, "service", u.Service, "addr", u.Addr, "domain", u.Domain,
			"leaving", u.Leaving, "revision", u.Revision)
	case u.Leaving != old.Leaving || u.Born != old.Born || u.Addr != old.Addr:
		f.log.Info("upstream changed", "upstream", u.ID, "addr", u.Addr, "leaving", u.Leaving, "born", u.Born,
			"revision", u.Revision)
	}
}

func (f *Follower) logOut(out map[fleet.DomainID]bool) {
	old := f.snapshot.Load().Out
	for d := range out {
		if !old[d] {
			f.log.Info("failure domain taken out", "domain", d)
		}
	}
	for d := range old {
		if !out[d] {
			f.log.Info("failure domain taken back", "domain", d)
		}
	}
}

func (f *Follower) readMembers() []*catalog.Member {
	entries := f.mirrors[KindMembers].objects
	all := make([]*catalog.Member, 0, len(entries))
	for name, o := range entries {
		id := fleet.InstanceID(name)
		m := f.members[id]
		if m == nil || m.Revision != o.Version {
			d, err := decodeMember(o)
			if err != nil {
				f.log.Warn("entry names no instance", "error", err)
				continue
			}
			m = d
			f.members[id] = m
			f.log.Info("instance found", "instance", m.ID, "addr", m.Addr, "incarnation", m.Incarnation)
		}
		all = append(all, m)
	}
	for id := range f.members {
		if _, ok := entries[string(id)]; !ok {
			f.log.Info("instance gone", "instance", id)
			delete(f.members, id)
		}
	}
	return all
}
