package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// smallCall bounds the small calls of an engine's API.
const smallCall = 2 * time.Second

// readBody reads a small answer whole.
func readBody(x *exchange) ([]byte, error) {
	stream := x.resp.BodyStream()
	if stream == nil {
		return x.resp.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxSmallBody+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxSmallBody {
		return nil, fmt.Errorf("answer is over %d bytes", maxSmallBody)
	}
	return body, nil
}

func withID(path, id string) string {
	return strings.Replace(path, "{id}", url.PathEscape(id), 1)
}

// Load asks an engine for its load report.
func (c *Client) Load(ctx context.Context, addr string) (wire.LoadReport, error) {
	var l wire.LoadReport
	err := c.json(ctx, addr, fasthttp.MethodGet, wire.PathLoad, nil, &l, smallCall)
	return l, err
}

// CacheEvents asks an engine for the cache events from sequence number from.
func (c *Client) CacheEvents(ctx context.Context, addr string, from uint64) (wire.CacheEvents, error) {
	var e wire.CacheEvents
	err := c.json(ctx, addr, fasthttp.MethodGet, fmt.Sprintf("%s?from=%d", wire.PathCacheEvents, from), nil, &e, smallCall)
	return e, err
}

// State asks an engine what it has loaded and which orders it knows.
func (c *Client) State(ctx context.Context, addr string) (wire.EngineState, error) {
	var s wire.EngineState
	err := c.json(ctx, addr, fasthttp.MethodGet, wire.PathState, nil, &s, smallCall)
	return s, err
}

// Ping asks an upstream for a sign of life over a new connection.
func (c *Client) Ping(ctx context.Context, addr string, wait time.Duration) error {
	fresh := &Client{pool: newPool()}
	defer fresh.Close()
	return fresh.json(ctx, addr, fasthttp.MethodGet, wire.PathPing, nil, nil, wait)
}

// WarmUp sends an engine a prompt of a few tokens with the lowest priority and reads its answer.
func (c *Client) WarmUp(ctx context.Context, addr, model string, wait time.Duration) error {
	body, err := json.Marshal(wire.CompletionRequest{Model: model, Prompt: "warm up", MaxTokens: 1, Stream: true})
	if err != nil {
		return fmt.Errorf("encode warm-up prompt: %w", err)
	}
	s, err := c.Complete(ctx, addr, Completion{
		RequestID: "warm-up-" + uuid.NewString(), Workspace: "damaskshelf", Priority: lowestPriority,
		Attempt: 1, Remaining: wait, Body: body,
	}, SilenceLimits{Params: stream.NewParams(wait), Deadline: time.Now().Add(wait)})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		p, err := s.Next()
		switch {
		case err != nil:
			return err
		case p.FinishReason == stream.FinishError:
			return fmt.Errorf("warm-up prompt: %s", p.Error)
		case p.FinishReason != "":
			s.Finish()
			return nil
		}
	}
}

const lowestPriority = -10

// Cancel ends a request's dispatches up to that attempt on an engine; cancelling twice does no harm. A
// later attempt may be on its way to the same engine, and is not touched.
func (c *Client) Cancel(ctx context.Context, addr, requestID string, attempt int) error {
	upTo := [2]string{wire.HeaderAttempt, strconv.Itoa(attempt)}
	return c.json(ctx, addr, fasthttp.MethodPost, withID(wire.PathCancel, requestID), nil, nil, smallCall, upTo)
}

// Reserve asks an engine to hold memory. After an error that may have run, the reservation may stand.
func (c *Client) Reserve(ctx context.Context, addr string, r wire.Reservation) error {
	return c.json(ctx, addr, fasthttp.MethodPost, wire.PathReservations, r, nil, smallCall)
}

// Reservations lists the memory held on an engine.
func (c *Client) Reservations(ctx context.Context, addr string) (wire.Reservations, error) {
	var r wire.Reservations
	err := c.json(ctx, addr, fasthttp.MethodGet, wire.PathReservations, nil, &r, smallCall)
	return r, err
}

// Release frees a reservation; releasing twice does no harm.
func (c *Client) Release(ctx context.Context, addr, id string) error {
	return c.json(ctx, addr, fasthttp.MethodDelete, withID(wire.PathReservation, id), nil, nil, smallCall)
}

// Order gives an engine an order.
func (c *Client) Order(ctx context.Context, addr string, o wire.Order) (wire.OrderStatus, error) {
	var s wire.OrderStatus
	err := c.json(ctx, addr, fasthttp.MethodPost, wire.PathOrders, o, &s, smallCall)
	return s, err
}
