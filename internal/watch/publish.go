package watch

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// bulk is how many changes of entries of one kind are logged one by one; of more at once only their number is: an
// instance that starts before thousands of upstreams would spend its first second on writing lines.
const bulk = 8

// publish stores a snapshot with what has changed of a kind; mu is held. Parts of other kinds are shared with the
// last one: building all of it anew for each change takes a weak processor's time with thousands of upstreams.
func (f *Follower) publish(kind string, now time.Time) {
	k := f.deps.Kinds
	s := f.snapshot.Load()
	switch kind {
	case k.Config:
		f.readConfig()
		s = s.WithConfig(f.config)
	case k.Upstreams:
		s = s.WithUpstreams(f.readUpstreams(now), f.mirrors[k.Upstreams].revision)
	case k.DomainsOut:
		s = s.WithDomainsOut(f.readOut())
	case KindMembers:
		s = s.WithMembers(f.readMembers())
	}
	f.snapshot.Store(s)
}

func (f *Follower) readOut() map[fleet.DomainID]bool {
	out := map[fleet.DomainID]bool{}
	for name := range f.mirrors[f.deps.Kinds.DomainsOut].objects {
		out[fleet.DomainID(name)] = true
	}
	f.logOut(out)
	return out
}

// bulkLog writes the first lines of many of one sort, and then their number.
type bulkLog struct {
	log  hclog.Logger
	what string
	n    int
}

func (b *bulkLog) info(msg string, fields ...any) {
	if b.n++; b.n <= bulk {
		b.log.Info(msg, fields...)
	}
}

func (b *bulkLog) end(total int) {
	if b.n > bulk {
		b.log.Info("more changes at once", "of", b.what, "changes", b.n, "not_logged", b.n-bulk, "known", total)
	}
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
	log := &bulkLog{log: f.log, what: "upstreams"}
	defer func() { log.end(len(all)) }()
	for name, o := range entries {
		if u := f.readUpstream(name, o, now, log); u != nil {
			all = append(all, u)
		}
	}
	for id := range f.upstreams {
		if _, ok := entries[string(id)]; !ok {
			log.info("upstream gone", "upstream", id)
			delete(f.upstreams, id)
			f.left.forgetUnnamed(id)
		}
	}
	return all
}

// readUpstream gives the decoded entry, decoding it only when it changed: its cold time counts from then.
func (f *Follower) readUpstream(name string, o wire.Object, now time.Time, log *bulkLog) *catalog.Upstream {
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
		logUpstream(log, old, u)
		f.upstreams[id] = u
		old = u
	}
	if !old.Leaving && f.left.has(old) {
		leaving := *old
		leaving.Leaving = true
		return &leaving
	}
	return old
}

func logUpstream(log *bulkLog, old, u *catalog.Upstream) {
	switch {
	case old == nil:
		log.info("upstream found", "upstream", u.ID, "service", u.Service, "addr", u.Addr, "domain", u.Domain,
			"leaving", u.Leaving, "revision", u.Revision)
	case u.Leaving != old.Leaving || u.StartTime != old.StartTime || u.Addr != old.Addr:
		log.info("upstream changed", "upstream", u.ID, "addr", u.Addr, "leaving", u.Leaving, "born", u.StartTime,
			"revision", u.Revision)
	}
}

func (f *Follower) logOut(out map[fleet.DomainID]bool) {
	old := f.snapshot.Load().DomainsOut
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
	log := &bulkLog{log: f.log, what: "instances"}
	defer func() { log.end(len(all)) }()
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
			log.info("instance found", "instance", m.ID, "addr", m.Addr, "incarnation", m.Incarnation)
		}
		all = append(all, m)
	}
	for id := range f.members {
		if _, ok := entries[string(id)]; !ok {
			log.info("instance gone", "instance", id)
			delete(f.members, id)
		}
	}
	return all
}
