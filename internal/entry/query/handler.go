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

// errStopped is the cause of contexts ended by the limit of a planned stop.
var errStopped = errors.New("planned stop reached its limit")

// backgroundTime bounds what is done for a request after its answer.
const backgroundTime = 5 * time.Second

// Deps are what a Handler works with.
type Deps struct {
	Router    *route.Router
	Client    *upstream.Client
	Explain   *explain.Recorder
	Metrics   *metrics.Registry
	Gate      *gate.Gate
	Log       hclog.Logger
	Bounds    intake.Bounds
	MaxTokens int
	StreamGap time.Duration
	NewID     func() string
	Limits    Limits // nil: none
	Retrier   *again.Retrier
}

// Limits are told how dispatches go, and bound those to cold upstreams; warm.Limits are.
type Limits interface {
	// Bound is the longest time of one dispatch to the upstream, if there is one.
	MaxDispatch(u *fleet.Upstream) (time.Duration, bool)
	OnFirstByte(u *fleet.Upstream, took, expected time.Duration)
	OnLastByte(u *fleet.Upstream)
	OnBoot(u *fleet.Upstream, bootID string)
	RecordEvidence(u *fleet.Upstream, e health.Event)
}

// noLimits bound nothing.
type noLimits struct{}

func (noLimits) MaxDispatch(*fleet.Upstream) (time.Duration, bool)         { return 0, false }
func (noLimits) OnFirstByte(*fleet.Upstream, time.Duration, time.Duration) {}
func (noLimits) OnLastByte(*fleet.Upstream)                                {}
func (noLimits) OnBoot(*fleet.Upstream, string)                            {}
func (noLimits) RecordEvidence(*fleet.Upstream, health.Event)              {}

// Handler serves queries.
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

	base context.Context // of all requests; ended by Abort
	stop context.CancelCauseFunc
	wg   sync.WaitGroup // background work
}

// New gives a Handler.
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

// Abort ends every request in flight with an explicit error; a planned stop that reached its limit.
func (h *Handler) Abort() { h.stop(errStopped) }

// Wait waits for background work, which is bounded in time.
func (h *Handler) Wait() { h.wg.Wait() }

func (h *Handler) background(f func(ctx context.Context)) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTime)
		defer cancel()
		f(ctx)
	}()
}

func (h *Handler) count(name string, labels ...string) { h.metrics.Counter(name, labels...).Inc(1) }

// refuse answers err at once and counts it.
func (h *Handler) refuse(ctx *fasthttp.RequestCtx, m intake.Meta, err error) {
	e := fault.From(err)
	h.count("refused", "kind", e.Kind.String())
	h.log.Info("refused", "request", m.ID, "workspace", m.Workspace, "kind", e.Kind, "run", e.Run, "detail", e.Detail)
	intake.Refuse(ctx, m.ID, e)
}

// Completions serves the usual completions API.
func (h *Handler) Completions(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	meta, err := intake.Parse(&ctx.Request.Header, began, h.bounds, h.newID)
	if err != nil {
		h.refuse(ctx, meta, err)
		return
	}
	p, err := parsePrompt(meta, ctx.PostBody(), h.maxTokens)
	if err != nil {
		h.refuse(ctx, meta, err)
		return
	}
	if err := h.gate.Enter(); err != nil {
		h.refuse(ctx, meta, err)
		return
	}
	s := h.open(ctx, p)
	first, err := s.next()
	if err != nil {
		s.end()
		h.refuse(ctx, meta, err)
		return
	}
	h.metrics.Histogram("first_token_ms", "length", lengthClass(p.tokens)).Update(time.Since(began).Milliseconds())
	intake.SetOutcomeHeaders(ctx, meta.ID, fault.RunYes)
	if p.stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, first) })
		return
	}
	s.whole(ctx, first)
}

// lengthClass names a prompt's length class for metrics.
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

// session is one caller waiting for one answer.
type session struct {
	*answer
	unwatch func()
	cancel  context.CancelFunc
}

// open starts a session: its context ends at the deadline, when the caller closes its connection, or when
// a planned stop reaches its limit.
func (h *Handler) open(ctx *fasthttp.RequestCtx, p *prompt) *session {
	timed, cancelTime := context.WithDeadline(h.base, p.meta.Deadline)
	live, gone := context.WithCancelCause(timed)
	unwatch := func() {}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		unwatch = c.Watch(func() { gone(errCallerGone) })
	}
	return &session{
		answer:  &answer{h: h, ctx: live, prompt: p, parts: stream.NewAssembly(string(p.meta.ID))},
		unwatch: unwatch,
		cancel:  func() { gone(nil); cancelTime() },
	}
}

// end frees all that the session holds; it is called once on every path.
func (s *session) end() {
	s.abandon()
	s.unwatch()
	s.cancel()
	s.h.gate.Leave()
}

// choice, chunk and usage are the usual API's shapes.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s *session) chunk(text, finish string) chunk {
	c := chunk{
		ID: string(s.prompt.meta.ID), Object: "text_completion", Model: s.prompt.body.Model,
		Choices: []choice{{Text: text}},
	}
	if finish != "" {
		c.Choices[0].FinishReason = &finish
		c.Usage = &usage{PromptTokens: s.prompt.tokens, CompletionTokens: s.parts.NextToken()}
	}
	return c
}

// stream writes the answer as server-sent events. A failure after the first part is an event of its own
// and no end mark follows, so that a caller never takes a short answer for a whole one.
func (s *session) stream(w *bufio.Writer, part wire.Part) {
	defer s.end()
	for {
		if err := event(w, s.chunk(part.Text, part.FinishReason)); err != nil {
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
			_ = event(w, intake.NewFailure(s.prompt.meta.ID, e))
			return
		}
	}
}

func event(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}

// whole collects the answer and writes it at once.
func (s *session) whole(ctx *fasthttp.RequestCtx, part wire.Part) {
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
