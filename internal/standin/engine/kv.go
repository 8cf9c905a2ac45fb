package engine

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// peerTimeout is the timeout of an engine's call to another engine, in wall-clock time.
const peerTimeout = 2 * time.Second

// peerClient makes the calls to other engines. Their addresses are IP addresses, which need no resolver.
var peerClient = fasthttp.Client{
	Dial:                     func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, peerTimeout) },
	MaxIdleConnDuration:      100 * time.Millisecond,
	NoDefaultUserAgentHeader: true,
}

// fetchReservations asks the engine at addr for its reservations.
func fetchReservations(addr string) ([]wire.Reservation, error) {
	status, body, err := peerClient.GetTimeout(nil, "http://"+addr+wire.PathReservations, peerTimeout)
	if err != nil {
		return nil, fmt.Errorf("ask engine %s: %w", addr, err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("ask engine %s: status %d", addr, status)
	}
	var list wire.Reservations
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("ask engine %s: %w", addr, err)
	}
	return list.Reservations, nil
}

// fetchReservedTokens asks the engine at addr for the size of a reservation in tokens.
func fetchReservedTokens(id, addr string) (int64, error) {
	list, err := fetchReservations(addr)
	if err != nil {
		return 0, err
	}
	for _, r := range list {
		if r.ID == id {
			return r.Tokens, nil
		}
	}
	return 0, fmt.Errorf("engine %s has no reservation %q", addr, id)
}

// fetchGroupTokens returns the memory, in tokens, that the reservations listed in a group header hold on other engines.
// It fails if one of them does not exist or its engine can't be reached.
func fetchGroupTokens(header string) (int64, error) {
	if header == "" {
		return 0, nil
	}
	var sum int64
	for member := range strings.SplitSeq(header, ",") {
		id, addr, found := strings.Cut(strings.TrimSpace(member), "@")
		if !found {
			return 0, fmt.Errorf("%s: %q is not id@ip:port", wire.HeaderGroup, member)
		}
		tokens, err := fetchReservedTokens(id, addr)
		if err != nil {
			return 0, err
		}
		sum += tokens
	}
	return sum, nil
}

// postExport keeps a copy of the cached part of a prefix. The copy counts as a reservation. The cache keeps no contents,
// so the reservation is all that the export creates.
func (e *Engine) postExport(ctx *fasthttp.RequestCtx) {
	var req wire.KVExport
	if !decodeBody(ctx, &req) {
		return
	}
	answer := wire.KVExportResult{ID: req.ID}
	status := 0
	e.locked(func(now time.Duration) {
		answer.Blocks = e.cache.cachedPrefix(req.Blocks)
		answer.Tokens = int64(answer.Blocks) * wire.BlockTokens
		status = e.export(&req, answer.Tokens, now)
	})
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		serve.JSON(ctx, status, answer)
	case fasthttp.StatusNotFound:
		refuse(ctx, status, "no block of the prefix is cached")
	default:
		refuse(ctx, status, "no memory, or the id is in use")
	}
}

// export reserves memory for the copy of a prefix of the given number of tokens. It returns the HTTP status of the
// result.
func (e *Engine) export(req *wire.KVExport, tokens int64, now time.Duration) (status int) {
	if req.ID == "" || tokens == 0 {
		return fasthttp.StatusNotFound
	}
	return e.reserve(wire.Reservation{
		ID: req.ID, Holder: req.Holder, Incarnation: req.Incarnation, Tokens: tokens, TTLMs: req.TTLMs, DeadlineMs: req.DeadlineMs,
	}, now)
}

// postImport adds the blocks of another engine's export to the prefix cache. The size of the export's reservation limits
// the number of blocks.
func (e *Engine) postImport(ctx *fasthttp.RequestCtx) {
	var req wire.KVImport
	if !decodeBody(ctx, &req) {
		return
	}
	tokens, err := fetchReservedTokens(req.ID, req.Addr)
	if err != nil {
		refuse(ctx, fasthttp.StatusNotFound, err.Error())
		return
	}
	blocks := req.Blocks[:min(int64(len(req.Blocks)), tokens/wire.BlockTokens)]
	e.locked(func(now time.Duration) {
		e.cache.add(blocks, now)
		e.cache.evictTo(e.cfg.Memory-e.memoryInUse(), now)
	})
	serve.JSON(ctx, fasthttp.StatusOK, wire.KVExportResult{ID: req.ID, Blocks: len(blocks), Tokens: int64(len(blocks)) * wire.BlockTokens})
}
