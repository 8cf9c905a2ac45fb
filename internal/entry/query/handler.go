package query

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/entry/again"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// errStopped is the cause of contexts that are canceled when a planned stop reaches its limit.
var errStopped = errors.New("planned stop reached its limit")

// backgroundTimeout bounds background work for a request, such as the cancellation of its dispatch.
const backgroundTimeout = 5 * time.Second

// Deps are the dependencies of a Handler.
type Deps struct {
	Router    *route.Router
	Client    *upstream.Client
	Explain   *explain.Recorder
	Metrics   *metrics.Registry
	Gate      *gate.Gate
	Log       hclog.Logger
	Bounds    intake.Bounds
	MaxTokens int           // highest max_tokens of a prompt
	StreamGap time.Duration // longest silence of an engine's stream
	NewID     func() string
	Limits    Limits // nil: none
	Retrier   *again.Retrier
}

// Limits bounds dispatches to cold upstreams and receives observations of dispatches. warm.Limits implements it.
type Limits interface {
	// MaxDispatch returns the longest time of one dispatch to the upstream, and whether its dispatches are bounded.
	MaxDispatch(u *fleet.Upstream) (time.Duration, bool)
	// OnFirstByte records the first part of a dispatch, which arrived after took. OnLastByte must follow.
	OnFirstByte(u *fleet.Upstream, took, expected time.Duration)
	// OnLastByte records the end of a dispatch for which OnFirstByte was called.
	OnLastByte(u *fleet.Upstream)
	// OnBoot records the boot id that the upstream sent.
	OnBoot(u *fleet.Upstream, bootID string)
	// RecordEvidence records an event that concerns the upstream's health.
	RecordEvidence(u *fleet.Upstream, e health.Event)
}

// noLimits implements Limits without bounds and discards observations.
type noLimits struct{}

func (noLimits) MaxDispatch(*fleet.Upstream) (time.Duration, bool)         { return 0, false }
func (noLimits) OnFirstByte(*fleet.Upstream, time.Duration, time.Duration) {}
func (noLimits) OnLastByte(*fleet.Upstream)                                {}
func (noLimits) OnBoot(*fleet.Upstream, string)                            {}
func (noLimits) RecordEvidence(*fleet.Upstream, health.Event)              {}

// Handler serves queries: prompts and reads.
type Handler struct {
	router    *route.Router
	client    *upstream.Client
	explain   *explain.Recorder
	metrics   *metrics.Registry
	gate      *gate.Gate
	log       hclog.Logger
	bounds    intake.Bounds
	maxTokens int
	streamGap time.Duration
	newID     func() string
	limits    Limits
	retrier   *again.Retrier

	base context.Context // parent of the contexts of all requests; canceled by Abort
	stop context.CancelCauseFunc
	wg   sync.WaitGroup // background work
}

// New returns a Handler.
func New(d Deps) *Handler {
	base, stop := context.WithCancelCause(context.Background())
	if d.Limits == nil {
		d.Limits = noLimits{}
	}
	return &Handler{
		router: d.Router, client: d.Client, explain: d.Explain, metrics: d.Metrics, gate: d.Gate,
		log: d.Log.Named("query"), bounds: d.Bounds, maxTokens: d.MaxTokens, streamGap: d.StreamGap,
		newID: d.NewID, limits: d.Limits, retrier: d.Retrier, base: base, stop: stop,
	}
}

// Abort ends every request in flight with an explicit error, when a planned stop has reached its limit.
func (h *Handler) Abort() { h.stop(errStopped) }

// Wait waits for background work to end, each piece of which takes at most backgroundTimeout.
func (h *Handler) Wait() { h.wg.Wait() }

// background starts f in a goroutine with a context that ends after backgroundTimeout.
func (h *Handler) background(f func(ctx context.Context)) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		f(ctx)
	}()
}

// count adds 1 to a counter.
func (h *Handler) count(name string, labels ...string) { h.metrics.Counter(name, labels...).Inc(1) }

// refuse answers with err, logs it and counts it.
func (h *Handler) refuse(ctx *fasthttp.RequestCtx, m intake.Meta, err error) {
	e := fault.From(err)
	h.count("refused", "kind", e.Kind.String())
	h.log.Info("refused", "request", m.ID, "workspace", m.Workspace, "kind", e.Kind, "run", e.Run, "detail", e.Detail)
	intake.Refuse(ctx, m.ID, e)
}

