package relay

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// maxSources bounds the remembered instances that have a higher configuration version.
	maxSources = 4
	// maxPullsInFlight bounds the concurrent pulls, each from a different source.
	maxPullsInFlight = 2
	// hedgeDelay is how long a pull may take before a second one is sent to another source.
	hedgeDelay = 250 * time.Millisecond
)

// pullState tracks the fetching of a configuration from instances that have a higher version. One pull is sent at
// a time, so that a change is fetched once however many peers announce it. The other sources are used if that pull
// takes longer than hedgeDelay or brings no configuration.
type pullState struct {
	inFlight     []fleet.InstanceID // instances with a pull in flight
	lastSent     decide.Instant     // when the latest pull was sent
	sources      []source           // by descending version
	highestKnown uint64             // highest version that any instance has announced
}

// source is an instance that announced a version above the one in force here.
type source struct {
	instance fleet.Instance
	version  uint64
}

// dropUnlisted removes the sources that are no longer in the instance list.
func (p *pullState) dropUnlisted(m *member.Members) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool {
		_, ok := m.Find(s.instance.ID)
		return !ok
	})
}

// remove removes one source.
func (p *pullState) remove(id fleet.InstanceID) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool { return s.instance.ID == id })
}

// add adds or replaces a source. Above maxSources the one with the lowest version is dropped.
func (p *pullState) add(s source) {
	p.remove(s.instance.ID)
	i := 0
	for i < len(p.sources) && p.sources[i].version >= s.version {
		i++
	}
	p.sources = slices.Insert(p.sources, i, s)
	p.sources = p.sources[:min(len(p.sources), maxSources)]
}

// recordPeerVersion adds an instance as a source if its version is above the one in force here, and starts a pull
// if one is due.
func (n *Node) recordPeerVersion(now decide.Instant, from fleet.Instance, version uint64) {
	if version > n.shared.Config().Version {
		n.pull.highestKnown = max(n.pull.highestKnown, version)
		n.pull.add(source{instance: from, version: version})
	}
	n.startPull(now)
}

// caughtUp reports whether the highest version that any instance has announced is in force here. Until then, no
// exchange extends trust: two instances that are equally far behind would otherwise keep each other sending work
// to a drained failure domain.
func (n *Node) caughtUp() bool { return n.shared.Config().Version >= n.pull.highestKnown }

// startPull sends a pull to the best source that has none in flight: at once if no pull is in flight, after
// hedgeDelay as a second one. It drops the sources that are not above the version in force.
func (n *Node) startPull(now decide.Instant) {
	p := &n.pull
	above := n.shared.Config().Version
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool { return s.version <= above })
	if len(p.inFlight) >= maxPullsInFlight || (len(p.inFlight) > 0 && now.Sub(p.lastSent) < hedgeDelay) {
		return
	}
	for _, s := range p.sources {
		if !slices.Contains(p.inFlight, s.instance.ID) {
			p.inFlight, p.lastSent = append(p.inFlight, s.instance.ID), now
			n.emit(PullConfig{From: s.instance, Sent: now, Above: above})
			return
		}
	}
}

// PullDone handles the outcome of a PullConfig.
func (n *Node) PullDone(now decide.Instant, sent PullConfig, c Config, ok bool) []Effect {
	if ok {
		n.applyConfig(now, c) // extends no trust; the peer's reply to the next heartbeat may
	}
	if sent.Bootstrap {
		n.bootstrapPullDone()
	} else {
		n.pull.pullEnded(sent.From.ID)
	}
	n.startPull(now)
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// pullEnded records that a pull ended, with or without a configuration, and removes its source. A source whose
// pull failed is added again with its next digest.
func (p *pullState) pullEnded(id fleet.InstanceID) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(o fleet.InstanceID) bool { return o == id })
	p.remove(id)
}
