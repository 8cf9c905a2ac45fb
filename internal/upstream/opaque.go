package upstream

import (
	"bufio"
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
)

const (
	// connectTimeout bounds a connection attempt: some tens of times the trip to the farthest failure domain,
	// and short against the time in which callers expect an answer. An upstream without power doesn't refuse.
	connectTimeout = 300 * time.Millisecond
	// maxStray bounds the answers of other requests that are passed over before an exchange's own.
	maxStray = 2
	// maxTrailers bounds the trailer lines after a chunked body.
	maxTrailers = 64
)

// Errors of an opaque exchange.
var (
	// ErrCutShort: the answer's body ended before its length, or its connection was reset.
	ErrTruncated = errors.New("answer was cut short")
	// ErrStray: the answers that came belong to other requests.
	ErrUnrelatedAnswer = errors.New("answers of other requests came")
)

// Opaque is a request that is forwarded byte for byte.
type ForwardRequest struct {
	Addr          string
	Head          *fasthttp.RequestHeader // whole but for the body's length
	Body          []byte
	NewConnection bool // over a new connection
	// Own tells whether an answer is this request's; nil: every one is.
	MatchesRequest func(*fasthttp.ResponseHeader) bool
}

// Exchange is one request under way at an upstream, with the head of its answer read. The body is read with
// Read; Close ends the exchange and must be called once.
type Exchange struct {
	Head   fasthttp.ResponseHeader
	client *Client
	conn   *conn
	detach func() bool
	body   io.Reader
	whole  bool // the body was read to its end
	kept   bool // the connection may be used again
	err    error
}

// Forward sends o and reads the head of its answer. Everything ends with ctx: its deadline bounds each read
// and write, and its end wakes them. A *CallError says what is known of the effect.
func (c *Client) Forward(ctx context.Context, o ForwardRequest) (*Exchange, error) {
	cn, err := c.connect(ctx, o)
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	x := &Exchange{client: c, conn: cn}
	deadline, _ := ctx.Deadline()
	_ = cn.SetDeadline(deadline)
	x.detach = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(past) })
	if err := x.exchange(o); err != nil {
		x.conn.broken.Store(true)
		e := &CallError{Sent: cn.sent.Load() > 0, Cause: err, Timeout: timedOut(err) || errors.Is(err, os.ErrDeadlineExceeded)}
		x.Close()
		return nil, e
	}
	return x, nil
}

func (c *Client) connect(ctx context.Context, o ForwardRequest) (*conn, error) {
	if !o.NewConnection {
		for cn := c.pool.takeIdle(o.Addr); cn != nil; cn = c.pool.takeIdle(o.Addr) {
			if cn.quiet() {
				cn.sent.Store(0)
				return cn, nil
			}
			_ = cn.Close()
		}
	}
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return c.pool.dial(dialing, o.Addr)
}

// exchange writes the request and reads the answer's head. An upstream may answer and close before it has
// read the body: the write then fails, and the answer is still there to be read.
func (x *Exchange) exchange(o ForwardRequest) error {
	writeErr := x.write(o)
	if writeErr != nil {
		x.kept = false
	}
	for range maxStray + 1 {
		if err := x.Head.Read(x.conn.reader); err != nil {
			if writeErr != nil {
				return fmt.Errorf("write request: %w", writeErr)
			}
			return fmt.Errorf("read answer: %w", err)
		}
		if status := x.Head.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		x.frame(string(o.Head.Method()))
		if o.MatchesRequest == nil || o.MatchesRequest(&x.Head) {
			x.kept = x.kept && writeErr == nil
			return nil
		}
		// A second answer of the request before can come late, at the place where this one is due.
		if _, err := io.Copy(io.Discard, x); err != nil {
			return fmt.Errorf("%w: %w", ErrUnrelatedAnswer, err)
		}
		x.whole, x.err = false, nil
		x.Head.Reset()
	}
	return ErrUnrelatedAnswer
}

func (x *Exchange) write(o ForwardRequest) error {
	h := o.Head
	if len(o.Body) > 0 || h.ContentLength() >= 0 {
		h.SetContentLength(len(o.Body))
	}
	w := x.conn.writer
	if _, err := w.Write(h.Header()); err != nil {
		return err
	}
	if _, err := w.Write(o.Body); err != nil {
		return err
	}
	return w.Flush()
}

// frame prepares the reader of the body as the head frames it.
func (x *Exchange) frame(method string) {
	x.kept = !x.Head.ConnectionClose()
	status, length := x.Head.StatusCode(), x.Head.ContentLength()
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		x.body = strings.NewReader("")
	case length == -1:
		x.body = &chunked{chunks: httputil.NewChunkedReader(x.conn.reader), raw: x.conn.reader}
	case length >= 0:
		x.body = &sized{r: x.conn.reader, left: length}
	default:
		// Without a length the body ends with its connection: in order, or with a reset that Read gives.
		x.body, x.kept = x.conn.reader, false
	}
}

// Read reads the answer's body. io.EOF comes only at its whole end.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.err != nil {
		return 0, x.err
	}
	n, err := x.body.Read(p)
	switch {
	case err == io.EOF:
		x.whole = true
		x.err = err
	case err != nil:
		x.err = fmt.Errorf("%w: %w", ErrTruncated, err)
		err = x.err
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read whole and nothing lies behind it;
// closing it otherwise tells the upstream to stop the work.
func (x *Exchange) Close() {
	detached := x.detach()
	if detached && x.whole && x.kept && x.conn.reader.Buffered() == 0 {
		x.conn.idleEnd = idleEnd(&x.Head, x.client.pool.now())
		x.client.pool.put(x.conn)
		return
	}
	_ = x.conn.Close()
}

// idleMargin is what is left of an announced idle time when the connection is last used: a request that
// crosses the other end's close is lost.
const idleMargin = 500 * time.Millisecond

// idleEnd gives the moment from which the connection is not used again, by the idle time that the other end
// announces in whole seconds; zero where it announces none.
func idleEnd(h *fasthttp.ResponseHeader, now time.Time) time.Time {
	_, after, ok := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !ok {
		return time.Time{}
	}
	digits := after
	if i := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
		digits = after[:i]
	}
	seconds, err := strconv.Atoi(digits)
	if err != nil {
		return now
	}
	return now.Add(time.Duration(seconds)*time.Second - idleMargin)
}

// sized reads a body of a known length.
type sized struct {
	r    *bufio.Reader
	left int
}

func (s *sized) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(len(p), s.left)])
	s.left -= n
	if err == io.EOF && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked reads a chunked body with its trailers, which are dropped.
type chunked struct {
	chunks io.Reader
	raw    *bufio.Reader
}

func (c *chunked) Read(p []byte) (int, error) {
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for range maxTrailers {
		line, err := c.raw.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= 2 {
			return n, io.EOF
		}
	}
	return n, errors.New("too many trailers")
}
