package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/advertised"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// A limit that an upstream advertises applies to the requests of all instances together, but the answer that names it
// reaches only one. That instance reports the limit to the dispatcher, which places within it and broadcasts it, so
// that the instances can report it to any next dispatcher. A dispatcher uses the share of a limit that its attached
// instances are of all members, so that two dispatchers at one time stay within the limit together.

// endedLimitRetention is how long an ended limit is still sent when an instance attaches, because the other side may
// count it as in force.
const endedLimitRetention = time.Minute

// limitTable holds the upstreams' limits as known here. It is safe for concurrent use.
type limitTable struct {
	log   hclog.Logger
	start time.Time
	count atomic.Int32 // limits in force, read on the request path
	known atomic.Int32 // processes that are known to have advertised a limit, read on the request path

	mu     sync.Mutex
	limits *advertised.Limits // guarded by mu
}

// newLimitTable returns a table without limits.
func newLimitTable(log hclog.Logger) *limitTable {
	return &limitTable{log: log, start: time.Now(), limits: advertised.New()}
}

// now returns the time since the table was created.
func (t *limitTable) now() decide.Instant { return t.toInstant(time.Now()) }

// toInstant converts a time to the table's clock.
func (t *limitTable) toInstant(at time.Time) decide.Instant { return decide.Instant(at.Sub(t.start)) }

// record records an observation, logs a limit that begins, changes or ends, and returns what changed. A rate that is not a
// number of requests a second changes nothing: an upstream whose rate can't be compared would get no work any more.
func (t *limitTable) record(s advertised.Observation) decide.Reason {
	if s.Limited && !(s.Rate >= 0 && s.Rate <= math.MaxFloat64) {
		t.log.Error("upstream's limit can't be used", "upstream", s.ID, "born", s.StartTime, "requests_per_s", s.Rate, "heard_by", s.ReceivedBy)
		return advertised.Unchanged
	}
	t.mu.Lock()
	change := t.limits.Apply(s)
	t.count.Store(int32(t.limits.InForce()))
	t.known.Store(int32(t.limits.Tracked()))
	t.mu.Unlock()
	if change != advertised.Unchanged && change != advertised.Renewed {
		t.log.Info("upstream's limit", "reason", change, "upstream", s.ID, "born", s.StartTime, "requests_per_s", s.Rate, "heard_by", s.ReceivedBy,
			"age_ms", t.now().Sub(s.ReceivedAt).Milliseconds())
	}
	return change
}

// rate returns an upstream's limit in requests a second; ok is false if it has none.
func (t *limitTable) rate(u *catalog.Upstream) (rate float64, ok bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Rate(u.Process())
}

// isLimited reports whether an upstream has a limit in force.
func (t *limitTable) isLimited(u *catalog.Upstream) bool {
	_, ok := t.rate(u)
	return ok
}

// messages returns all known limits, in force or recently ended, of the upstreams in a snapshot.
func (t *limitTable) messages(snap *catalog.Snapshot) []*pb.Limit {
	now := t.now()
	t.mu.Lock()
	all := t.limits.Observations(now.Add(-endedLimitRetention))
	t.mu.Unlock()
	var out []*pb.Limit
	for _, s := range all {
		if snap.UpstreamByProcess(s.Process) != nil {
			out = append(out, limitMessage(s, now))
		}
	}
	return out
}

// limitMessage converts an observation that is sent at now.
func limitMessage(s advertised.Observation, now decide.Instant) *pb.Limit {
	return &pb.Limit{
		Upstream: string(s.ID), Born: s.StartTime, Limited: s.Limited, Rate: s.Rate, By: string(s.ReceivedBy),
		SentMs: now.Sub(s.SentAt).Milliseconds(), HeardMs: now.Sub(s.ReceivedAt).Milliseconds(),
	}
}

// decode converts a message that arrived now.
func (t *limitTable) decode(m *pb.Limit) advertised.Observation {
	now := t.now()
	return advertised.Observation{
		Process: fleet.Process{ID: fleet.UpstreamID(m.Upstream), StartTime: m.Born}, Limited: m.Limited, Rate: m.Rate,
		SentAt: now.Add(-ms(m.SentMs)), ReceivedAt: now.Add(-ms(m.HeardMs)), ReceivedBy: fleet.InstanceID(m.By),
	}
}

// recordAnswer records what an upstream's answer says of its limit. It returns the message for the dispatcher, or nil
// if there is nothing to report. sent is when the answered request was sent, or zero if that isn't known. Only an
// answer that is marked as the upstream's own and whose headers could be read shows that the upstream names no limit.
func (t *limitTable) recordAnswer(u *catalog.Upstream, a gateway.Answer, sent time.Time, by fleet.InstanceID) *pb.Limit {
	if !a.HasLimit && (!a.Sealed || a.HeaderError != nil || sent.IsZero() || t.known.Load() == 0) {
		return nil
	}
	if sent.IsZero() {
		sent = time.Now()
	}
	s := advertised.Observation{
		Process: u.Process(), Limited: a.HasLimit, Rate: a.Limit, SentAt: t.toInstant(sent), ReceivedAt: t.now(), ReceivedBy: by,
	}
	if t.record(s) == advertised.Unchanged {
		return nil
	}
	return limitMessage(s, t.now())
}

// LimitsInForce returns the number of upstreams whose limit is known to be in force.
func (c *Client) LimitsInForce() int { return int(c.limits.count.Load()) }

// applyLimits records the limits that an instance reports, and broadcasts those that begin, change or end, but not
// renewals; mu is held.
func (h *hub) applyLimits(now decide.Instant, all []*pb.Limit) {
	var changed []*pb.Limit
	for _, m := range all {
		if change := h.limits.record(h.limits.decode(m)); change != advertised.Unchanged && change != advertised.Renewed {
			changed = append(changed, m)
		}
	}
	if len(changed) == 0 {
		return
	}
	h.broadcastLocked(&pb.ToEntry{Limits: changed})
	h.setLimits(now)
}

// setLimits updates the services' states with the limits known now; mu is held.
func (h *hub) setLimits(now decide.Instant) {
	for name, st := range h.services {
		st.SetLimits(now, h.rates(name))
	}
}

// rates returns how many requests a second this dispatcher may send to each limited upstream of a service; mu is
// held.
func (h *hub) rates(service catalog.ServiceName) map[fleet.UpstreamID]float64 {
	if h.limits.count.Load() == 0 {
		return nil
	}
	rates, share := map[fleet.UpstreamID]float64{}, h.attachedShare()
	for _, u := range h.snapshot().Upstreams(service) {
		if rate, ok := h.limits.rate(u); ok {
			rates[u.ID] = max(rate, dispatch.ProbeRate) * share
		}
	}
	return rates
}

// attachedShare returns the fraction of all members that are attached here; mu is held.
func (h *hub) attachedShare() float64 {
	return min(1, float64(len(h.sinks))/float64(max(1, len(h.snapshot().Members))))
}
