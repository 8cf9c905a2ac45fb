package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// The dispatcher learns from all instances under which requests upstreams end, and decides which requests are held back. It
// broadcasts its verdicts, and each session begins with those that either side knows: instances refuse such requests at once,
// also while they have no dispatcher, and the next dispatcher knows them.

// tryDelay is the Retry-After of a request that only a dispatcher may try again, while there is none.
const tryDelay = time.Second

// heldBackTable holds the verdicts as an instance knows them. It is safe for concurrent use.
type heldBackTable struct {
	start time.Time
	count atomic.Int32 // verdicts in force, read on the request path

	mu    sync.Mutex
	table *quarantine.Table // guarded by mu: verdicts only
}

// newHeldBackTable returns a table without verdicts.
func newHeldBackTable() *heldBackTable {
	return &heldBackTable{start: time.Now(), table: quarantine.New()}
}

// now returns the time since the table was created.
func (t *heldBackTable) now() decide.Instant { return decide.Instant(time.Since(t.start)) }

// check reports whether a verdict applies to a workspace's request that bears keys, and for how much longer nothing is to be sent.
func (t *heldBackTable) check(keys []quarantine.Key, workspace fleet.WorkspaceID) (left time.Duration, listed bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.HeldBack(t.now(), keys, workspace)
}

// apply records the verdicts of a message.
func (t *heldBackTable) apply(all []*pb.HeldBack) {
	if len(all) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, m := range all {
		t.table.Merge(decodeHeldBack(m, now))
	}
	_, inForce := t.table.Size()
	t.count.Store(int32(inForce))
}

// messages returns all verdicts.
func (t *heldBackTable) messages() []*pb.HeldBack {
	t.mu.Lock()
	defer t.mu.Unlock()
	return heldBackMessages(t.table, t.now())
}

// VerdictsInForce returns the number of verdicts by which requests are known to be held back.
func (c *Client) VerdictsInForce() int { return int(c.heldBack.count.Load()) }

// heldBackFault returns the refusal of a request that is held back for some time.
func heldBackFault(left time.Duration) *fault.Error {
	f := fault.New(fault.HeldBack, "upstreams ended, one after the other, while they answered such requests")
	f.RetryAfter = left
	return f
}

// heldBackMessages returns the messages for all verdicts of a table.
func heldBackMessages(t *quarantine.Table, now decide.Instant) []*pb.HeldBack {
	var all []*pb.HeldBack
	for _, v := range t.Verdicts() {
		all = append(all, heldBackMessage(v, now))
	}
	return all
}

// heldBackMessage converts a verdict that is sent at now.
func heldBackMessage(v quarantine.Verdict, now decide.Instant) *pb.HeldBack {
	return &pb.HeldBack{
		Keys: keyNumbers(v.Keys), Ends: toInt32(int64(v.Ends)), Tries: toInt32(int64(v.Tries)), SinceMs: now.Sub(v.Since).Milliseconds(),
		LeftMs: v.Until.Sub(now).Milliseconds(), ChangedMs: now.Sub(v.ChangedAt).Milliseconds(), Freed: v.Freed,
		AnsweredMs: v.AnsweredFor.Milliseconds(), Workspaces: idStrings(v.Workspaces),
	}
}

// decodeHeldBack converts a message that arrived now.
func decodeHeldBack(m *pb.HeldBack, now decide.Instant) quarantine.Verdict {
	return quarantine.Verdict{
		Keys: decodeKeys(m.Keys), Ends: int(m.Ends), Tries: int(m.Tries), Since: now.Add(-ms(m.SinceMs)),
		Until: now.Add(ms(m.LeftMs)), ChangedAt: now.Add(-max(0, ms(m.ChangedMs))), Freed: m.Freed,
		AnsweredFor: max(0, ms(m.AnsweredMs)), Workspaces: decodeIDs[fleet.WorkspaceID](m.Workspaces),
	}
}

// keyNumbers converts keys to numbers for a message.
func keyNumbers(all []quarantine.Key) []uint64 {
	out := make([]uint64, len(all))
	for i, k := range all {
		out[i] = uint64(k)
	}
	return out
}

// decodeKeys converts the keys of a message.
func decodeKeys(all []uint64) []quarantine.Key {
	out := make([]quarantine.Key, len(all))
	for i, k := range all {
		out[i] = quarantine.Key(k)
	}
	return out
}

// applyHeldBack records the verdicts that an instance knows, and broadcasts those that are new here; mu is held.
func (h *hub) applyHeldBack(now decide.Instant, all []*pb.HeldBack) {
	var added []*pb.HeldBack
	for _, m := range all {
		if h.quarantine.Merge(decodeHeldBack(m, now)) {
			added = append(added, m)
		}
	}
	if len(added) > 0 {
		h.broadcastLocked(&pb.ToEntry{HeldBack: added})
	}
}

// announceHeldBack logs the ends of upstreams, and logs and broadcasts the verdicts that have changed here; mu is held.
func (h *hub) announceHeldBack(now decide.Instant) {
	for _, e := range h.quarantine.TakeEnds() {
		h.log.Info("upstream ended", "upstream", e.Upstream.ID, "requests", e.Requests, "answered", e.Answered, "explained", e.Explained, "repeated", e.Repeated)
	}
	changed := h.quarantine.TakeChanges()
	if len(changed) == 0 {
		return
	}
	m := &pb.ToEntry{}
	for _, v := range changed {
		m.HeldBack = append(m.HeldBack, heldBackMessage(v, now))
		switch {
		case v.OnTrial():
			h.log.Info("requests are put to the test: upstreams ended under them", "keys", quarantine.Keys(v.Keys).String(), "workspaces", v.Workspaces, "ends", v.Ends,
				"answered_ms", v.AnsweredFor.Milliseconds(), "done", v.Freed)
		case v.Freed:
			h.log.Info("requests are no longer held back", "keys", quarantine.Keys(v.Keys).String(), "ends", v.Ends, "workspaces", v.Workspaces, "tries", v.Tries, "for_ms", now.Sub(v.Since).Milliseconds())
		default:
			h.log.Warn("requests are held back: upstreams end when they answer them", "keys", quarantine.Keys(v.Keys).String(), "workspaces", v.Workspaces, "ends", v.Ends, "tries", v.Tries,
				"answered_ms", v.AnsweredFor.Milliseconds(), "left_ms", v.Until.Sub(now).Milliseconds())
		}
	}
	h.broadcastLocked(m)
}
