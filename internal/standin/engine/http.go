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

// routes returns the handler of all paths of the engine's contract, package wire.
func (e *Engine) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST(wire.PathCompletions, e.withFaults(e.postCompletion))
	r.POST(wire.PathCancel, e.withFaults(e.postCancel))
	r.GET(wire.PathLoad, e.withFaults(e.getLoad))
	r.GET(wire.PathCacheEvents, e.withFaults(e.getCacheEvents))
	r.GET(wire.PathReservations, e.withFaults(e.getReservations))
	r.POST(wire.PathReservations, e.withFaults(e.postReservation))
	r.DELETE(wire.PathReservation, e.withFaults(e.deleteReservation))
	r.POST(wire.PathOrders, e.withFaults(e.postOrder))
	r.GET(wire.PathState, e.withFaults(e.getState))
	r.POST(wire.PathKVExport, e.withFaults(e.postExport))
	r.POST(wire.PathKVImport, e.withFaults(e.postImport))
	r.GET(wire.PathPing, e.withFaults(e.getPing))
	return r.Handler
}

// withFaults wraps a handler with the faults that apply to every call, Hang and RefuseEverything, and sets the header
// with the boot id.
func (e *Engine) withFaults(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if e.faults.WaitUntilOff(faults.Hang, serve.ConnDone(ctx)) {
			serve.CloseConn(ctx)
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

// postCancel cancels the dispatches of a request. If the call names an attempt, it cancels only that attempt and those
// before it.
func (e *Engine) postCancel(ctx *fasthttp.RequestCtx) {
	id := pathID(ctx)
	attempt, present, err := intHeader(ctx, wire.HeaderAttempt)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	e.locked(func(now time.Duration) {
		for _, j := range e.jobsOfRequest(id) {
			if !present || j.attempt <= attempt {
				e.cancel(j)
			}
		}
	})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// getLoad answers with the latest load report, the report's age, and the position up to which cache events are published.
func (e *Engine) getLoad(ctx *fasthttp.RequestCtx) {
	var report wire.LoadReport
	e.locked(func(now time.Duration) {
		report = e.report
		report.AgeMs = e.wallTime(now - e.reportedAt).Milliseconds()
		report.CacheNext = e.cache.nextPublished(now - e.cfg.EventLag)
	})
	serve.JSON(ctx, fasthttp.StatusOK, report)
}

// getCacheEvents answers with the cache events that are at least EventLag old, from a sequence number on.
func (e *Engine) getCacheEvents(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "from: not a sequence number")
		return
	}
	var answer wire.CacheEvents
	e.locked(func(now time.Duration) {
		answer = e.cache.eventsFrom(from, now-e.cfg.EventLag)
		answer.BootID = e.bootID
	})
	serve.JSON(ctx, fasthttp.StatusOK, answer)
}

// refuse answers a call with an error, and with the header and field that mark the call as not started.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.Response.Header.Set(wire.HeaderNotStarted, "true")
	serve.JSON(ctx, status, wire.Refusal{Error: reason, NotStarted: true})
}

// pathID returns the path parameter id, unescaped. It returns the raw text if that can't be unescaped.
func pathID(ctx *fasthttp.RequestCtx) string {
	raw := serve.PathParam(ctx, "id")
	if id, err := url.PathUnescape(raw); err == nil {
		return id
	}
	return raw
}

// intHeader parses a header with an integer value. present reports whether the call has the header.
func intHeader(ctx *fasthttp.RequestCtx, name string) (value int, present bool, err error) {
	raw := ctx.Request.Header.Peek(name)
	if len(raw) == 0 {
		return 0, false, nil
	}
	value, err = strconv.Atoi(string(raw))
	return value, true, err
}

// decodeBody decodes the JSON body of a call. If that fails, it refuses the call and returns false.
func decodeBody(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}
