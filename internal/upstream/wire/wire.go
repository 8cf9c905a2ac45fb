// Package wire defines the messages, paths and headers that engines, plain services and instances exchange.
// docs/UPSTREAMS.md describes the contract in words; the stand-ins and the clients share this package.
package wire

import (
	"github.com/cespare/xxhash/v2"
)

// Headers of calls to upstreams. Those of the first group are also headers of callers' requests.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderWorkspace      = "X-Workspace"
	HeaderPriority       = "X-Priority"         // -10 (low) to 10 (high)
	HeaderTimeout        = "X-Request-Timeout"  // a duration, as in 1500ms
	HeaderDeadline       = "X-Request-Deadline" // an instant, RFC 3339
	HeaderIdempotent     = "X-Idempotent"       // "true" or "false"
	HeaderIdempotencyKey = "Idempotency-Key"

	HeaderAttempt      = "X-Attempt"       // number of the dispatch among those of one request, from 1
	HeaderRemaining    = "X-Remaining-Ms"  // milliseconds until the request's deadline
	HeaderReservation  = "X-Reservation"   // id of the memory reservation that the request uses
	HeaderResumeOffset = "X-Resume-Offset" // index of the first token that the instance still needs
	HeaderGroup        = "X-Group"         // reservations on other engines for the same request: id@ip:port, comma-separated
	HeaderNotStarted   = "X-Not-Started"   // "true" on a refusal: the upstream did not start the request
	HeaderBootID       = "X-Boot-Id"       // changes whenever the upstream restarts
	HeaderRun          = "X-Run"           // to callers: run outcome, one of no, yes or unknown
	HeaderReplayed     = "X-Replayed"      // to callers: the answer is the recorded outcome of an earlier run
)

// Paths of an engine. Ids in paths are URL-escaped.
const (
	PathCompletions  = "/v1/completions"
	PathCancel       = "/v1/cancel/{id}" // POST, idempotent
	PathLoad         = "/v1/load"
	PathCacheEvents  = "/v1/cache/events" // GET ?from=SEQ
	PathReservations = "/v1/reservations"
	PathReservation  = "/v1/reservations/{id}" // DELETE, idempotent
	PathOrders       = "/v1/orders"
	PathState        = "/v1/state"
	PathKVExport     = "/v1/kv/export"
	PathKVImport     = "/v1/kv/import"
	PathPing         = "/v1/ping"
)

// BytesPerToken is the approximate size of a token in bytes of a prompt. Both sides use it to count the tokens of
// prompts.
const BytesPerToken = 4

