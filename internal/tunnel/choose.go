package tunnel

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// maxInstances is how many instances are asked for one connection.
	maxInstances = 4
	// failureLifetime and successLifetime are how long the result of an attempt counts for the choice of instances.
	failureLifetime = time.Second
	successLifetime = 10 * time.Second
	// wantedInstances is the number of instances that are known to connect, below which one of exploreEvery attempts
	// begins with an untried one: a single instance should not carry all work of one that is cut off.
	wantedInstances = 3
	exploreEvery    = 4
)

// record is what is known of another instance.
type record struct {
	connectedAt, failedAt time.Time // of the last attempts through it; zero: none
	open                  int       // open tunnels through it
}

// chooser chooses the instances to connect through. It is safe for concurrent use.
type chooser struct {
	mu      sync.Mutex
	records map[fleet.InstanceID]*record // guarded by mu
}

// newChooser returns a chooser that knows nothing of other instances.
func newChooser() *chooser { return &chooser{records: map[fleet.InstanceID]*record{}} }

// candidates groups instances by what is known of them.
type candidates struct {
	working []*catalog.Member // connected lately, and have not failed since
	near    []*catalog.Member // untried, of the same failure domain
	far     []*catalog.Member // untried, of other failure domains
	failed  []*catalog.Member // failed lately
}

// choose returns up to maxInstances of the members, in the order in which to ask them: those that connected lately,
// then untried ones, then those that failed lately. Untried ones come from this instance's own failure domain, domain, and
// from others in turn: near ones cost least, and may all have lost the same paths.
func (c *chooser) choose(now time.Time, members []*catalog.Member, domain fleet.DomainID) []*catalog.Member {
	c.mu.Lock()
	c.forget(members)
	all := c.group(now, members, domain)
	out := make([]*catalog.Member, 0, maxInstances)
	first := c.leastUsed(all.working, domain)
	c.mu.Unlock()
	untried := alternate(all.near, all.far)
	explore := len(untried) > 0 && len(all.working) < wantedInstances && rand.IntN(exploreEvery) == 0
	if explore {
		out = append(out, untried[0])
		untried = untried[1:]
	}
	if first != nil {
		out = append(out, first)
	}
	shuffle(all.working)
	shuffle(all.failed)
	for _, group := range [][]*catalog.Member{all.working, untried, all.failed} {
		for _, m := range group {
			if len(out) == maxInstances {
				return out
			}
			if m != first {
				out = append(out, m)
			}
		}
	}
	return out
}

// group groups the members; mu is held.
func (c *chooser) group(now time.Time, members []*catalog.Member, domain fleet.DomainID) candidates {
	var all candidates
	for _, m := range members {
		r := c.records[m.ID]
		switch {
		case r != nil && now.Sub(r.failedAt) < failureLifetime:
			all.failed = append(all.failed, m)
		case r != nil && now.Sub(r.connectedAt) < successLifetime && r.connectedAt.After(r.failedAt):
			all.working = append(all.working, m)
		case m.Domain == domain:
			all.near = append(all.near, m)
		default:
			all.far = append(all.far, m)
		}
	}
	return all
}

// leastUsed returns the instance with the fewest open tunnels of two random ones, or nil if there is none; mu is held.
// One of the own failure domain is preferred if it has no more than the other.
func (c *chooser) leastUsed(members []*catalog.Member, domain fleet.DomainID) *catalog.Member {
	if len(members) == 0 {
		return nil
	}
	a, b := members[rand.IntN(len(members))], members[rand.IntN(len(members))]
	openA, openB := c.records[a.ID].open, c.records[b.ID].open
	if openB < openA || (openB == openA && b.Domain == domain) {
		return b
	}
	return a
}

// alternate returns both lists in random order, with their elements in turn.
func alternate(a, b []*catalog.Member) []*catalog.Member {
	shuffle(a)
	shuffle(b)
	out := make([]*catalog.Member, 0, 2*maxInstances)
	for i := 0; i < max(len(a), len(b)) && len(out) < maxInstances; i++ {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// shuffle puts the first maxInstances elements in random order, chosen from all.
func shuffle(all []*catalog.Member) {
	for i := range min(maxInstances, len(all)) {
		j := i + rand.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
}

// recordOf returns the record of an instance; mu is held.
func (c *chooser) recordOf(id fleet.InstanceID) *record {
	r := c.records[id]
	if r == nil {
		r = &record{}
		c.records[id] = r
	}
	return r
}

// opened records that an instance connected to an upstream, and counts its tunnel as open.
func (c *chooser) opened(now time.Time, id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.recordOf(id)
	r.connectedAt = now
	r.open++
}

// closed ends a tunnel that opened counted.
func (c *chooser) closed(id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOf(id).open--
}

// failed records that an instance could not connect to an upstream, or was lost. The upstream may be at fault: the
// instance is only asked after others for a while.
func (c *chooser) failed(now time.Time, id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOf(id).failedAt = now
}

// forget drops the records of instances that are no members any more and have no open tunnel, once there are many; mu is
// held.
func (c *chooser) forget(members []*catalog.Member) {
	if len(c.records) <= 2*len(members) {
		return
	}
	isMember := make(map[fleet.InstanceID]bool, len(members))
	for _, m := range members {
		isMember[m.ID] = true
	}
	for id, r := range c.records {
		if r.open == 0 && !isMember[id] {
			delete(c.records, id)
		}
	}
}
