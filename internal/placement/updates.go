package placement

import (
	"context"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// update is either a change of the copies of the store, or proofs of how recent they are.
type update struct {
	change *watch.Change
	own    bool // this instance read the change from the store
	proofs []watch.Proof
}

// queueChange queues a change of the copies. It is called under the Follower's lock, which orders changes and proofs.
// It doesn't send, because sending needs other locks.
func (c *Client) queueChange(ch watch.Change, own bool) {
	c.updates.put(update{change: &ch, own: own})
	if ch.Kind == watch.KindMembers {
		c.checkOrderNow()
	}
}

// queueProofs queues proofs of how recent the copies are, if any instance gets the store's state from this one.
func (c *Client) queueProofs() {
	if c.hub.attachedCount()+len(c.relayedSinks()) > 0 {
		c.updates.put(update{proofs: c.follower.Proofs()})
	}
}

// updateInterval is the minimum time between two messages of changes. A single change is sent at once; of hundreds a
// second, as when thousands of upstreams start, some tens are sent as one. Each message makes every instance examine
// all objects of a kind.
const updateInterval = 50 * time.Millisecond

// sendUpdates sends queued updates until ctx ends: to all attached instances, and changes that were read here also to
// the dispatcher.
func (c *Client) sendUpdates(ctx context.Context) {
	defer crash.Report("placement updates")
	rotation := &proofRotation{sentRevision: map[string]uint64{}}
	sent := sentObjects{}
	for items := c.updates.takeAll(ctx); items != nil; items = c.updates.takeAll(ctx) {
		changes, own, proofs := mergeUpdates(items)
		c.sendChanges(changes, own, sent)
		if proofs != nil {
			c.broadcastState(&pb.ToEntry{Proofs: proofMessages(rotation.dueProofs(proofs))})
		}
		if len(changes) > 0 {
			wait.For(ctx, updateInterval)
		}
	}
}

// mergeUpdates merges the changes of each kind into one, and returns the last proofs. own holds the changes that were
// read from the store here.
func mergeUpdates(items []update) (changes, own []watch.Change, proofs []watch.Proof) {
	for _, u := range items {
		if u.change == nil {
			proofs = u.proofs
			continue
		}
		changes = mergeChange(changes, *u.change)
		if u.own {
			own = mergeChange(own, *u.change)
		}
	}
	return changes, own, proofs
}

// mergeChange merges a change into the one of the same kind, or appends it if there is none.
func mergeChange(all []watch.Change, c watch.Change) []watch.Change {
	i := slices.IndexFunc(all, func(o watch.Change) bool { return o.Kind == c.Kind })
	if i < 0 {
		return append(all, c)
	}
	all[i] = all[i].Merge(c)
	return all
}

// sendChanges broadcasts changes to the attached instances, and sends own, the changes that this instance read from the
// store, to the dispatcher. sent holds the objects as last broadcast.
func (c *Client) sendChanges(changes, own []watch.Change, sent sentObjects) {
	if all := c.encodeChanges(changes, sent.changeMessage); len(all) > 0 {
		c.broadcastState(&pb.ToEntry{Changes: all})
	}
	// Objects are sent in full, because the dispatcher has two readers and may hold another version than the last one
	// sent from here.
	if all := c.encodeChanges(own, changeMessage); len(all) > 0 {
		c.sendToDispatcher(&pb.FromEntry{Changes: all})
	}
}

// encodeChanges encodes the changes. It logs and leaves out changes that can't be encoded.
func (c *Client) encodeChanges(changes []watch.Change, encode func(watch.Change) (*pb.Change, error)) []*pb.Change {
	var all []*pb.Change
	for _, ch := range changes {
		m, err := encode(ch)
		if err != nil {
			c.log.Error("state can't be sent", "kind", ch.Kind, "error", err)
			continue
		}
		all = append(all, m)
	}
	return all
}

// proofRotation selects the proofs of each heartbeat: those of changed kinds, and one other in rotation. Sending all
// of them with each heartbeat would cost every instance a few hundred bytes ten times a second.
type proofRotation struct {
	sentRevision map[string]uint64 // revision of the last change that a sent proof named, by kind
	next         int
}

// dueProofs returns the proofs to send with this heartbeat, and records the revisions that they name as sent. It must be
// called with at least one proof.
func (t *proofRotation) dueProofs(all []watch.Proof) []watch.Proof {
	t.next = (t.next + 1) % len(all)
	var due []watch.Proof
	for i, p := range all {
		if i == t.next || p.Known && t.sentRevision[p.Kind] != p.LastChange {
			due = append(due, p)
			t.sentRevision[p.Kind] = p.LastChange
		}
	}
	return due
}

// applyDispatcherState applies the dispatcher's changes and proofs, requests full copies of kinds that lack changes,
// and sends the dispatcher what it lacks.
func (c *Client) applyDispatcherState(m *pb.ToEntry) {
	defer c.catchUpDispatcher(m.Proofs)
	needed, err := applyState(c.follower, m.Changes, m.Proofs)
	if err != nil {
		c.log.Error("failed to decode state from the dispatcher", "error", err)
	}
	needed = c.notYetRequested(needed)
	if len(needed) == 0 {
		return
	}
	var proofs []*pb.Proof
	for _, p := range proofMessages(c.follower.Proofs()) {
		if slices.Contains(needed, p.Kind) {
			proofs = append(proofs, p)
		}
	}
	c.sendToDispatcher(&pb.FromEntry{Proofs: proofs})
}

// maxDispatcherLag is how long the dispatcher may lack changes that this instance holds before it is sent a full
// copy. A change in transit takes one trip, and the proof in the dispatcher's heartbeat takes another.
const maxDispatcherLag = heartbeatInterval + heartbeatInterval/2

// catchUpSenders is how many instances, the first in dispatcher order, send a dispatcher what it lacks, in addition
// to the readers. A new dispatcher may lack changes that all others hold, and hundreds of instances must not send it
// the same copies.
const catchUpSenders = 4

// catchUpDispatcher sends the dispatcher full copies of kinds of which it lacks changes. A dispatcher that is cut off
// from the store while this instance reads it can't apply a change if it missed the ones before. Without full copies,
// a leaving upstream would get work for two seconds more, until the dispatcher could read again.
func (c *Client) catchUpDispatcher(theirs []*pb.Proof) {
	senders := c.dispatcherOrder()
	senders = senders[:min(catchUpSenders, len(senders))]
	isSender := slices.ContainsFunc(senders, func(m *catalog.Member) bool { return m.ID == c.self })
	if !isSender && !c.follower.Role().IsReader() {
		return
	}
	for _, kind := range c.laggingKinds(theirs) {
		fullCopy, ok := c.follower.FullCopy(kind)
		if !ok {
			continue
		}
		if all := c.encodeChanges([]watch.Change{fullCopy}, changeMessage); len(all) > 0 {
			c.sendToDispatcher(&pb.FromEntry{Changes: all})
		}
	}
}

// laggingKinds returns the kinds of which the dispatcher, by its proofs, has lacked changes for maxDispatcherLag. The
// time starts anew for each kind that is returned.
func (c *Client) laggingKinds(theirs []*pb.Proof) []string {
	if len(theirs) == 0 {
		return nil
	}
	revisions, present := map[string]uint64{}, c.follower.Era()
	for _, p := range theirs {
		revisions[p.Kind] = 0
		if p.Known {
			revisions[p.Kind] = decodeVersion(p.Era, p.Revision, present)
		}
	}
	own := c.follower.Proofs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	behindSince := map[string]time.Time{}
	var due []string
	for _, p := range own {
		revision, reported := revisions[p.Kind]
		if !reported {
			if since, wasBehind := c.dispatcherBehindSince[p.Kind]; wasBehind {
				behindSince[p.Kind] = since
			}
			continue
		}
		if !p.Known || revision >= p.LastChange {
			continue
		}
		since, wasBehind := c.dispatcherBehindSince[p.Kind]
		switch {
		case !wasBehind:
			since = now
		case now.Sub(since) >= maxDispatcherLag:
			due = append(due, p.Kind)
			since = now
		}
		behindSince[p.Kind] = since
	}
	c.dispatcherBehindSince = behindSince
	return due
}

// notYetRequested returns those kinds that were not requested within fullCopyTimeout, and records them as requested.
// A long copy takes time over a narrow link, and each heartbeat until it arrives shows again that it is missing:
// requesting it each time would fill the link.
func (c *Client) notYetRequested(kinds []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []string
	for _, kind := range kinds {
		if now.Sub(c.requestedAt[kind]) > fullCopyTimeout {
			c.requestedAt[kind] = now
			out = append(out, kind)
		}
	}
	return out
}
