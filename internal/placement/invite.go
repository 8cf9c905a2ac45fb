package placement

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// A starting instance knows no members. The dispatcher sees in the store that it has joined and sends it the
// address of its relay or its own, so that it need not list the members. If all instances started at one moment and each
// listed all members several times, the calls to the store would grow with the fleet and their bytes with its square.

const (
	// inviteInterval is how often a dispatcher looks for members to invite.
	inviteInterval = 50 * time.Millisecond
	// inviteWindow is how long after a member was first seen it may be invited. A member that was listed for longer
	// finds the dispatcher by its own state.
	inviteWindow = 3 * time.Second
	// maxInviteAttempts is how often a member that doesn't attach is invited. minInviteBackoff is the delay after the
	// first attempt; it doubles after each attempt.
	maxInviteAttempts = 3
	minInviteBackoff  = 200 * time.Millisecond
	// minConcurrentInvites and concurrentInviteShare bound the invitations of one round that are sent at one time: so
	// many, or that fraction of the round if it is more. All members may be due at once, and a slow member occupies its
	// connection for attachTimeout. The number of batches must not grow with the fleet, because a member that is not
	// invited within maxJoinDelay lists all members itself.
	minConcurrentInvites  = 16
	concurrentInviteShare = 0.25
)

// invitation is the state of the invitations of one member.
type invitation struct {
	incarnation uint64
	firstSeen   time.Time // when this incarnation was first seen
	attempts    int
	nextAttempt time.Time // earliest time of the next attempt
}

// invitations decides which members to invite. It is not safe for concurrent use.
type invitations map[fleet.InstanceID]*invitation

// due returns the members to invite now, and counts an attempt for each.
func (v invitations) due(now time.Time, members []*catalog.Member, attached func(fleet.InstanceID) bool) []*catalog.Member {
	listed := make(map[fleet.InstanceID]bool, len(members))
	var due []*catalog.Member
	for _, m := range members {
		listed[m.ID] = true
		inv := v[m.ID]
		if inv == nil || inv.incarnation != m.Incarnation {
			inv = &invitation{incarnation: m.Incarnation, firstSeen: now}
			v[m.ID] = inv
		}
		if attached(m.ID) || inv.attempts >= maxInviteAttempts || now.Sub(inv.firstSeen) > inviteWindow || now.Before(inv.nextAttempt) {
			continue
		}
		inv.nextAttempt = now.Add(minInviteBackoff << inv.attempts)
		inv.attempts++
		due = append(due, m)
	}
	for id := range v {
		if !listed[id] {
			delete(v, id)
		}
	}
	return due
}

// inviteMembers invites members that have just joined, while this instance is the dispatcher, until ctx ends.
func (c *Client) inviteMembers(ctx context.Context) {
	defer crash.Report("placement invitations")
	invites := invitations{}
	var seen []*catalog.Member
	var pending sync.WaitGroup
	defer pending.Wait()
	for wait.For(ctx, inviteInterval) {
		members := c.snapshot().Members
		if sameMembers(members, seen) && !invites.pending(time.Now()) {
			continue
		}
		seen = members
		dispatches := c.Dispatcher() == c.self
		due := invites.due(time.Now(), members, func(id fleet.InstanceID) bool { return !dispatches || c.hub.attached(id) })
		if len(due) > 0 {
			pending.Go(func() { c.invite(ctx, due) }) // members that join meanwhile don't wait for slow ones
		}
	}
}

// pending reports whether any member may still have to be invited.
func (v invitations) pending(now time.Time) bool {
	for _, inv := range v {
		if inv.attempts < maxInviteAttempts && now.Sub(inv.firstSeen) <= inviteWindow {
			return true
		}
	}
	return false
}

// invite sends members the address of their relay or of this instance, and waits until all attempts have ended.
func (c *Client) invite(ctx context.Context, due []*catalog.Member) {
	defer crash.Report("placement invitations")
	c.log.Info("members are invited", "members", len(due), "first", due[0].ID)
	var wg sync.WaitGroup
	slots := make(chan struct{}, concurrentInvites(len(due)))
	for _, to := range due {
		slots <- struct{}{}
		wg.Go(func() {
			defer crash.Report("placement invitations")
			defer func() { <-slots }()
			if err := sendOnce(ctx, to.Addr, &pb.FromEntry{Invitation: c.invitationFor(to)}); err != nil {
				c.log.Debug("failed to invite member", "instance", to.ID, "error", err)
			}
		})
	}
	wg.Wait()
}

// concurrentInvites returns how many invitations of a round are sent at one time.
func concurrentInvites(due int) int {
	return max(minConcurrentInvites, int(concurrentInviteShare*float64(due)))
}

// invitationFor returns the invitation of a member: to its relay if it has one that is attached here, or to this
// instance.
func (c *Client) invitationFor(to *catalog.Member) *pb.Invitation {
	for _, relay := range c.memberOrder().relaysFor(to.ID, to.Domain) {
		if c.hub.attached(relay.ID) {
			return &pb.Invitation{Instance: string(relay.ID), Addr: relay.Addr}
		}
	}
	own := &pb.Invitation{Instance: string(c.self)}
	if m := c.member(c.self); m != nil {
		own.Addr = m.Addr
	}
	return own
}

// sendOnce sends one message to an instance without attaching to it.
func sendOnce(ctx context.Context, addr string, m *pb.FromEntry) error {
	attachCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(attachCtx, connectTimeout)
	defer cancelDial()
	conn, err := peer.Dial(dialCtx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCPlacementClient(conn).Attach(attachCtx)
	if err != nil {
		return err
	}
	if err := stream.Send(m); err != nil {
		return err
	}
	_, err = stream.Recv() // the answer confirms receipt
	return err
}

// acceptInvitation makes the instance that an invitation names the only candidate until the members are known.
func (c *Client) acceptInvitation(i *pb.Invitation) {
	if len(c.dispatcherOrder()) > 0 || i.Addr == "" {
		return
	}
	c.log.Info("invited", "dispatcher", i.Instance, "addr", i.Addr)
	c.inviter.Store(&catalog.Member{ID: fleet.InstanceID(i.Instance), Addr: i.Addr})
	c.checkOrderNow()
}
