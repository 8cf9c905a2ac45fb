package placement

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// settled tells whether the other instances' work is known, or as much of it as will come; mu is held.
func (h *hub) settled(now decide.Instant) bool {
	return now.Sub(h.opened) >= settleTime || len(h.entries) >= len(h.snapshot().Members)
}

// step sends out what can be decided now; mu is held.
func (h *hub) step(now decide.Instant) {
	if !h.settled(now) {
		return
	}
	began := time.Now()
	defer func() { h.stepTook = time.Since(began) }()
	out := map[fleet.InstanceID]*pb.ToEntry{}
	for name, st := range h.services {
		for _, d := range st.Step(now) {
			h.logRefusal(now, st, d)
			m := out[d.Job.Entry]
			if m == nil {
				m = &pb.ToEntry{}
				out[d.Job.Entry] = m
			}
			add(m, d)
		}
		h.logStall(now, name, st)
	}
	for entry, m := range out {
		if s := h.entries[entry]; s != nil {
			s.send(m)
		}
	}
}

// logRefusal writes the line of a refusal with what decided it; places are logged where they are used.
func (h *hub) logRefusal(now decide.Instant, st *dispatch.State, d dispatch.Decision) {
	if d.Upstream != "" {
		return
	}
	j := d.Job
	limited, rate := st.Limited()
	h.log.Info("refused", "request", j.ID, "reason", d.Reason, "entry", j.Entry, "prompt", j.Prompt,
		"waited_ms", now.Sub(j.Arrived).Milliseconds(), "patience_left_ms", j.Patience.Sub(now).Milliseconds(),
		"waiting", st.Waiting(), "running", st.Running(), "limited", limited, "limited_per_s", rate,
		"fleet_revision", h.fleetRevision(), "retry_after_ms", d.RetryAfter.Milliseconds())
}

// stallLogEvery bounds the lines of stalls.
const stallLogEvery = time.Second

// logStall writes a line while work waits beside idle upstreams, with what is believed of them; mu is held.
func (h *hub) logStall(now decide.Instant, service catalog.ServiceName, st *dispatch.State) {
	if now.Sub(h.stallLogged) < stallLogEvery {
		return
	}
	stall, stalled := st.Stalled(now)
	if !stalled {
		return
	}
	h.stallLogged = now
	h.log.Warn("work waits beside idle upstreams", "service", service, "for_ms", stall.For.Milliseconds(), "waiting", stall.Waiting,
		"idle", stall.Idle, "paused", stall.Paused, "full", stall.Full, "cold", stall.Cold, "limited", stall.Limited, "unreached", stall.Unreached,
		"cut", stall.Cut, "fleet_revision", h.fleetRevision())
}

func (h *hub) fleetRevision() uint64 {
	if h.seen == nil {
		return 0
	}
	return h.seen.FleetVersion
}

func add(m *pb.ToEntry, d dispatch.Decision) {
	if d.Upstream == "" {
		m.Refusals = append(m.Refusals, &pb.Refusal{
			Id: string(d.Job.ID), Reason: string(d.Reason), RetryAfterMs: d.RetryAfter.Milliseconds(),
		})
		return
	}
	p := &pb.Place{
		Id: string(d.Job.ID), Upstream: string(d.Upstream), Helpers: names(d.Helpers), Reason: string(d.Reason),
		OverdueMs: d.Overdue.Milliseconds(),
	}
	for _, h := range d.Holders {
		p.Holders = append(p.Holders, &pb.Holding{Upstream: string(h.Upstream), Tokens: int32(h.Tokens)})
	}
	m.Places = append(m.Places, p)
}

func holdingsOf(all []*pb.Holding) []dispatch.Holding {
	out := make([]dispatch.Holding, len(all))
	for i, m := range all {
		out[i] = dispatch.Holding{Upstream: fleet.UpstreamID(m.Upstream), Tokens: int(m.Tokens)}
	}
	return out
}

// run looks at waiting jobs whenever something has changed, and has beats sent, until ctx ends.
func (h *hub) run(ctx context.Context, beats func()) {
	lastBeat := time.Now()
	for ctx.Err() == nil {
		h.sleep(ctx)
		h.mu.Lock()
		now := h.now()
		h.refresh(now)
		h.step(now)
		attached, took := len(h.entries), h.stepTook
		h.mu.Unlock()
		if attached > 0 && time.Since(lastBeat) >= beat {
			lastBeat = time.Now()
			h.mu.Lock()
			h.chooseReaders()
			h.mu.Unlock()
			beats()
		}
		// A step that takes long, as with thousands of engines under overload, must leave time for the messages
		// that it decides about: steps take a third of the processor at most.
		if took > longStep {
			wait.For(ctx, 2*took)
		}
	}
}

// sleep waits until something has changed or jobs must be looked at anyway.
func (h *hub) sleep(ctx context.Context) {
	t := time.NewTimer(h.pause())
	defer t.Stop()
	select {
	case <-h.dirty:
	case <-t.C:
	case <-ctx.Done():
	}
}

// pause is how long nothing needs to be looked at.
func (h *hub) pause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, st := range h.services {
		if st.Waiting() > 0 {
			return tick
		}
	}
	return beat
}