// TokenCount returns the number of tokens of a prompt of n bytes.
func TokenCount(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// BlockTokens is the size of a prefix-cache block in tokens.
const BlockTokens = 1024

// BlockHashes returns the chained hashes of the prompt's complete blocks. Two prompts share the first n hashes
// exactly if they share the first n*BlockTokens tokens.
func BlockHashes(prompt []byte) []uint64 {
	const size = BlockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	var chain xxhash.Digest
	chain.Reset()
	for len(prompt) >= size {
		_, _ = chain.Write(prompt[:size])
		hashes = append(hashes, chain.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}

// Completion is the body of a completions request, from callers and to engines. The name of the type is part of the answer
// to a body that is not a JSON object.
type Completion struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// Part is one event of a completion stream: data: {json}. Offset is the index of its first token in the whole
// answer. The last part has a FinishReason and is the end mark. The event data: [DONE] follows it.
type Part struct {
	ID           string `json:"id"`
	Offset       int    `json:"offset"`
	Tokens       int    `json:"tokens"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop" or "length"; "error" ends a failed stream
	Error        string `json:"error,omitempty"`
}

// CompletionAnswer is the answer to a completions request without stream.
type CompletionAnswer struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Text         string `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
}

// DoneMark is the data of the event after the last part.
const DoneMark = "[DONE]"

// LoadReport is an engine's load report, which lags behind its load.
type LoadReport struct {
	BootID       string `json:"boot_id"`
	Seq          uint64 `json:"seq"`    // increases with each report
	AgeMs        int64  `json:"age_ms"` // age of the figures
	Cold         bool   `json:"cold"`
	ColdLimit    int    `json:"cold_limit"` // requests that it accepts at once while cold
	Running      int    `json:"running"`
	Queued       int    `json:"queued"`
	QueuedTokens int64  `json:"queued_tokens"` // prompt tokens that are not computed yet
	MemoryUsed   int64  `json:"memory_used"`   // tokens of KV cache in use by work and reservations
	MemoryTotal  int64  `json:"memory_total"`  // tokens of KV cache
	PrefillRate  int64  `json:"prefill_rate"`  // prompt tokens a second
	Leaving      bool   `json:"leaving"`
	CacheNext    uint64 `json:"cache_next,omitempty"` // sequence number after the latest published cache event; 0: not stated
}

// CacheEvent reports one prefix block that entered the engine's cache, or left it if Drop is set.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Hash uint64 `json:"hash"`
	Drop bool   `json:"drop,omitempty"`
}

// CacheEvents is the answer to PathCacheEvents. First is the oldest sequence number that is still kept. A reader
// that asked for an older one has missed events.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Reservation is memory reserved on one engine for one request or one exported KV cache.
type Reservation struct {
	ID          string `json:"id"`
	Holder      string `json:"holder"`      // id of the instance
	Incarnation string `json:"incarnation"` // of the holder
	Tokens      int64  `json:"tokens"`
	TTLMs       int64  `json:"ttl_ms"` // in a request: time to live; in a list: time left; 0 if the engine has no expiry
	AgeMs       int64  `json:"age_ms,omitempty"`
	DeadlineMs  int64  `json:"deadline_ms"` // ms from the reservation's creation to its request's deadline
}

// Reservations is the answer to GET PathReservations.
type Reservations struct {
	BootID       string        `json:"boot_id"`
	Reservations []Reservation `json:"reservations"`
}

// Order instructs an engine to change what it serves.
type Order struct {
	ID      string `json:"id"`    // operation id; an engine doesn't carry out an order twice
	Fence   uint64 `json:"fence"` // fencing number; an engine that checks it refuses one lower than the highest seen
	Kind    string `json:"kind"`  // load, unload, role
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"` // any, long
}

// OrderStatus is the state of an order: accepted, running, done or failed.
type OrderStatus struct {
	ID     string `json:"id"`
	Fence  uint64 `json:"fence"`
	State  string `json:"state"`
	Detail string `json:"detail,omitempty"`
}

// LoadedModel is one model version in an engine's memory.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// EngineState is the answer to GET PathState.
type EngineState struct {
	BootID       string        `json:"boot_id"`
	Role         string        `json:"role"`
	Loaded       []LoadedModel `json:"loaded"`
	HighestFence uint64        `json:"highest_fence"`
	LastOrder    string        `json:"last_order"`
	Orders       []OrderStatus `json:"orders"` // the latest ones
}

// Refusal is the body of an upstream's error answer.
type Refusal struct {
	Error      string `json:"error"`
	NotStarted bool   `json:"not_started"`
}

// KVExport asks an engine to keep a copy of a cached prefix for transfer. The copy counts as a reservation with the
// export's id until it is released or expires.
type KVExport struct {
	ID          string   `json:"id"`
	Holder      string   `json:"holder"`
	Incarnation string   `json:"incarnation"`
	Blocks      []uint64 `json:"blocks"`
	TTLMs       int64    `json:"ttl_ms"`
	DeadlineMs  int64    `json:"deadline_ms"`
}

// KVExportResult is the answer to PathKVExport: how much of the prefix the engine had.
type KVExportResult struct {
	ID     string `json:"id"`
	Blocks int    `json:"blocks"`
	Tokens int64  `json:"tokens"`
}

// KVImport asks an engine to fetch an export from another engine into its prefix cache.
type KVImport struct {
	ID     string   `json:"id"`   // of the export
	Addr   string   `json:"addr"` // of the engine that exported
	Blocks []uint64 `json:"blocks"`
}
