package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/httphead"
)

const (
	// connectTimeout bounds a connection attempt. It is some tens of times the round trip to the farthest failure
	// domain, and short against the time in which callers expect an answer. An upstream without power doesn't refuse
	// connections.
	connectTimeout = 300 * time.Millisecond
	// maxUnrelatedAnswers bounds the answers of other requests, and the interim answers, that are skipped before an
	// exchange's own answer.
	maxUnrelatedAnswers = 2
)

// Errors of a forwarded request.
var (
	// ErrTruncated reports that the answer's body ended before its length, or that its connection was reset.
	ErrTruncated = errors.New("answer was cut short")
	// ErrUnrelatedAnswer reports that what arrived isn't the answer to the request.
	ErrUnrelatedAnswer = errors.New("what came isn't the answer to the request")
)

// ForwardRequest is a request that is forwarded byte for byte.
type ForwardRequest struct {
	Addr          string
	Head          *fasthttp.RequestHeader // complete except for the body's length
	Body          []byte
	HasLength     bool    // the head states a length also for an empty body
	NewConnection bool    // use a new connection instead of an idle one
	Unread        *Unread // shows what arrives for the exchange; nil: nobody asks
	// Match reports which request a final answer belongs to. If it is nil, every one belongs to this request.
	Match func(*fasthttp.ResponseHeader) Match
}

// Match is which request an answer belongs to.
type Match uint8

// The matches.
const (
	ThisRequest  Match = iota
	OtherRequest       // the answer says so
	NoRequest          // nothing shows which one
)

// Exchange is one request in flight to an upstream, with the head of its answer read. Read reads the body. Close
// ends the exchange and must be called once.
type Exchange struct {
	Head     fasthttp.ResponseHeader
	Via      fleet.InstanceID // the instance that the connection goes through; empty: direct
	Framing  Framing          // of the body
	client   *Client
	conn     *conn
	reused   bool        // the connection was idle before, so that bytes of earlier requests may arrive
	detach   func() bool // stops the end of the context from interrupting the exchange; false: it already has
	body     io.Reader
	complete bool  // the body was read to its end
	reusable bool  // the answer allows further requests on the connection
	err      error // of the last Read
}

// Forward sends q and reads the head of its answer. The deadline of ctx bounds each read and write of the exchange,
// and the end of ctx interrupts them. A *CallError describes what is known of the effect.
func (c *Client) Forward(ctx context.Context, q ForwardRequest) (*Exchange, error) {
	cn, reused, err := c.connect(ctx, q)
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	if q.Unread != nil {
		q.Unread.conn.Store(cn)
	}
	x := &Exchange{Via: cn.via, client: c, conn: cn, reused: reused}
	deadline, _ := ctx.Deadline()
	_ = cn.SetDeadline(deadline)
	x.detach = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(expiredDeadline) })
	if err := x.roundTrip(q); err != nil {
		x.conn.broken.Store(true)
		e := &CallError{Sent: cn.bytesSent.Load() > 0, Via: cn.via, Cause: err, Timeout: isTimeout(err) || errors.Is(err, os.ErrDeadlineExceeded)}
		x.Close()
		return nil, e
	}
	return x, nil
}

