package placement

import (
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

// A limit that an upstream names holds for the requests of all instances together, and its answer reaches one. That one
// tells the dispatcher, which gives places within the limit and tells all others: whoever dispatches next knows it from
// them. Of a limit a dispatcher gives out the part that its instances are of all members, so that two at one time keep to
// the limit together.

// endedTime is for how long a limit that ended is told to instances that attach: they may still believe it.
const endedTime = time.Minute

// limitTable is what is believed of upstreams' limits. It is safe for concurrent use.
type limitTable struct {
	log   hclog.Logger
	start time.Time
	count atomic.Int32 // limits in force, read on a request's path
	known atomic.Int32 // processes that ever named one, read on a request's path

	mu     sync.Mutex
	limits *advertised.Limits // guarded by mu
}

func newLimitTable(log hclog.Logger) *limitTable {
	return &limitTable{log: log, start: time.Now(), limits: advertised.New()}
}

func (t *limitTable) now() decide.Instant { return t.instant(time.Now()) }

func (t *limitTable) instant(at time.Time) decide.Instant { return decide.Instant(at.Sub(t.start)) }

// take takes a statement, logs a belief that begins, changes or ends, and gives what is new.
func (t *limitTable) take(s advertised.Statement) decide.Reason {
	t.mu.Lock()
	news := t.limits.Take(s)
	t.count.Store(int32(t.limits.InForce()))
	t.known.Store(int32(t.limits.Known()))
	t.mu.Unlock()
	if news != advertised.None && news != advertised.Renewed {
		t.log.Info("upstream's limit", "reason", news, "upstream", s.ID, "born", s.Born, "requests_per_s", s.Rate, "heard_by", s.By,
			"age_ms", t.now().Sub(s.Heard).Milliseconds())
	}
	return news
}

// rate gives an upstream's limit in requests a second; ok is false if it has none.
func (t *limitTable) rate(u *catalog.Upstream) (rate float64, ok bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Of(u.Process())
}

func (t *limitTable) limited(u *catalog.Upstream) bool {
	_, ok := t.rate(u)
	return ok
}

// messages gives all that is believed of the upstreams of a snapshot.
func (t *limitTable) messages(snap *catalog.Snapshot) []*pb.Limit {
	now := t.now()
	t.mu.Lock()
	all := t.limits.Statements(now.Add(-endedTime))
	t.mu.Unlock()
	var out []*pb.Limit
	for _, s := range all {
		if snap.Running(s.Process) != nil {
			out = append(out, limitMessage(s, now))
		}
	}
	return out
}

func limitMessage(s advertised.Statement, now decide.Instant) *pb.Limit {
	return &pb.Limit{
		Upstream: string(s.ID), Born: s.Born, Limited: s.Limited, Rate: s.Rate, By: string(s.By),
		SentMs: now.Sub(s.Sent).Milliseconds(), HeardMs: now.Sub(s.Heard).Milliseconds(),
	}
}

// statement reads a message that came now.
func (t *limitTable) statement(m *pb.Limit) advertised.Statement {
	now := t.now()
	return advertised.Statement{
		Process: fleet.Process{ID: fleet.UpstreamID(m.Upstream), Born: m.Born}, Limited: m.Limited, Rate: m.Rate,
		Sent: now.Add(-ms(m.SentMs)), Heard: now.Add(-ms(m.HeardMs)), By: fleet.InstanceID(m.By),
	}
}

// answered takes what an upstream's answer to a request that was sent at a moment says of its limit, and gives what the
// dispatcher should be told; nil: nothing. Only an answer that is marked as the upstream's own and could be read shows that
// it names none.
func (t *limitTable) answered(u *catalog.Upstream, a gateway.Answer, sent time.Time, by fleet.InstanceID) *pb.Limit {
	if !a.Limited && (!a.Sealed || a.Unread != nil || sent.IsZero() || t.known.Load() == 0) {
		return nil
	}
	if sent.IsZero() {
		sent = time.Now()
	}
	s := advertised.Statement{
		Process: u.Process(), Limited: a.Limited, Rate: a.Limit, Sent: t.instant(sent), Heard: t.now(), By: by,
	}
	if t.take(s) == advertised.None {
		return nil
	}
	return limitMessage(s, t.now())
}

// Limited is the number of upstreams' limits that are believed to be in force.
func (c *Client) LimitsInForce() int { return int(c.limits.count.Load()) }

// takeLimits takes what instances heard, and tells all of them what is new; mu is held.
func (h *hub) takeLimits(now decide.Instant, all []*pb.Limit) {
	var news []*pb.Limit
	for _, m := range all {
		if what := h.limits.take(h.limits.statement(m)); what != advertised.None && what != advertised.Renewed {
			news = append(news, m)
		}
	}
	if len(news) == 0 {
		return
	}
	h.tellAll(&pb.ToEntry{Limits: news})
	h.setLimits(now)
}

// setLimits has the services' states go by what is believed now; mu is held.
func (h *hub) setLimits(now decide.Instant) {
	for name, st := range h.services {
		st.SetLimits(now, h.rates(name))
	}
}

// rates gives how many requests a second the upstreams of a service take from this dispatcher, where they are under a
// limit; mu is held.
func (h *hub) rates(service catalog.ServiceName) map[fleet.UpstreamID]float64 {
	if h.limits.count.Load() == 0 {
		return nil
	}
	rates, part := map[fleet.UpstreamID]float64{}, h.part()
	for _, u := range h.snapshot().Upstreams(service) {
		if rate, ok := h.limits.rate(u); ok {
			rates[u.ID] = max(rate, dispatch.ProbeRate) * part
		}
	}
	return rates
}

// part is which part of all members is attached here; mu is held.
func (h *hub) part() float64 {
	return min(1, float64(len(h.entries))/float64(max(1, len(h.snapshot().Members))))
}
