package engine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// reservation is KV cache memory that is set aside for one request or one exported prefix.
type reservation struct {
	wire.Reservation
	createdAt time.Duration
	expiresAt time.Duration // 0: never
	deadline  time.Duration // deadline of its request; 0: not known
}

// overdue reports whether the deadline of the reservation's request has passed.
func (r *reservation) overdue(now time.Duration) bool { return r.deadline > 0 && now > r.deadline }

// expireReservations releases the reservations whose time to live has passed, unless the engine has no expiry.
func (e *Engine) expireReservations(now time.Duration) {
	if e.cfg.NoExpiry {
		return
	}
	for id, r := range e.reservations {
		if r.expiresAt > 0 && now >= r.expiresAt {
			e.release(id, "reservation expired")
		}
	}
}

// release removes a reservation and fails the jobs that use it. It does nothing if the reservation does not exist.
func (e *Engine) release(id, reason string) {
	delete(e.reservations, id)
	for _, j := range slices.Clone(e.jobs) {
		if j.reservation == id && !j.finished() {
			e.counters.Released++
			e.fail(j, reason)
		}
	}
}

// reserve reserves memory and returns the HTTP status of the result. It takes no memory from running jobs and existing
// reservations, but evicts blocks of the prefix cache. If the same reservation exists, it renews the time to live.
func (e *Engine) reserve(r wire.Reservation, now time.Duration) (status int) {
	if old := e.reservations[r.ID]; old != nil {
		if old.Holder == r.Holder && old.Incarnation == r.Incarnation && old.Tokens == r.Tokens {
			old.expiresAt = e.afterWallMs(r.TTLMs, now)
			return fasthttp.StatusOK
		}
		return fasthttp.StatusConflict
	}
	if e.memoryInUse()+r.Tokens > e.cfg.Memory {
		return fasthttp.StatusServiceUnavailable
	}
	e.reservations[r.ID] = &reservation{
		Reservation: r, createdAt: now, expiresAt: e.afterWallMs(r.TTLMs, now), deadline: e.afterWallMs(r.DeadlineMs, now),
	}
	e.cache.evictTo(e.cfg.Memory-e.memoryInUse(), now)
	return fasthttp.StatusCreated
}

// postReservation creates or renews a reservation.
func (e *Engine) postReservation(ctx *fasthttp.RequestCtx) {
	var r wire.Reservation
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.ID == "" || r.Tokens <= 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "a reservation needs id and tokens")
		return
	}
	status := 0
	e.locked(func(now time.Duration) { status = e.reserve(r, now) })
	switch status {
	case fasthttp.StatusConflict:
		refuse(ctx, status, "the id is in use by another reservation")
	case fasthttp.StatusServiceUnavailable:
		refuse(ctx, status, "no memory")
	default:
		serve.JSON(ctx, status, r)
	}
}

// getReservations lists the reservations, ordered by id, with their age and remaining time to live in wall-clock time.
func (e *Engine) getReservations(ctx *fasthttp.RequestCtx) {
	answer := wire.Reservations{Reservations: []wire.Reservation{}}
	e.locked(func(now time.Duration) {
		answer.BootID = e.bootID
		for _, r := range e.reservations {
			listed := r.Reservation
			listed.AgeMs = e.wallTime(now - r.createdAt).Milliseconds()
			listed.TTLMs = 0
			if r.expiresAt > 0 && !e.cfg.NoExpiry {
				listed.TTLMs = max(1, e.wallTime(r.expiresAt-now).Milliseconds())
			}
			answer.Reservations = append(answer.Reservations, listed)
		}
	})
	slices.SortFunc(answer.Reservations, func(a, b wire.Reservation) int { return cmp.Compare(a.ID, b.ID) })
	serve.JSON(ctx, fasthttp.StatusOK, answer)
}

// deleteReservation releases a reservation. It succeeds also if the reservation does not exist.
func (e *Engine) deleteReservation(ctx *fasthttp.RequestCtx) {
	id := pathID(ctx)
	e.locked(func(time.Duration) { e.release(id, "reservation released") })
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
