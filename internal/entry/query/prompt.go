// Package query serves requests of callers that change nothing: prompts and reads of plain services. They are idempotent,
// so a failed one may be dispatched again, and a stream may be resumed on another engine.
package query

import (
	"encoding/json"
	"fmt"

	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// defaultMaxTokens is the maximum length of an answer, in tokens, if the caller sets none, as in the usual completions
// API.
const defaultMaxTokens = 16

// prompt is a valid completions request.
type prompt struct {
	meta         intake.Meta
	body         wire.Completion
	stream       bool     // the caller asked for a stream
	promptTokens int      // estimated from the size of the prompt
	blockHashes  []uint64 // of the prompt's prefix-cache blocks
	engineBody   []byte   // encoded body as sent to engines
}

// parsePrompt parses and checks the body of a completions request. Fields of the usual completions API that are not in
// wire.Completion are accepted and ignored.
func parsePrompt(meta intake.Meta, data []byte, maxTokens int) (*prompt, error) {
	p := &prompt{meta: meta}
	if err := json.Unmarshal(data, &p.body); err != nil {
		return nil, fault.New(fault.BadRequest, "body: %v", describeDecodeError(err))
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
	b.Stream = true // engines always stream: only parts distinguish a working engine from a silent one
	raw, err := json.Marshal(b)
	if err != nil {
		return nil, fault.From(fmt.Errorf("encode prompt: %w", err))
	}
	p.engineBody = raw
	p.promptTokens = wire.TokenCount(len(b.Prompt))
	p.blockHashes = wire.BlockHashes([]byte(b.Prompt))
	return p, nil
}

// describeDecodeError returns the message for an error of json.Unmarshal, naming the field if its type is wrong.
func describeDecodeError(err error) string {
	if typ, ok := err.(*json.UnmarshalTypeError); ok && typ.Field != "" {
		return fmt.Sprintf("%s: a %s is not allowed; allowed: %s", typ.Field, typ.Value, typ.Type)
	}
	return err.Error()
}
