package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/bodyread"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// smallCallTimeout bounds the small calls of an engine's API.
const smallCallTimeout = 2 * time.Second

// readBody reads a complete answer of at most maxSmallBodyBytes.
func readBody(x *httpExchange) ([]byte, error) {
	bodyStream := x.resp.BodyStream()
	if bodyStream == nil {
		return x.resp.Body(), nil
	}
	var read, held int64
	defer func() { x.client.bodyBytes.Release(held) }()
	body, err := bodyread.InSteps(bodyStream, firstBodyBytes, maxSmallBodyBytes, func(step int64) bool {
		read += step
		if read <= freeBodyBytes {
			return true
		}
		if !x.client.bodyBytes.TryAcquire(step) {
			return false
		}
		held += step
		return true
	})
	if err != nil {
		return nil, fmt.Errorf("read answer of at most %d bytes: %w", maxSmallBodyBytes, err)
	}
	return body, nil
}

// firstBodyBytes is the size of the first buffer of a small answer, in bytes.
const firstBodyBytes = 512

// pathWithID returns path with its {id} replaced by the escaped id.
func pathWithID(path, id string) string {
	return strings.Replace(path, "{id}", url.PathEscape(id), 1)
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, addr string) (wire.LoadReport, error) {
	var l wire.LoadReport
	err := c.smallCall(ctx, addr, fasthttp.MethodGet, wire.PathLoad, nil, &l, smallCallTimeout)
	return l, err
}

// CacheEvents returns an engine's cache events from sequence number from.
func (c *Client) CacheEvents(ctx context.Context, addr string, from uint64) (wire.CacheEvents, error) {
	var e wire.CacheEvents
	err := c.smallCall(ctx, addr, fasthttp.MethodGet, fmt.Sprintf("%s?from=%d", wire.PathCacheEvents, from), nil, &e, smallCallTimeout)
	return e, err
}

// State returns which models an engine has loaded, and the state of its latest orders.
func (c *Client) State(ctx context.Context, addr string) (wire.EngineState, error) {
	var s wire.EngineState
	err := c.smallCall(ctx, addr, fasthttp.MethodGet, wire.PathState, nil, &s, smallCallTimeout)
	return s, err
}

// Ping returns nil if an upstream answers a ping on a new connection within timeout.
func (c *Client) Ping(ctx context.Context, addr string, timeout time.Duration) error {
	fresh := c.withoutIdle()
	defer fresh.Close()
	return fresh.smallCall(ctx, addr, fasthttp.MethodGet, wire.PathPing, nil, nil, timeout)
}

// WarmUp sends an engine a prompt of a few tokens with the lowest priority and reads the answer.
func (c *Client) WarmUp(ctx context.Context, addr, model string, timeout time.Duration) error {
	body, err := json.Marshal(wire.Completion{Model: model, Prompt: "warm up", MaxTokens: 1, Stream: true})
	if err != nil {
		return fmt.Errorf("encode warm-up prompt: %w", err)
	}
	s, err := c.Complete(ctx, addr, Completion{
		RequestID: "warm-up-" + uuid.NewString(), Workspace: "damaskshelf", Priority: lowestPriority,
		Attempt: 1, Remaining: timeout, Body: body,
	}, SilenceLimits{Params: stream.NewParams(timeout), Deadline: time.Now().Add(timeout)})
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

// lowestPriority is the lowest value of wire.HeaderPriority.
const lowestPriority = -10

// Cancel ends a request's dispatches to an engine up to and including the given attempt. It is idempotent. A later
// attempt may be in transit to the same engine and is not affected.
func (c *Client) Cancel(ctx context.Context, addr, requestID string, attempt int) error {
	upTo := [2]string{wire.HeaderAttempt, strconv.Itoa(attempt)}
	return c.smallCall(ctx, addr, fasthttp.MethodPost, pathWithID(wire.PathCancel, requestID), nil, nil, smallCallTimeout, upTo)
}

// Reserve reserves memory on an engine. After an error of a call that may have run, the reservation may exist.
func (c *Client) Reserve(ctx context.Context, addr string, r wire.Reservation) error {
	return c.smallCall(ctx, addr, fasthttp.MethodPost, wire.PathReservations, r, nil, smallCallTimeout)
}

// Reservations returns the reservations on an engine.
func (c *Client) Reservations(ctx context.Context, addr string) (wire.Reservations, error) {
	var r wire.Reservations
	err := c.smallCall(ctx, addr, fasthttp.MethodGet, wire.PathReservations, nil, &r, smallCallTimeout)
	return r, err
}

// Release releases a reservation. It is idempotent.
func (c *Client) Release(ctx context.Context, addr, id string) error {
	return c.smallCall(ctx, addr, fasthttp.MethodDelete, pathWithID(wire.PathReservation, id), nil, nil, smallCallTimeout)
}

// Order sends an engine an order.
func (c *Client) Order(ctx context.Context, addr string, o wire.Order) (wire.OrderStatus, error) {
	var s wire.OrderStatus
	err := c.smallCall(ctx, addr, fasthttp.MethodPost, wire.PathOrders, o, &s, smallCallTimeout)
	return s, err
}