// Completions serves prompts in the usual completions API, streamed or as one answer.
func (h *Handler) Completions(ctx *fasthttp.RequestCtx) {
	receivedAt := time.Now()
	meta, err := intake.Parse(&ctx.Request.Header, receivedAt, h.bounds, h.newID)
	if err != nil {
		h.refuse(ctx, meta, err)
		return
	}
	p, err := parsePrompt(meta, ctx.PostBody(), h.maxTokens)
	if err != nil {
		h.refuse(ctx, meta, err)
		return
	}
	if err := h.gate.Admit(); err != nil {
		h.refuse(ctx, meta, err)
		return
	}
	s := h.openSession(ctx, p)
	first, err := s.next()
	if err != nil {
		s.end()
		h.refuse(ctx, meta, err)
		return
	}
	h.metrics.Histogram("first_token_ms", "length", lengthClass(p.promptTokens)).Update(time.Since(receivedAt).Milliseconds())
	ctx.SetStatusCode(fasthttp.StatusOK)
	intake.SetOutcomeHeaders(ctx, meta.ID, fault.RunYes)
	if p.stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeEvents(w, first) })
		return
	}
	s.writeWhole(ctx, first)
}

// lengthClass returns the length class of a prompt, for metrics.
func lengthClass(tokens int) string {
	switch {
	case tokens <= 4_000:
		return "4k"
	case tokens <= 32_000:
		return "32k"
	case tokens <= 100_000:
		return "100k"
	default:
		return "1m"
	}
}

// session is the exchange with one caller that waits for one answer.
type session struct {
	*answer
	unwatch func()             // ends the watch on the caller's connection
	cancel  context.CancelFunc // frees the session's contexts
}

// openSession starts a session. Its context ends at the deadline, when the caller closes its connection, or when a planned
// stop reaches its limit.
func (h *Handler) openSession(ctx *fasthttp.RequestCtx, p *prompt) *session {
	timedCtx, cancelTimer := context.WithDeadline(h.base, p.meta.Deadline)
	sessionCtx, cancelSession := context.WithCancelCause(timedCtx)
	unwatch := func() {}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		unwatch = c.Watch(func() { cancelSession(errCallerGone) })
	}
	return &session{
		answer:  &answer{h: h, ctx: sessionCtx, prompt: p, parts: stream.NewAssembly(string(p.meta.ID))},
		unwatch: unwatch,
		cancel:  func() { cancelSession(nil); cancelTimer() },
	}
}

// end releases the resources of the session. It is called exactly once.
func (s *session) end() {
	s.abandon()
	s.unwatch()
	s.cancel()
}

// choice is the text of a chunk, in the form of the usual completions API.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// usage is the number of tokens of the prompt and of its answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// chunk is one event of a stream, or the whole answer, in the form of the usual completions API.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// chunk returns a chunk with the text. If finish is not empty, it is the last one and includes the usage.
func (s *session) chunk(text, finish string) chunk {
	c := chunk{
		ID: string(s.prompt.meta.ID), Object: "text_completion", Model: s.prompt.body.Model,
		Choices: []choice{{Text: text}},
	}
	if finish != "" {
		c.Choices[0].FinishReason = &finish
		c.Usage = &usage{PromptTokens: s.prompt.promptTokens, CompletionTokens: s.parts.NextToken()}
	}
	return c
}

// writeEvents writes the answer, which begins with part, as server-sent events. A failure after the first part is sent as
// an event without a following end mark, so that a caller never takes a truncated answer for a complete one.
func (s *session) writeEvents(w *bufio.Writer, part wire.Part) {
	defer s.end()
	for {
		if err := writeEvent(w, s.chunk(part.Text, part.FinishReason)); err != nil {
			s.h.log.Info("caller gone", "request", s.prompt.meta.ID, "error", err)
			return
		}
		var err error
		part, err = s.next()
		if errors.Is(err, io.EOF) {
			_, _ = w.WriteString("data: " + wire.DoneMark + "\n\n")
			_ = w.Flush()
			s.h.count("answered", "mode", "stream")
			return
		}
		if err != nil {
			e := fault.From(err)
			s.h.count("broken_off", "kind", e.Kind.String())
			s.h.log.Warn("broken off", "request", s.prompt.meta.ID, "kind", e.Kind, "run", e.Run, "detail", e.Detail)
			_ = writeEvent(w, intake.NewFailure(s.prompt.meta.ID, e))
			return
		}
	}
}

// writeEvent writes v as one server-sent event and flushes w.
func writeEvent(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}

// writeWhole collects the answer, which begins with part, and writes it as one response.
func (s *session) writeWhole(ctx *fasthttp.RequestCtx, part wire.Part) {
	defer s.end()
	var text strings.Builder
	finish := ""
	for {
		text.WriteString(part.Text)
		finish = part.FinishReason
		var err error
		part, err = s.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.h.refuse(ctx, s.prompt.meta, err)
			return
		}
	}
	body, err := json.Marshal(s.chunk(text.String(), finish))
	if err != nil {
		s.h.refuse(ctx, s.prompt.meta, fmt.Errorf("encode answer: %w", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	s.h.count("answered", "mode", "whole")
}
