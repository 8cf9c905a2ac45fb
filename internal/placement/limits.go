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

// board is what is believed of upstreams' limits. It is safe for concurrent use.
type board struct {
	log   hclog.Logger
	start time.Time
	count atomic.Int32 // limits in force, read on a request's path

	mu     sync.Mutex
	limits *advertised.Limits // guarded by mu
}

func newBoard(log hclog.Logger) *board {
	return &board{log: log, start: time.Now(), limits: advertised.New()}
}

func (b *board) now() decide.Instant { return b.instant(time.Now()) }

func (b *board) instant(t time.Time) decide.Instant { return decide.Instant(t.Sub(b.start)) }

// take takes a statement, logs a belief that begins, changes or ends, and gives what is new.
func (b *board) take(s advertised.Statement) decide.Reason {
	b.mu.Lock()
	news := b.limits.Take(s)
	b.count.Store(int32(b.limits.InForce()))
	b.mu.Unlock()
	if news != advertised.None && news != advertised.Renewed {
		b.log.Info("upstream's limit", "reason", news, "upstream", s.ID, "born", s.Born, "requests_per_s", s.Rate, "heard_by", s.By,
			"age_ms", b.now().Sub(s.Heard).Milliseconds())
	}
	return news
}

// rate gives an upstream's limit in requests a second; ok is false if it has none.
func (b *board) rate(u *catalog.Upstream) (rate float64, ok bool) {
	if b.count.Load() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Of(process(u))
}

func (b *board) limited(u *catalog.Upstream) bool {
	_, ok := b.rate(u)
	return ok
}

func process(u *catalog.Upstream) advertised.Process {
	return advertised.Process{ID: u.ID, Born: u.Born}
}

// messages gives all that is believed of the upstreams of a snapshot.
func (b *board) messages(snap *catalog.Snapshot) []*pb.Limit {
	now := b.now()
	b.mu.Lock()
	all := b.limits.Statements(now.Add(-endedTime))
	b.mu.Unlock()
	var out []*pb.Limit
	for _, s := range all {
		if u := snap.Upstream(s.ID); u != nil && u.Born == s.Born {
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
func (b *board) statement(m *pb.Limit) advertised.Statement {
	now := b.now()
	return advertised.Statement{
		Process: advertised.Process{ID: fleet.UpstreamID(m.Upstream), Born: m.Born}, Limited: m.Limited, Rate: m.Rate,
		Sent: now.Add(-ms(m.SentMs)), Heard: now.Add(-ms(m.HeardMs)), By: fleet.InstanceID(m.By),
	}
}

// answered takes what an upstream's answer to a request that was sent at a moment says of its limit, and gives what the
// dispatcher should be told; nil: nothing. Only an answer that is marked as the upstream's own and could be read shows that
// it names none.
func (b *board) answered(u *catalog.Upstream, a gateway.Answer, sent time.Time, by fleet.InstanceID) *pb.Limit {
	if !a.Limited && (!a.Sealed || a.Unread != nil || sent.IsZero() || b.count.Load() == 0) {
		return nil
	}
	if sent.IsZero() {
		sent = time.Now()
	}
	s := advertised.Statement{
		Process: process(u), Limited: a.Limited, Rate: a.Limit, Sent: b.instant(sent), Heard: b.now(), By: by,
	}
	if b.take(s) == advertised.None {
		return nil
	}
	return limitMessage(s, b.now())
}

// HoldOffs is the number of upstreams that have asked this instance to stay away.
func (c *Client) HoldOffs() int { return int(c.holdoffs.count.Load()) }

// HeldOff tells whether an upstream wants nothing from this instance now.
func (c *Client) HeldOff(u *catalog.Upstream) bool { return c.holdoffs.held(u) }

// Answered implements gateway.Answered.
func (c *Client) Answered(u *catalog.Upstream, a gateway.Answer, sent time.Time) {
	if a.HoldOff > 0 {
		c.holdoffs.hold(u, time.Now().Add(a.HoldOff))
	}
	if a.Leaving {
		c.Left(u, "its answer says so")
	}
	if news := c.limits.answered(u, a, sent, c.self); news != nil {
		c.tell(&pb.FromEntry{Limits: []*pb.Limit{news}})
	}
}

// Limited is the number of upstreams' limits that are believed to be in force.
func (c *Client) Limited() int { return int(c.limits.count.Load()) }

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
	for _, s := range h.entries {
		s.send(&pb.ToEntry{Limits: news})
	}
	h.setLimits(now)
}

// catchUpLimits tells an instance that attaches what is believed here; mu is held.
func (h *hub) catchUpLimits(s sink) {
	if all := h.limits.messages(h.snapshot()); len(all) > 0 {
		s.send(&pb.ToEntry{Limits: all})
	}
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
	rates := map[fleet.UpstreamID]float64{}
	for _, u := range h.snapshot().Upstreams(service) {
		if rate, ok := h.limits.rate(u); ok {
			rates[u.ID] = max(rate, dispatch.ProbeRate) * h.part()
		}
	}
	return rates
}

// part is which part of all members is attached here; mu is held.
func (h *hub) part() float64 {
	return min(1, float64(len(h.entries))/float64(max(1, len(h.snapshot().Members))))
}
