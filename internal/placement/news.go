package placement

import (
	"context"
	"slices"
	"time"

	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// news is what is new of the copies of the store: a change, or how new they are.
type news struct {
	change *watch.Change
	own    bool // the change was read from the store here
	proofs []watch.Proof
}

// stateChanged queues a change of the copies. It is called under the Follower's lock, which orders changes
// and proofs; sending needs other locks.
func (c *Client) stateChanged(ch watch.Change, own bool) {
	c.news.put(news{change: &ch, own: own})
	if ch.Kind == watch.KindMembers {
		c.lookNow()
	}
}

// beat queues how new the copies are.
func (c *Client) beat() { c.news.put(news{proofs: c.follower.Proofs()}) }

// tellNews sends what is new: as the dispatcher to all, and what was read here also to the dispatcher.
func (c *Client) tellNews(ctx context.Context) {
	for items := c.news.take(ctx); items != nil; items = c.news.take(ctx) {
		for _, n := range items {
			c.tellOne(n)
		}
	}
}

func (c *Client) tellOne(n news) {
	if n.change == nil {
		proofs := proofMessages(n.proofs)
		c.hub.spread(&pb.ToEntry{Proofs: proofs})
		return
	}
	m, err := changeMessage(*n.change)
	if err != nil {
		c.log.Error("state can't be sent", "error", err)
		return
	}
	c.hub.spread(&pb.ToEntry{Changes: []*pb.Change{m}})
	if n.own {
		c.tell(&pb.FromEntry{Changes: []*pb.Change{m}})
	}
}

// gotState takes the dispatcher's copies of the store, asks for what is missing, and tells what the dispatcher lacks.
func (c *Client) gotState(m *pb.ToEntry) {
	defer c.tellLacking(m.Proofs)
	needed, err := takeState(c.follower, m.Changes, m.Proofs)
	if err != nil {
		c.log.Error("state of the dispatcher can't be read", "error", err)
	}
	needed = c.unasked(needed)
	if len(needed) == 0 {
		return
	}
	var lacks []*pb.Proof
	for _, p := range proofMessages(c.follower.Proofs()) {
		if slices.Contains(needed, p.Kind) {
			lacks = append(lacks, p)
		}
	}
	c.tell(&pb.FromEntry{Proofs: lacks})
}

// lackTime is how long the dispatcher may lack something of this instance's copies before it is told all of the
// kind: a change that is on its way takes a trip, and its beat's proof another.
const lackTime = beat + beat/2

// tellLacking tells the dispatcher whole kinds of which it lacks something. It can be cut off from the store while
// this instance reads it, and takes no change whose predecessors it hasn't heard of: a leaving upstream got work
// for two seconds more, until the dispatcher could read again.
func (c *Client) tellLacking(theirs []*pb.Proof) {
	for _, kind := range c.lackedLong(theirs) {
		whole, ok := c.follower.Whole(kind)
		if !ok {
			continue
		}
		m, err := changeMessage(whole)
		if err != nil {
			c.log.Error("state can't be sent", "kind", kind, "error", err)
			continue
		}
		c.tell(&pb.FromEntry{Changes: []*pb.Change{m}})
	}
}

// lackedLong gives the kinds of which the dispatcher, by its proofs, has lacked something for lackTime. Each counts
// anew then.
func (c *Client) lackedLong(theirs []*pb.Proof) []string {
	if len(theirs) == 0 {
		return nil
	}
	at := map[string]uint64{}
	for _, p := range theirs {
		if p.Known {
			at[p.Kind] = p.Revision
		}
	}
	own := c.follower.Proofs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	lacks := map[string]time.Time{}
	var due []string
	for _, p := range own {
		if !p.Known || at[p.Kind] >= p.Latest {
			continue
		}
		since, noted := c.lacks[p.Kind]
		switch {
		case !noted:
			since = now
		case now.Sub(since) >= lackTime:
			due = append(due, p.Kind)
			since = now
		}
		lacks[p.Kind] = since
	}
	c.lacks = lacks
	return due
}

// unasked gives the kinds that were not asked for a moment ago. A long copy takes its time over a narrow
// link, and each beat until it comes shows again that it is missing: asking each time would fill the link.
func (c *Client) unasked(kinds []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []string
	for _, kind := range kinds {
		if now.Sub(c.lacked[kind]) > askAgain {
			c.lacked[kind] = now
			out = append(out, kind)
		}
	}
	return out
}
