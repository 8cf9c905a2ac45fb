package watch

import (
	"bytes"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// maxLoggedChanges is how many changes of the entries of one kind are logged individually at a time. If there are more,
// only the total is logged for the rest: an instance that starts in a fleet of thousands of upstreams would otherwise
// spend its first second on writing log lines.
const maxLoggedChanges = 8

// publish stores a snapshot that includes the changed copy of a kind. The parts of other kinds are shared with the
// previous snapshot: to rebuild everything on each change would keep a weak processor busy with thousands of upstreams.
// mu is held.
func (f *Follower) publish(kind string, now time.Time) {
	k := f.deps.Kinds
	s := f.snapshot.Load()
	switch kind {
	case k.Config:
		f.applyConfig()
		s = s.WithConfig(f.config)
	case k.Upstreams:
		s = s.WithUpstreams(f.decodeUpstreams(now), f.replicas[k.Upstreams].revision)
	case k.DomainsOut:
		s = s.WithDomainsOut(f.readDomainsOut())
	case KindMembers:
		s = s.WithMembers(f.decodeMembers())
	}
	f.snapshot.Store(s)
}

// readDomainsOut returns the failure domains that are out of service.
func (f *Follower) readDomainsOut() map[fleet.DomainID]bool {
	out := map[fleet.DomainID]bool{}
	for name := range f.replicas[f.deps.Kinds.DomainsOut].objects {
		out[fleet.DomainID(name)] = true
	}
	f.logDomainsOut(out)
	return out
}

// changeLog logs the first maxLoggedChanges of a batch of changes individually, and then the total.
type changeLog struct {
	log     hclog.Logger
	objects string // what kind of objects change, for the log line with the total
	count   int    // number of changes so far
}

// info counts a change and logs it unless too many are logged already.
func (l *changeLog) info(msg string, fields ...any) {
	if l.count++; l.count <= maxLoggedChanges {
		l.log.Info(msg, fields...)
	}
}

// end logs the number of changes if some weren't logged individually. The total is the number of objects known now.
func (l *changeLog) end(total int) {
	if l.count > maxLoggedChanges {
		l.log.Info("more changes at once", "of", l.objects, "changes", l.count, "not_logged", l.count-maxLoggedChanges, "known", total)
	}
}

// applyConfig puts a newer configuration in force. A configuration whose version isn't higher than that of the one in
// force is ignored: it comes from a stale read, or an older configuration was written again.
func (f *Follower) applyConfig() {
	o, ok := f.replicas[f.deps.Kinds.Config].objects[f.deps.Kinds.ConfigName]
	if !ok || o.Version == f.triedRevision {
		return
	}
	f.triedRevision = o.Version
	c, err := f.deps.Decoder.Config(o)
	if err != nil {
		f.log.Error("configuration can't be decoded; the last one stays in force", "revision", objects.FormatVersion(o.Version), "error", err)
		return
	}
	if f.config != nil && c.Version <= f.config.Version {
		f.log.Warn("configuration is not newer than the one in force; ignored", "version", c.Version, "in_force", f.config.Version)
		return
	}
	f.config = c
	f.log.Info("configuration in force", "version", c.Version, "revision", objects.FormatVersion(c.Revision))
}

// decodeUpstreams returns the upstreams of the current entries, and logs the upstreams whose entries have appeared,
// changed or gone.
func (f *Follower) decodeUpstreams(now time.Time) []*catalog.Upstream {
	entries := f.replicas[f.deps.Kinds.Upstreams].objects
	upstreams := make([]*catalog.Upstream, 0, len(entries))
	log := &changeLog{log: f.log, objects: "upstreams"}
	defer func() { log.end(len(upstreams)) }()
	for name, o := range entries {
		if u := f.decodeUpstream(name, o, now, log); u != nil {
			upstreams = append(upstreams, u)
		}
	}
	for id := range f.upstreams {
		if _, ok := entries[string(id)]; !ok {
			log.info("upstream gone", "upstream", id)
			delete(f.upstreams, id)
			delete(f.values, id)
			f.departures.removeWithoutStartTime(id)
		}
	}
	return upstreams
}

// decodeUpstream returns the upstream of an entry, marked as leaving if a departure is recorded for its process. An
// entry is decoded only if it has changed, because the remaining cold time of an upstream counts from then. An entry
// that can't be decoded yields nil.
func (f *Follower) decodeUpstream(name string, o wire.Object, now time.Time, log *changeLog) *catalog.Upstream {
	id := fleet.UpstreamID(name)
	current := f.upstreams[id]
	if current != nil && objects.Era(current.Revision) != objects.Era(o.Version) && bytes.Equal(f.values[id], o.Value) {
		// The store came back from a copy. Decoded again, an upstream would start its cold time anew.
		unchanged := *current
		unchanged.Revision = o.Version
		current = &unchanged
		f.upstreams[id] = current
	}
	if current == nil || current.Revision != o.Version {
		u := f.decodeEntry(o, now)
		if u == nil {
			delete(f.upstreams, id)
			return nil
		}
		logUpstream(log, current, u)
		f.upstreams[id], f.values[id] = u, o.Value
		current = u
	}
	if !current.Leaving && f.departures.has(current) {
		leaving := *current
		leaving.Leaving = true
		return &leaving
	}
	return current
}

// decodeEntry decodes an upstream's entry. It returns nil for one that can't be decoded, and logs each version of such an
// entry once.
func (f *Follower) decodeEntry(o wire.Object, now time.Time) *catalog.Upstream {
	u, err := f.deps.Decoder.Upstream(o, now)
	if err == nil {
		return u
	}
	if f.undecodable[o.Name] != o.Version {
		f.undecodable[o.Name] = o.Version
		f.log.Warn("upstream entry can't be decoded", "error", err)
	}
	return nil
}

// logUpstream logs a new upstream, or an upstream whose address, start time or leaving state has changed.
func logUpstream(log *changeLog, old, u *catalog.Upstream) {
	switch {
	case old == nil:
		log.info("upstream found", "upstream", u.ID, "service", u.Service, "addr", u.Addr, "domain", u.Domain,
			"leaving", u.Leaving, "revision", objects.FormatVersion(u.Revision))
	case u.Leaving != old.Leaving || u.StartTime != old.StartTime || u.Addr != old.Addr:
		log.info("upstream changed", "upstream", u.ID, "addr", u.Addr, "leaving", u.Leaving, "born", u.StartTime,
			"revision", objects.FormatVersion(u.Revision))
	}
}

// logDomainsOut logs which failure domains were taken out of service and which were restored.
func (f *Follower) logDomainsOut(out map[fleet.DomainID]bool) {
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

// decodeMembers returns the instances of the current entries, and logs the instances whose entries have appeared or
// gone.
func (f *Follower) decodeMembers() []*catalog.Member {
	entries := f.replicas[KindMembers].objects
	members := make([]*catalog.Member, 0, len(entries))
	log := &changeLog{log: f.log, objects: "instances"}
	defer func() { log.end(len(members)) }()
	for name, o := range entries {
		id := fleet.InstanceID(name)
		m := f.members[id]
		if m == nil || m.Revision != o.Version {
			d, err := decodeMember(o)
			if err != nil {
				f.log.Warn("instance entry can't be decoded", "error", err)
				continue
			}
			m = d
			f.members[id] = m
			log.info("instance found", "instance", m.ID, "addr", m.Addr, "incarnation", m.Incarnation)
		}
		members = append(members, m)
	}
	for id := range f.members {
		if _, ok := entries[string(id)]; !ok {
			log.info("instance gone", "instance", id)
			delete(f.members, id)
		}
	}
	return members
}
