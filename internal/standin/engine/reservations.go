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

type reservation struct {
	wire.Reservation
	created time.Duration
}

func (r *reservation) age(now time.Duration) time.Duration { return now - r.created }

func (r *reservation) left(now time.Duration) time.Duration {
	return time.Duration(r.TTLMs)*time.Millisecond - r.age(now)
}

func (r *reservation) overdue(now time.Duration) bool {
	return r.DeadlineMs > 0 && r.age(now) > time.Duration(r.DeadlineMs)*time.Millisecond
}

// expire releases reservations whose time to live is over.
func (e *Engine) expire(now time.Duration) {
	if e.cfg.NoExpiry {
		return
	}
	for id, r := range e.reservations {
		if r.TTLMs > 0 && r.left(now) <= 0 {
			e.release(id, "reservation expired")
		}
	}
}

// release gives a reservation's memory back and ends the jobs that used it.
func (e *Engine) release(id, reason string) {
	delete(e.reservations, id)
	for _, j := range slices.Clone(e.jobs) {
		if j.reservation == id {
			e.fail(j, reason)
		}
	}
}

// reserve holds memory; running work and older reservations come first, the prefix cache gives way.
func (e *Engine) reserve(r wire.Reservation, now time.Duration) (status int) {
	if old := e.reservations[r.ID]; old != nil {
		if old.Holder == r.Holder && old.Incarnation == r.Incarnation && old.Tokens == r.Tokens {
			return fasthttp.StatusOK
		}
		return fasthttp.StatusConflict
	}
	if e.held()+r.Tokens > e.cfg.Memory {
		return fasthttp.StatusServiceUnavailable
	}
	e.reservations[r.ID] = &reservation{Reservation: r, created: now}
	e.cache.shrink(e.cfg.Memory-e.held(), now)
	return fasthttp.StatusCreated
}

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

func (e *Engine) getReservations(ctx *fasthttp.RequestCtx) {
	answer := wire.Reservations{Reservations: []wire.Reservation{}}
	e.locked(func(now time.Duration) {
		answer.BootID = e.boot
		for _, r := range e.reservations {
			row := r.Reservation
			row.AgeMs = r.age(now).Milliseconds()
			if row.TTLMs > 0 {
				row.TTLMs = max(1, r.left(now).Milliseconds())
			}
			if e.cfg.NoExpiry {
				row.TTLMs = 0
			}
			answer.Reservations = append(answer.Reservations, row)
		}
	})
	slices.SortFunc(answer.Reservations, func(a, b wire.Reservation) int { return cmp.Compare(a.ID, b.ID) })
	serve.JSON(ctx, fasthttp.StatusOK, answer)
}

func (e *Engine) deleteReservation(ctx *fasthttp.RequestCtx) {
	id := pathID(ctx)
	e.locked(func(time.Duration) { e.release(id, "reservation released") })
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