// connect returns an idle connection that is open and has no unread data, or a new connection.
func (c *Client) connect(ctx context.Context, q ForwardRequest) (cn *conn, reused bool, err error) {
	if !q.NewConnection {
		for cn := c.pool.takeIdle(q.Addr); cn != nil; cn = c.pool.takeIdle(q.Addr) {
			if cn.openAndEmpty() {
				cn.bytesSent.Store(0)
				return cn, true, nil
			}
			_ = cn.Close()
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	cn, err = c.pool.dial(dialCtx, q.Addr)
	return cn, false, err
}

// roundTrip writes the request and reads the head of the answer. An upstream may answer and close before it has read
// the body. The write then fails, but the answer can still be read.
func (x *Exchange) roundTrip(q ForwardRequest) error {
	writeErr := x.writeRequest(q)
	sound := writeErr == nil // so far, only the request was sent and nothing but its answer came
	for range maxUnrelatedAnswers + 1 {
		if err := x.readHead(); err != nil {
			if writeErr != nil {
				return fmt.Errorf("write request: %w", writeErr)
			}
			return fmt.Errorf("read answer: %w", err)
		}
		switch status := x.Head.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols: // nothing asked for it, and no answer follows
			return ErrUnrelatedAnswer
		case status < fasthttp.StatusOK:
			continue
		}
		x.initBody(string(q.Head.Method()))
		match := ThisRequest
		if q.Match != nil {
			match = q.Match(&x.Head)
		}
		if match == ThisRequest {
			x.reusable = x.reusable && sound
			return nil
		}
		sound = false
		if !x.canSkipAnswer(match, string(q.Head.Method())) {
			return ErrUnrelatedAnswer
		}
		if _, err := io.Copy(io.Discard, x); err != nil {
			return fmt.Errorf("%w: %w", ErrUnrelatedAnswer, err)
		}
		x.complete, x.err = false, nil
		x.Head.Reset()
	}
	return ErrUnrelatedAnswer
}

// readHead reads the head of an answer.
func (x *Exchange) readHead() error {
	if err := httphead.CheckResponse(x.conn.reader); err != nil {
		return err
	}
	x.Head.SetNoDefaultContentType(true)
	return x.Head.Read(x.conn.reader)
}

// canSkipAnswer reports whether the request's own answer may follow an unrelated one. A second answer to an earlier request
// can arrive late, where this request's answer is due, and so can bytes that belong to none on a connection that was idle.
// On a new connection, such bytes are what the upstream made of this request. An unrelated answer whose end isn't known
// can't be skipped: it ends with its connection, or the request is a HEAD.
func (x *Exchange) canSkipAnswer(match Match, method string) bool {
	return (match == OtherRequest || x.reused) && x.Framing != FramingConnection && method != fasthttp.MethodHead
}

// writeRequest writes the head with the body's length, and the body.
func (x *Exchange) writeRequest(q ForwardRequest) error {
	h := q.Head
	if len(q.Body) > 0 || q.HasLength {
		h.Set(fasthttp.HeaderContentLength, strconv.Itoa(len(q.Body)))
	}
	w := x.conn.writer
	if _, err := w.Write(h.Header()); err != nil {
		return err
	}
	if _, err := w.Write(q.Body); err != nil {
		return err
	}
	return w.Flush()
}

// initBody sets the reader of the body according to the answer's head.
func (x *Exchange) initBody(method string) {
	x.reusable = !x.Head.ConnectionClose()
	x.Framing = framingOf(method, &x.Head)
	switch x.Framing {
	case FramingNone:
		x.body = strings.NewReader("")
	case FramingChunked:
		x.body = &chunkedReader{chunks: httputil.NewChunkedReader(x.conn.reader), raw: x.conn.reader}
	case FramingLength:
		x.body = &lengthReader{r: x.conn.reader, remaining: x.Head.ContentLength()}
	case FramingConnection:
		x.body, x.reusable = x.conn.reader, false
	}
}

// Read reads the answer's body. It returns io.EOF only at the complete end of the body.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.err != nil {
		return 0, x.err
	}
	n, err := x.body.Read(p)
	switch {
	case err == io.EOF:
		x.complete = true
		x.err = err
	case err != nil:
		x.err = fmt.Errorf("%w: %w", ErrTruncated, err)
		err = x.err
	}
	return n, err
}

// Discard reads the rest of a body that nobody needs, as far as it comes within the timeout and has at most maxBytes, so that
// its connection can be used again.
func (x *Exchange) Discard(maxBytes int64, timeout time.Duration) {
	_ = x.conn.SetDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxBytes))
}

// Close ends the exchange. It keeps the connection if the answer was read completely and no data follows it.
// Otherwise it closes the connection, which tells the upstream to stop the work.
func (x *Exchange) Close() {
	detached := x.detach()
	if detached && x.complete && x.reusable && x.conn.reader.Buffered() == 0 {
		x.conn.idleDeadline = idleDeadline(&x.Head, x.client.pool.now())
		x.client.pool.put(x.conn)
		return
	}
	_ = x.conn.Close()
}

// idleMargin is how long before the end of an announced idle time a connection is last used. A request that is in
// transit when the upstream closes the connection is lost.
const idleMargin = 500 * time.Millisecond

// idleDeadline returns when a connection must no longer be used because of the idle time, in whole seconds, that the
// upstream announces. It returns zero if none is announced, and now if the announced time can't be parsed.
func idleDeadline(h *fasthttp.ResponseHeader, now time.Time) time.Time {
	_, value, ok := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !ok {
		return time.Time{}
	}
	digits := value
	if i := strings.IndexFunc(value, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
		digits = value[:i]
	}
	seconds, err := strconv.Atoi(digits)
	if err != nil {
		return now
	}
	return now.Add(time.Duration(seconds)*time.Second - idleMargin)
}
