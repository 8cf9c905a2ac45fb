package engine

import (
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// latePartInterval is the number of parts after which LateParts sends the first part again.
const latePartInterval = 3

// partInjector applies the faults that concern the parts of a stream to one stream.
type partInjector struct {
	faults      *faults.Set
	id          string
	maxTokens   int // tokens of the complete answer
	startOffset int // offset at which the stream begins

	sent      int        // parts passed to inject before truncation
	firstPart *wire.Part // the stream's first part, which LateParts repeats
	delayed   *wire.Part // part that ReorderedParts sends after the next one
	truncated bool       // NoEndMark has ended the stream
}

// inject returns the parts to send in place of part, in order. The result depends on the faults that are on.
func (p *partInjector) inject(part wire.Part) []wire.Part {
	if p.truncated {
		return nil
	}
	if p.faults.On(faults.NoEndMark) && (part.Offset+part.Tokens > (p.startOffset+p.maxTokens)/2 || part.FinishReason != "") {
		p.truncated = true
		return []wire.Part{p.truncate(part)}
	}
	p.sent++
	out := p.reorder(part)
	if p.faults.On(faults.DuplicateParts) {
		out = append(out, out...)
	}
	if p.faults.On(faults.ForeignParts) {
		out = append([]wire.Part{p.foreignPart(part)}, out...)
	}
	if p.faults.On(faults.LateParts) && p.firstPart != nil && p.sent%latePartInterval == 0 {
		out = append([]wire.Part{*p.firstPart}, out...)
	}
	if p.firstPart == nil {
		p.firstPart = &part
	}
	return out
}

// truncate returns the part without its finish reason and its last token.
func (p *partInjector) truncate(part wire.Part) wire.Part {
	part.FinishReason = ""
	if part.Tokens > 0 {
		part.Tokens--
		part.Text = answer.Range(p.id, part.Offset, part.Offset+part.Tokens)
	}
	return part
}

// reorder swaps pairs of consecutive parts while ReorderedParts is on. It never delays the last part, as no other part
// follows that could release it.
func (p *partInjector) reorder(part wire.Part) []wire.Part {
	delayed := p.delayed
	p.delayed = nil
	switch {
	case delayed != nil:
		return []wire.Part{part, *delayed}
	case p.faults.On(faults.ReorderedParts) && part.FinishReason == "":
		p.delayed = &part
		return nil
	default:
		return []wire.Part{part}
	}
}

// foreignPart returns a part of another request at the same offset that also ends that request's answer.
func (p *partInjector) foreignPart(part wire.Part) wire.Part {
	part.ID = "other-" + p.id
	part.Text = answer.Range(part.ID, part.Offset, part.Offset+part.Tokens)
	part.FinishReason = finishLength
	return part
}
