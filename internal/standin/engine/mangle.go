package engine

import (
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// lateEvery is after how many parts LateParts sends an old one again.
const lateEvery = 3

// mangler turns the parts of one stream into those that faulty upstreams send.
type mangler struct {
	faults *faults.Set
	id     string
	max    int // tokens of the whole answer
	first  int // offset that the stream begins at

	sent  int
	old   *wire.Part // the stream's first part
	held  *wire.Part // waits to change places with the next one
	ended bool       // the stream goes on no more
}

// parts gives what to send in place of part.
func (m *mangler) parts(part wire.Part) []wire.Part {
	if m.ended {
		return nil
	}
	if m.faults.On(faults.NoEndMark) && (part.Offset+part.Tokens > (m.first+m.max)/2 || part.FinishReason != "") {
		m.ended = true
		return []wire.Part{m.cut(part)}
	}
	m.sent++
	out := m.reorder(part)
	if m.faults.On(faults.DuplicateParts) {
		out = append(out, out...)
	}
	if m.faults.On(faults.ForeignParts) {
		out = append([]wire.Part{m.foreign(part)}, out...)
	}
	if m.faults.On(faults.LateParts) && m.old != nil && m.sent%lateEvery == 0 {
		out = append([]wire.Part{*m.old}, out...)
	}
	if m.old == nil {
		m.old = &part
	}
	return out
}

// cut gives the part without its end mark and last token.
func (m *mangler) cut(part wire.Part) wire.Part {
	part.FinishReason = ""
	if part.Tokens > 0 {
		part.Tokens--
		part.Text = answer.Range(m.id, part.Offset, part.Offset+part.Tokens)
	}
	return part
}

// reorder makes pairs of parts change places; the last part is never held back.
func (m *mangler) reorder(part wire.Part) []wire.Part {
	held := m.held
	m.held = nil
	switch {
	case held != nil:
		return []wire.Part{part, *held}
	case m.faults.On(faults.ReorderedParts) && part.FinishReason == "":
		m.held = &part
		return nil
	default:
		return []wire.Part{part}
	}
}

// foreign gives a part of another request at the same offset, its end mark included.
func (m *mangler) foreign(part wire.Part) wire.Part {
	part.ID = "other-" + m.id
	part.Text = answer.Range(part.ID, part.Offset, part.Offset+part.Tokens)
	part.FinishReason = finishLength
	return part
}
