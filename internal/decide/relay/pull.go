package relay

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// maxSources bounds the instances that are remembered as ahead.
	maxSources = 4
	// maxPulls may be out at once, from different sources.
	maxPulls = 2
	// hedgeAfter is how long the first pull stays the only one.
	hedgeAfter = 250 * time.Millisecond
)

// pullSide fetches a configuration from an instance that is ahead: one pull at a time, so that a change
// is fetched once however many peers tell of it; the other sources stand by for when it gets no answer.
type pullSide struct {
	out     []fleet.InstanceID // instances that a pull is out to
	sent    decide.Instant     // of the latest pull
	sources []source           // highest version first
	heard   uint64             // highest version that anybody told of
}

type source struct {
	from    fleet.Instance
	version uint64
}

// forget drops the sources that the list no longer shows.
func (p *pullSide) forget(m *member.Members) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool {
		_, ok := m.Find(s.from.ID)
		return !ok
	})
}

// drop removes one source.
func (p *pullSide) drop(id fleet.InstanceID) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool { return s.from.ID == id })
}

// add notes a source; the lowest makes place.
func (p *pullSide) add(s source) {
	p.drop(s.from.ID)
	i := 0
	for i < len(p.sources) && p.sources[i].version >= s.version {
		i++
	}
	p.sources = slices.Insert(p.sources, i, s)
	p.sources = p.sources[:min(len(p.sources), maxSources)]
}

// behind notes that an instance has that version, and pulls if it is above the one in force here.
func (n *Node) behind(now decide.Instant, from fleet.Instance, version uint64) {
	if version > n.news.Config().Version {
		n.pull.heard = max(n.pull.heard, version)
		n.pull.add(source{from: from, version: version})
	}
	n.startPull(now)
}

// caughtUp tells whether the highest version that this instance heard of is in force here. While it is
// not, no peer that is as far behind can vouch for what is known here: two slow ones would keep each
// other sending to a domain that was taken out.
func (n *Node) caughtUp() bool { return n.news.Config().Version >= n.pull.heard }

func (n *Node) startPull(now decide.Instant) {
	p := &n.pull
	above := n.news.Config().Version
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool { return s.version <= above })
	if len(p.out) >= maxPulls || (len(p.out) > 0 && now.Sub(p.sent) < hedgeAfter) {
		return
	}
	for _, s := range p.sources {
		if !slices.Contains(p.out, s.from.ID) {
			p.out, p.sent = append(p.out, s.from.ID), now
			n.do(PullConfig{From: s.from, Sent: now, Above: above})
			return
		}
	}
}

// PullDone takes the outcome of a PullConfig.
func (n *Node) PullDone(now decide.Instant, sent PullConfig, c Config, ok bool) []Effect {
	if ok {
		n.take(now, c) // whether the peer vouches for it shows in the answer to the next heartbeat
	}
	if sent.Bootstrap {
		n.bootstrapAnswer()
	} else {
		n.pull.ended(sent.From.ID)
	}
	n.startPull(now)
	n.heartbeats(now)
	return n.finish(now)
}

// ended takes that a pull came back, with or without a configuration. A source that failed comes up
// again with its next digest.
func (p *pullSide) ended(id fleet.InstanceID) {
	p.out = slices.DeleteFunc(p.out, func(o fleet.InstanceID) bool { return o == id })
	p.drop(id)
}
