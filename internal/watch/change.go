package watch

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// Change is the difference of a kind's objects between two states of the store, or a full copy of them. It is immutable
// once created. Its revisions are versions, which order by era first (objects.NewVersion).
type Change struct {
	Kind       string
	Full       bool   // Objects are all objects of the kind
	Serial     uint64 // of a full copy: rises with each change of the copy that it was made from
	From       uint64 // revision of the preceding change; the change applies to copies as of this revision or later
	To         uint64 // revision of the store after the change
	Objects    []wire.Object
	Deleted    []string
	Lapsing    []string // deleted from the store as of To, but still treated as present for a grace period
	EmptySpans []Span   // no existing object has a revision within these spans
}

// Span is the range of revisions after After, up to and including Through.
type Span struct{ After, Through uint64 }

// contains reports whether the revision is within the span.
func (s Span) contains(revision uint64) bool { return s.After < revision && revision <= s.Through }

// empty reports whether the change contains no objects, deletions, grace periods or empty spans, and isn't a full copy.
func (c *Change) empty() bool {
	return !c.Full && len(c.Objects) == 0 && len(c.Deleted) == 0 && len(c.Lapsing) == 0 && len(c.EmptySpans) == 0
}

// Merge returns a single change that has the effect of c followed by next.
func (c Change) Merge(next Change) Change {
	if next.Full {
		return next
	}
	merged := Change{Kind: c.Kind, Full: c.Full, From: c.From, To: max(c.To, next.To), EmptySpans: slices.Concat(c.EmptySpans, next.EmptySpans)}
	deleted := make(map[string]bool, len(next.Deleted))
	for _, name := range next.Deleted {
		deleted[name] = true
	}
	later := make(map[string]bool, len(next.Objects))
	for _, o := range next.Objects {
		later[o.Name] = true
	}
	for _, o := range c.Objects {
		if !later[o.Name] && !deleted[o.Name] {
			merged.Objects = append(merged.Objects, o)
		}
	}
	merged.Objects = append(merged.Objects, next.Objects...)
	for _, name := range c.Lapsing {
		if !later[name] && !deleted[name] {
			merged.Lapsing = append(merged.Lapsing, name)
		}
	}
	merged.Lapsing = append(merged.Lapsing, next.Lapsing...)
	for _, name := range c.Deleted {
		if !later[name] && !deleted[name] {
			merged.Deleted = append(merged.Deleted, name)
		}
	}
	if !c.Full {
		merged.Deleted = append(merged.Deleted, next.Deleted...)
	}
	return merged
}
