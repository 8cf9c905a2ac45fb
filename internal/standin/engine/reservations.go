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
	expires time.Duration // 0: never
	over    time.Duration // its request has to be over then; 0: not known
}

func (r *reservation) overdue(now time.Duration) bool { return r.over > 0 && now > r.over }

// expire releases reservations whose time to live is over.
func (e *Engine) expire(now time.Duration) {
	if e.cfg.NoExpiry {
		return
	}
	for id, r := range e.reservations {
		if r.expires > 0 && now >= r.expires {
			e.release(id, "reservation expired")
		}
	}
}

// release gives a reservation's memory back and ends the jobs that used it.
func (e *Engine) release(id, reason string) {
	delete(e.reservations, id)
	for _, j := range slices.Clone(e.jobs) {
		if j.reservation == id && !j.over() {
			e.counters.Released++
			e.fail(j, reason)
		}
	}
}

// reserve holds memory; running work and older reservations come first, the prefix cache gives way. Asked
// again for the same, it renews the time to live.
func (e *Engine) reserve(r wire.Reservation, now time.Duration) (status int) {
	if old := e.reservations[r.ID]; old != nil {
		if old.Holder == r.Holder && old.Incarnation == r.Incarnation && old.Tokens == r.Tokens {
			old.expires = e.instant(r.TTLMs, now)
			return fasthttp.StatusOK
		}
		return fasthttp.StatusConflict
	}
	if e.held()+r.Tokens > e.cfg.KVCacheTokens {
		return fasthttp.StatusServiceUnavailable
	}
	e.reservations[r.ID] = &reservation{
		Reservation: r, created: now, expires: e.instant(r.TTLMs, now), over: e.instant(r.DeadlineMs, now),
	}
	e.cache.shrink(e.cfg.KVCacheTokens-e.held(), now)
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
			row.AgeMs = e.wall(now - r.created).Milliseconds()
			row.TTLMs = 0
			if r.expires > 0 && !e.cfg.NoExpiry {
				row.TTLMs = max(1, e.wall(r.expires-now).Milliseconds())
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
