package placement

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// settled reports whether the in-flight work of the other instances is known, or as much of it as will arrive; mu is
// held.
func (h *hub) settled(now decide.Instant) bool {
	return now.Sub(h.firstAttached) >= settleTime || len(h.sinks) >= len(h.snapshot().Members)
}

// step makes the decisions that are due, and sends them; mu is held.
func (h *hub) step(now decide.Instant) {
	if !h.settled(now) {
		return
	}
	began := time.Now()
	defer func() { h.lastStepTime = time.Since(began) }()
	out := map[fleet.InstanceID]*pb.ToEntry{}
	for name, st := range h.services {
		for _, d := range st.Step(now) {
			h.logRefusal(now, name, st, d)
			h.countDecision(now, name, st, d)
			m := out[d.Job.Instance]
			if m == nil {
				m = &pb.ToEntry{}
				out[d.Job.Instance] = m
			}
			addDecision(m, d)
		}
		h.logStall(now, name, st)
		h.reportOverload(now, name, st)
	}
	h.announceHeldBack(now)
	for instance, m := range out {
		if s := h.sinks[instance]; s != nil {
			s.send(m)
		}
	}
}

// logRefusal logs a decision with the values that led to it if it is a refusal; mu is held. Placements are logged by the
// instances that use them.
func (h *hub) logRefusal(now decide.Instant, service catalog.ServiceName, st *dispatch.State, d dispatch.Decision) {
	if d.Upstream != "" {
		return
	}
	j := d.Job
	limited, rate := st.RateLimitTotals()
	h.log.Info("refused", "request", j.Request, "reason", d.Reason, "entry", j.Instance, "prompt", j.PromptTokens,
		"waited_ms", now.Sub(j.Arrived).Milliseconds(), "patience_left_ms", j.FirstEventDeadline.Sub(now).Milliseconds(),
		"waiting", st.Waiting(), "running", st.Running(), "limited", limited, "limited_per_s", rate,
		"fleet_revision", objects.FormatVersion(h.fleetVersion()), "retry_after_ms", d.RetryAfter.Milliseconds(),
		"service", service, "kind", st.Kind(j), "workspace", j.Workspace)
}

// stallLogInterval is the minimum time between two log lines on stalls.
const stallLogInterval = time.Second

// logStall logs that work waits while upstreams are idle, with what is known of those upstreams; mu is held.
func (h *hub) logStall(now decide.Instant, service catalog.ServiceName, st *dispatch.State) {
	if now.Sub(h.stallLogged) < stallLogInterval {
		return
	}
	stall, stalled := st.Stalled(now)
	if !stalled {
		return
	}
	h.stallLogged = now
	h.log.Warn("requests wait while upstreams are idle", "service", service, "for_ms", stall.Duration.Milliseconds(), "waiting", stall.Waiting,
		"idle", stall.Idle, "paused", stall.Paused, "full", stall.Full, "cold", stall.Cold, "limited", stall.Limited, "unreached", stall.Unreachable,
		"cut", stall.Partitioned, "fleet_revision", objects.FormatVersion(h.fleetVersion()))
}

// fleetVersion returns the store version of the upstreams that the states reflect, 0 if there is none; mu is held.
func (h *hub) fleetVersion() uint64 {
	if h.lastSnapshot == nil {
		return 0
	}
	return h.lastSnapshot.FleetVersion
}

// addDecision adds a placement or a refusal to the message for the instance of its job.
func addDecision(m *pb.ToEntry, d dispatch.Decision) {
	if d.Upstream == "" {
		m.Refusals = append(m.Refusals, &pb.Refusal{
			Id: string(d.Job.Request), Reason: string(d.Reason), RetryAfterMs: d.RetryAfter.Milliseconds(),
		})
		return
	}
	p := &pb.Place{
		Id: string(d.Job.Request), Upstream: string(d.Upstream), Helpers: idStrings(d.Helpers), Reason: string(d.Reason),
		OverdueMs: d.OverdueAfter.Milliseconds(),
	}
	for _, h := range d.Reservations {
		p.Holders = append(p.Holders, &pb.Holding{Upstream: string(h.Upstream), Tokens: int32(h.Tokens)})
	}
	m.Places = append(m.Places, p)
}

// decodeHoldings converts the messages of reservations.
func decodeHoldings(all []*pb.Holding) []dispatch.Reservation {
	out := make([]dispatch.Reservation, len(all))
	for i, m := range all {
		out[i] = dispatch.Reservation{Upstream: fleet.UpstreamID(m.Upstream), Tokens: int(m.Tokens)}
	}
	return out
}

// run makes decisions whenever something has changed or a step is due, and calls sendProofs with each heartbeat,
// until ctx ends.
func (h *hub) run(ctx context.Context, sendProofs func()) {
	defer crash.Report("dispatcher")
	lastHeartbeat := time.Now()
	for ctx.Err() == nil {
		h.waitForWork(ctx)
		h.mu.Lock()
		now := h.now()
		h.refresh(now)
		h.step(now)
		attached, took := len(h.sinks), h.lastStepTime
		h.mu.Unlock()
		if time.Since(lastHeartbeat) >= heartbeatInterval {
			lastHeartbeat = time.Now()
			if attached > 0 {
				h.mu.Lock()
				h.chooseReaders()
				h.mu.Unlock()
			}
			sendProofs()
		}
		// A long step, as with thousands of engines under overload, must leave time to receive messages: steps here use
		// at most a third of the processor.
		if took > longStepTime {
			wait.For(ctx, 2*took)
		}
	}
}

// waitForWork waits until something has changed or the next step is due.
func (h *hub) waitForWork(ctx context.Context) {
	t := time.NewTimer(h.maxIdleWait())
	defer t.Stop()
	select {
	case <-h.stepRequests:
	case <-t.C:
	case <-ctx.Done():
	}
}

// maxIdleWait returns how long run may wait for a change.
func (h *hub) maxIdleWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, st := range h.services {
		if st.Waiting() > 0 {
			return stepInterval
		}
	}
	return heartbeatInterval
}

// logPathFailure logs that an instance could not connect to an upstream; mu is held. It shows whose reports keep an
// upstream from receiving work.
func (h *hub) logPathFailure(instance fleet.InstanceID, e *pb.Ended) {
	if e.How == pb.Ended_UNREACHABLE {
		h.log.Info("instance can't connect to an upstream", "entry", instance, "domain", h.domains[instance], "request", e.Id, "at_fault", e.AtFault)
	}
}
