package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/bodyread"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// newHoldingGateway returns a gateway that may hold limit bytes and accepts bodies of up to maxBody bytes.
func newHoldingGateway(limit int64, maxBody int) *Gateway {
	return &Gateway{deps: Deps{Limits: Limits{MaxBodyBytes: maxBody}}, held: heldBytes{limit: limit, gauge: gometrics.NewGauge()}}
}

// Guards against bodies of unknown length that pass the bound: they are counted before they are read, and are whole if
// they fit.
func TestChunkedBodiesAreCounted(t *testing.T) {
	is := is.New(t)
	g := newHoldingGateway(4*chunkedStep, 8*chunkedStep)
	sent := bytes.Repeat([]byte("ab"), chunkedStep*3/4)
	r := &request{}
	body, err := g.readChunkedBody(bytes.NewReader(sent), r)
	is.NoErr(err)
	is.True(bytes.Equal(body, sent))
	is.True(r.held >= int64(len(sent)))
	is.True(g.held.held.Load() <= 4*chunkedStep)
	other := &request{}
	_, err = g.readChunkedBody(bytes.NewReader(bytes.Repeat(sent, 2)), other)
	is.Equal(err, bodyread.ErrNoRoom)
	g.releaseHeld(r)
	g.releaseHeld(other)
	is.Equal(g.held.held.Load(), int64(0))
}

// Guards against a chunked body over the limit that is passed on, or of which the start is kept.
func TestChunkedBodyOverTheLimitIsRejected(t *testing.T) {
	is := is.New(t)
	g := newHoldingGateway(0, 1000)
	_, err := g.readChunkedBody(strings.NewReader(strings.Repeat("x", 1001)), &request{})
	is.Equal(err, fasthttp.ErrBodyTooLarge)
}

// Guards against plain answers that callers who read slowly keep in memory uncounted: the count ends when the HTTP server
// has written the answer.
func TestLongPlainAnswerIsCountedUntilItIsWritten(t *testing.T) {
	is := is.New(t)
	g := newHoldingGateway(0, 0)
	for _, length := range []int{maxRawBody, maxRawBody + 1} {
		body := bytes.Repeat([]byte("a"), length)
		l := &lifecycle{g: g, r: &request{held: int64(length)}}
		g.held.add(int64(length))
		var ctx fasthttp.RequestCtx
		l.setPlainBody(&ctx, body)
		g.releaseHeld(l.r) // the request has ended here
		if length > maxRawBody {
			is.Equal(g.held.held.Load(), int64(length))
		}
		var written bytes.Buffer
		is.NoErr(ctx.Response.BodyWriteTo(&written))
		is.NoErr(ctx.Response.CloseBodyStream())
		is.True(bytes.Equal(written.Bytes(), body))
		is.Equal(g.held.held.Load(), int64(0))
	}
}

// Guards against a request that is forwarded without its body, because the HTTP library has read the body itself.
func TestBodyWithoutStreamIsNoEmptyBody(t *testing.T) {
	is := is.New(t)
	g := newHoldingGateway(0, 100)
	for _, length := range []int{7, -1} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetContentLength(length)
		f := g.readBody(ctx, &request{})
		is.True(f != nil && f.Kind == fault.Internal)
	}
}

// Guards against an answer that takes the process's memory, and against a short one that isn't read because long ones take all that
// the instance may hold.
func TestAnswersAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	const limit = 4 << 20
	g := newHoldingGateway(limit, 0)
	g.held.add(limit)
	long := answerBytes{total: &g.held}
	is.True(long.acquire(maxFreeAnswerBytes)) // an answer that is ready is delivered
	is.True(!long.acquire(1))
	other := answerBytes{total: &g.held}
	is.True(other.acquire(maxFreeAnswerBytes))
	third := answerBytes{total: &g.held}
	is.True(!third.acquire(maxFreeAnswerBytes))
	is.True(third.acquire(maxSmallAnswerBytes))
	for _, a := range []*answerBytes{&long, &other, &third} {
		a.release()
		a.release() // has no effect
	}
	is.Equal(g.held.held.Load(), int64(limit))
}

// Guards against a count of a stream's bytes that goes on after the stream: new requests would be refused for good.
func TestLongEventsAreCountedWhileTheyAreKept(t *testing.T) {
	is := is.New(t)
	g := newHoldingGateway(0, 0)
	e := newEventReader(strings.NewReader("data: "+strings.Repeat("x", 100<<10)), &g.held)
	_, err := e.next()
	is.True(err != nil)
	is.True(g.held.held.Load() >= 100<<10)
	e.close()
	is.Equal(g.held.held.Load(), int64(0))
}
