package placement

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/decide/readers"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// The dispatcher chooses two of its attached instances as readers of the store. They report with each heartbeat how
// their reads go.

// unprovenAge is the age of the newest proof in the report of a reader that has no proof.
const unprovenAge = time.Hour

// rolesByDuty maps a duty from the dispatcher to the Follower's role. AS_BEFORE means that no duty has arrived yet.
var rolesByDuty = map[pb.ToEntry_Duty]watch.Role{
	pb.ToEntry_AS_BEFORE: watch.Receiver, pb.ToEntry_TOLD: watch.Receiver,
	pb.ToEntry_FIRST: watch.FirstReader, pb.ToEntry_SECOND: watch.SecondReader,
}

// applyDuty sets the Follower's role to the duty of the current session; mu is held.
func (c *Client) applyDuty() {
	if c.session == nil {
		c.follower.SetRole(watch.Unattached)
		return
	}
	c.follower.SetRole(rolesByDuty[pb.ToEntry_Duty(c.session.duty.Load())])
}

// sendHeartbeats sends heartbeats on a session until ctx ends; they also report how this instance's reads of the
// store go. It doesn't wait for the dispatcher's heartbeats: those may be delayed behind a long copy, and the
// dispatcher would drop the work of an instance that sends nothing for that long.
func (c *Client) sendHeartbeats(ctx context.Context, s *session) {
	defer crash.Report("placement heartbeats")
	for wait.For(ctx, heartbeatInterval) {
		s.send(&pb.FromEntry{Reads: proofMessages(c.follower.ReaderProofs())})
	}
}

// receiveFrom handles a message that arrived on the session s.
func (c *Client) receiveFrom(s *session, m *pb.ToEntry) {
	if m.Duty != pb.ToEntry_AS_BEFORE {
		s.duty.Store(int32(m.Duty))
		c.mu.Lock()
		if c.session == s {
			c.applyDuty()
		}
		c.mu.Unlock()
	}
	c.receive(m)
}

// chooseReaders selects the readers, and sends a new duty to each instance whose duty has changed; mu is held.
func (h *hub) chooseReaders() {
	now := h.now()
	var all []readers.Candidate
	for _, m := range h.order() {
		if h.sinks[m.ID] != nil {
			all = append(all, readers.Candidate{ID: m.ID, Domain: m.Domain})
		}
	}
	duties := map[fleet.InstanceID]pb.ToEntry_Duty{}
	for i, id := range h.readers.Choose(now, all) {
		duties[id] = pb.ToEntry_FIRST
		if i > 0 {
			duties[id] = pb.ToEntry_SECOND
		}
	}
	for instance, s := range h.sinks {
		duty := max(duties[instance], pb.ToEntry_TOLD)
		if h.duties[instance] != duty {
			h.duties[instance] = duty
			s.send(&pb.ToEntry{Duty: duty})
		}
	}
	for instance := range h.duties {
		if h.sinks[instance] == nil {
			delete(h.duties, instance)
		}
	}
}

// recordReads records how an instance's reads of the store go; mu is held. Its proofs also count for the copies here,
// whose proofs go to all other instances.
func (h *hub) recordReads(instance fleet.InstanceID, reads []*pb.Proof) {
	if len(reads) == 0 {
		return
	}
	now := h.now()
	report := readers.Report{ProofAge: unprovenAge}
	for _, m := range reads {
		p := decodeProof(m, h.follower.Era())
		report.FailingFor = max(report.FailingFor, p.FailingFor)
		if p.Known {
			report.ProofAge = min(report.ProofAge, p.Age)
		}
	}
	h.readers.HandleReport(now, instance, report)
	outage := h.readers.OutageDuration(now)
	for _, m := range reads {
		p := decodeProof(m, h.follower.Era())
		p.FailingFor = outage
		h.follower.ApplyProof(p) // if changes are missing here, the reader sends a full copy
	}
}
