package engine

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func (e *Engine) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST(wire.PathCompletions, e.gate(e.postCompletion))
	r.POST(wire.PathCancel, e.gate(e.postCancel))
	r.GET(wire.PathLoad, e.gate(e.getLoad))
	r.GET(wire.PathCacheEvents, e.gate(e.getCacheEvents))
	r.GET(wire.PathReservations, e.gate(e.getReservations))
	r.POST(wire.PathReservations, e.gate(e.postReservation))
	r.DELETE(wire.PathReservation, e.gate(e.deleteReservation))
	r.POST(wire.PathOrders, e.gate(e.postOrder))
	r.GET(wire.PathState, e.gate(e.getState))
	r.POST(wire.PathKVExport, e.gate(e.postExport))
	r.POST(wire.PathKVImport, e.gate(e.postImport))
	r.GET(wire.PathPing, e.gate(e.getPing))
	return r.Handler
}

// gate plays the faults that concern every call.
func (e *Engine) gate(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if e.faults.WaitUntilOff(faults.Hang, serve.Gone(ctx)) {
			serve.Drop(ctx)
			return
		}
		ctx.Response.Header.Set(wire.HeaderBootID, e.BootID())
		if e.faults.On(faults.RefuseEverything) {
			serve.JSON(ctx, fasthttp.StatusServiceUnavailable, wire.Refusal{Error: "out of service"})
			return
		}
		next(ctx)
	}
}

func (e *Engine) getPing(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) }

// postCancel ends the dispatches of a request: all, or those up to the attempt that the header names.
func (e *Engine) postCancel(ctx *fasthttp.RequestCtx) {
	id := pathID(ctx)
	attempt, given, err := intHeader(ctx, wire.HeaderAttempt)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	e.locked(func(now time.Duration) {
		for _, j := range e.jobsOf(id) {
			if !given || j.attempt <= attempt {
				e.cancel(j)
			}
		}
	})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) getLoad(ctx *fasthttp.RequestCtx) {
	var report wire.LoadReport
	e.locked(func(now time.Duration) {
		report = e.report
		report.AgeMs = e.wall(now - e.reported).Milliseconds()
		report.CacheNext = e.cache.published(now - e.cfg.EventDelay)
	})
	serve.JSON(ctx, fasthttp.StatusOK, report)
}

func (e *Engine) getCacheEvents(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "from: not a sequence number")
		return
	}
	var answer wire.CacheEvents
	e.locked(func(now time.Duration) {
		answer = e.cache.since(from, now-e.cfg.EventDelay)
		answer.BootID = e.boot
	})
	serve.JSON(ctx, fasthttp.StatusOK, answer)
}

// refuse answers a call of which nothing was carried out.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.Response.Header.Set(wire.HeaderNotStarted, "true")
	serve.JSON(ctx, status, wire.Refusal{Error: reason, NotStarted: true})
}

func pathID(ctx *fasthttp.RequestCtx) string {
	raw := serve.Param(ctx, "id")
	if id, err := url.PathUnescape(raw); err == nil {
		return id
	}
	return raw
}

// intHeader reads a header that is a number, and tells whether it is there.
func intHeader(ctx *fasthttp.RequestCtx, name string) (value int, given bool, err error) {
	raw := ctx.Request.Header.Peek(name)
	if len(raw) == 0 {
		return 0, false, nil
	}
	value, err = strconv.Atoi(string(raw))
	return value, true, err
}

func decode(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}
