// Package query serves callers' requests that change nothing: prompts and reads of plain services. They
// are idempotent, so they may be dispatched again and streams may be resumed elsewhere.
package query

import (
	"encoding/json"
	"fmt"

	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// defaultMaxTokens is the length of an answer where the caller names none, as in the usual API.
const defaultMaxTokens = 16

// prompt is one accepted completions request.
type prompt struct {
	meta   intake.Meta
	body   wire.CompletionRequest
	stream bool
	tokens int
	blocks []uint64
	raw    []byte // body as it is sent to engines
}

// parsePrompt checks a completions request. Fields of the usual API that are not listed in
// wire.Completion are accepted and ignored.
func parsePrompt(meta intake.Meta, data []byte, maxTokens int) (*prompt, error) {
	p := &prompt{meta: meta}
	if err := json.Unmarshal(data, &p.body); err != nil {
		return nil, fault.New(fault.BadRequest, "body: %v", describe(err))
	}
	b := &p.body
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	switch {
	case b.Model == "":
		return nil, fault.New(fault.BadRequest, `model: "" is not allowed; allowed: the name of a model`)
	case b.Prompt == "":
		return nil, fault.New(fault.BadRequest, `prompt: "" is not allowed; allowed: a text`)
	case b.MaxTokens < 0 || b.MaxTokens > maxTokens:
		return nil, fault.New(fault.BadRequest, "max_tokens: %d is not allowed; allowed: 1 to %d", b.MaxTokens, maxTokens)
	}
	p.stream = b.Stream
	b.Stream = true // engines always stream to us: silence is told from work only by parts
	raw, err := json.Marshal(b)
	if err != nil {
		return nil, fault.From(fmt.Errorf("encode prompt: %w", err))
	}
	p.raw = raw
	p.tokens = wire.TokenCount(len(b.Prompt))
	p.blocks = wire.BlockHashes([]byte(b.Prompt))
	return p, nil
}

func describe(err error) string {
	if typ, ok := err.(*json.UnmarshalTypeError); ok && typ.Field != "" {
		return fmt.Sprintf("%s: a %s is not allowed; allowed: %s", typ.Field, typ.Value, typ.Type)
	}
	return err.Error()
}
