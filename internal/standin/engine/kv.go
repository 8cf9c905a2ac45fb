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

// peerTimeout bounds an engine's call to another engine.
const peerTimeout = 2 * time.Second

// peers is the client between engines. It dials IP numbers, which need no resolver.
var peers = fasthttp.Client{
	Dial:                     func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, peerTimeout) },
	MaxIdleConnDuration:      100 * time.Millisecond,
	NoDefaultUserAgentHeader: true,
}

// reservationsAt lists the reservations of the engine at addr.
func reservationsAt(addr string) ([]wire.Reservation, error) {
	status, body, err := peers.GetTimeout(nil, "http://"+addr+wire.PathReservations, peerTimeout)
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

// tokensAt is the size of a reservation on the engine at addr.
func tokensAt(id, addr string) (int64, error) {
	list, err := reservationsAt(addr)
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

// groupTokens is the memory that the reservations of a group header hold on other engines.
func groupTokens(header string) (int64, error) {
	if header == "" {
		return 0, nil
	}
	var sum int64
	for member := range strings.SplitSeq(header, ",") {
		id, addr, found := strings.Cut(strings.TrimSpace(member), "@")
		if !found {
			return 0, fmt.Errorf("%s: %q is not id@ip:port", wire.HeaderGroup, member)
		}
		tokens, err := tokensAt(id, addr)
		if err != nil {
			return 0, err
		}
		sum += tokens
	}
	return sum, nil
}

// postExport keeps a copy of the part of a prefix that is cached.
func (e *Engine) postExport(ctx *fasthttp.RequestCtx) {
	var x wire.KVExport
	if !decode(ctx, &x) {
		return
	}
	answer := wire.KVExportResult{ID: x.ID}
	status := 0
	e.locked(func(now time.Duration) {
		answer.Blocks = e.cache.hits(x.Blocks)
		answer.Tokens = int64(answer.Blocks) * wire.BlockTokens
		status = e.export(&x, answer.Tokens, now)
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

func (e *Engine) export(x *wire.KVExport, tokens int64, now time.Duration) (status int) {
	if x.ID == "" || tokens == 0 {
		return fasthttp.StatusNotFound
	}
	return e.reserve(wire.Reservation{
		ID: x.ID, Holder: x.Holder, Incarnation: x.Incarnation, Tokens: tokens, TTLMs: x.TTLMs, DeadlineMs: x.DeadlineMs,
	}, now)
}

// postImport takes the blocks of another engine's export into the prefix cache.
func (e *Engine) postImport(ctx *fasthttp.RequestCtx) {
	var m wire.KVImport
	if !decode(ctx, &m) {
		return
	}
	tokens, err := tokensAt(m.ID, m.Addr)
	if err != nil {
		refuse(ctx, fasthttp.StatusNotFound, err.Error())
		return
	}
	blocks := m.Blocks[:min(int64(len(m.Blocks)), tokens/wire.BlockTokens)]
	e.locked(func(now time.Duration) {
		e.cache.add(blocks, now)
		e.cache.shrink(e.cfg.KVCacheTokens-e.held(), now)
	})
	serve.JSON(ctx, fasthttp.StatusOK, wire.KVExportResult{ID: m.ID, Blocks: len(blocks), Tokens: int64(len(blocks)) * wire.BlockTokens})
}
