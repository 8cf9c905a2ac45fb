package quarantine

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	// maxUnexplained is how many ends under a key may be left that no key with fewer ends explains, for the key to count as
	// explained by those.
	maxUnexplained = 1
	// maxEndsExplained is the number of ends, one after the other, from which a key is a cause although others explain it.
	maxEndsExplained = 4 * MaxEnds
)

// settle decides whether the end of an upstream shows the cause of this one and of earlier ones.
func (t *Table) settle(now decide.Instant, e *end) {
	e.settled = true
	t.narrowOwners(e)
	t.widen(now, e)
	var causes [][]Key
	for _, r := range e.requests {
		causes = append(causes, t.causes(r, e)...)
	}
	for _, cause := range causes {
		t.hold(now, cause)
	}
	t.settleLate(now, e)
	t.addReport(e)
}

// causes returns the sets of keys of a request that explain its upstream's end and earlier ones. Keys that no answered request
// bears explain more than others.
func (t *Table) causes(r *run, e *end) [][]Key {
	var unknown, answered [][]Key
	for _, k := range r.keys {
		s := t.suspects[k]
		switch {
		case s == nil || s.rounds < t.answered.endsNeeded(k):
		case t.answered.has(k):
			answered = append(answered, []Key{k})
		case s.rounds >= maxEndsExplained || !t.explainedByOthers(k, s):
			unknown = append(unknown, t.withSameEnds(k, s, e))
		}
	}
	if len(unknown) > 0 {
		return unknown
	}
	return answered
}

// withSameEnds returns the keys that no end tells apart from a suspect, and that no answered request bears, of the request on
// an upstream which has most of them. They are one cause together: requests that bear only some of them may be sound.
func (t *Table) withSameEnds(k Key, s *suspect, e *end) (most []Key) {
	for _, r := range e.requests {
		if !slices.Contains(r.keys, k) {
			continue
		}
		var same []Key
		for _, beside := range r.keys {
			if o := t.suspects[beside]; o != nil && !t.answered.has(beside) && slices.Equal(o.ends, s.ends) {
				same = append(same, beside)
			}
		}
		if len(same) > len(most) {
			most = same
		}
	}
	return most
}

// explainedByOthers reports whether parts that stood beside a key in fewer of its ends, several times each, explain nearly all of
// them. A part that two others share has ends under both; which of the three is the cause shows later.
func (t *Table) explainedByOthers(k Key, s *suspect) bool {
	unexplained := 0
	for _, e := range s.ends {
		if !slices.ContainsFunc(e.requests, func(r *run) bool { return slices.Contains(r.keys, k) && t.hasNarrowerPart(r, s) }) {
			unexplained++
		}
	}
	return unexplained <= maxUnexplained
}

// hasNarrowerPart reports whether a request bears a part that several ends speak against, but fewer than against a suspect.
func (t *Table) hasNarrowerPart(r *run, s *suspect) bool {
	return slices.ContainsFunc(r.keys[1:], func(k Key) bool {
		o := t.suspects[k]
		return o != nil && len(o.ends) > 1 && len(o.ends) < len(s.ends) && !t.answered.has(k)
	})
}

// hold holds back the requests that bear all keys of a cause, unless another cause of the same request has explained its ends.
// The ends that it explains no longer count against other keys.
func (t *Table) hold(now decide.Instant, cause []Key) {
	v := &verdict{Verdict: Verdict{Keys: sortedKeys(cause), Since: now}}
	var ends []*end
	if s := t.suspects[cause[0]]; s != nil {
		ends, v.Workspaces = slices.Clone(s.ends), s.owners.ids
	}
	if l := t.late[cause[0]]; l != nil {
		v.AnsweredFor, v.Workspaces = l.answeredFor, l.owners.ids
		for _, c := range l.ends {
			ends = append(ends, c.end)
		}
	}
	if len(ends) == 0 {
		return
	}
	for _, e := range ends {
		if !e.explained {
			e.explained = true
			v.Ends++
		}
	}
	v.holdFrom(now)
	t.dropExplained(now)
	for _, k := range cause {
		t.removeLate(now, k)
	}
	t.enact(v)
}

// dropExplained removes the ends that a verdict explains from what speaks against other keys.
func (t *Table) dropExplained(now decide.Instant) {
	for k, s := range t.suspects {
		before := len(s.ends)
		s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return e.explained })
		s.rounds = min(s.rounds, len(s.ends))
		if len(s.ends) == 0 || before > len(s.ends) && s.wholeContent {
			delete(t.suspects, k)
		}
	}
	for k, s := range t.late {
		t.dropExplainedLate(now, k, s)
	}
}
