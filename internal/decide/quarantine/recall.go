package quarantine

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// PastEnd is a proven request under which an upstream ended, as its instance states it to a table that may not know of it.
type PastEnd struct {
	Request
	Upstream     fleet.Process
	At           decide.Instant
	SentAt       decide.Instant
	FirstEventAt decide.Instant
}

// Recall records a past end, unless it was reported here when it happened.
func (t *Table) Recall(p PastEnd) {
	e := t.ended.find(p.Upstream)
	if e != nil && !e.recalled || len(p.Keys) == 0 {
		return
	}
	e = t.ended.record(p.At, p.Upstream)
	e.recalled = true
	r := &run{
		keys: bounded(p.Keys), workspace: p.Workspace, resumed: p.Resumed, startedAt: p.SentAt, writing: true, firstAt: p.FirstEventAt,
		proven: true, done: true, endedAt: p.At,
	}
	t.blameLate(p.At, r, e)
}
