package quarantine

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// freedRetention is how long the end of a verdict is remembered, so that an older copy of it isn't believed.
	freedRetention = 10 * time.Minute
	// maxVerdicts bounds the verdicts. The one whose last change is longest ago is evicted first.
	maxVerdicts = 1024
	// mergeSlack is by how much the times differ that two instances state of one change: messages take a while.
	mergeSlack = 500 * time.Millisecond
)

// Verdict is the decision to hold back the requests that bear all of some keys.
type Verdict struct {
	Keys      []Key // sorted
	Ends      int   // upstreams that ended one after the other
	Tries     int   // requests that were sent after a hold, and whose upstreams ended
	Since     decide.Instant
	Until     decide.Instant // one request may be sent then
	ChangedAt decide.Instant // of two versions of a verdict, the later one counts
	Freed     bool           // requests with the keys are no longer held back
	// AnsweredFor is for how long upstreams answer such requests before they end; 0: they end when they begin to.
	AnsweredFor time.Duration
	// Workspaces are those whose requests are held back; empty: all.
	Workspaces []fleet.WorkspaceID
}

// triesOnTrial marks a Verdict on requests that are put to the test: one at a time is sent, and none is held back yet. It is for
// those who know of no end themselves, as the next dispatcher.
const triesOnTrial = -1

// OnTrial reports whether requests are put to the test, and not held back yet.
func (v *Verdict) OnTrial() bool { return v.Tries == triesOnTrial }

// precedes reports whether o is a later version of the verdict.
func (v *Verdict) precedes(o Verdict) bool {
	return v.ChangedAt <= o.ChangedAt.Add(mergeSlack) && (v.Freed != o.Freed || v.Tries != o.Tries || len(v.Workspaces) > 0 && len(o.Workspaces) == 0)
}

// mayRefute reports whether the answer to a request may refute a verdict. A part of prompts may become bad after a request was sent, so
// only one that was sent since the verdict refutes it; of an adopted one that isn't known. Any answer clears keys on trial.
func (r *run) mayRefute(v *verdict) bool {
	return v.OnTrial() || !r.adopted && r.startedAt >= v.Since
}

// holdFrom sets for how long requests are held back from now on.
func (v *Verdict) holdFrom(now decide.Instant) {
	v.Until, v.ChangedAt = now.Add(min(firstHold<<min(v.Tries, 8), maxHold)), now
}

// verdict is a Verdict with the requests that try it.
type verdict struct {
	Verdict
	try      try                 // whether it still holds
	otherTry try                 // whether it should concern a workspace that it doesn't
	exempt   []fleet.WorkspaceID // whose requests with the keys were answered since
}

// try is a request that tries a verdict.
type try struct {
	id     fleet.RequestID // empty: none is on its way
	sentAt decide.Instant
}

// end records that a request is no longer on its way.
func (t *try) end(id fleet.RequestID) {
	if t.id == id {
		t.id = ""
	}
}

// awaits returns for how much longer the next request waits for the outcome of a try.
func (v *verdict) awaits(now decide.Instant, t try) time.Duration {
	if t.id == "" {
		return 0
	}
	return max(0, t.sentAt.Add(v.AnsweredFor+tryInterval).Sub(now))
}

// verdicts holds verdicts under each of their keys.
type verdicts map[Key][]*verdict

// on returns the verdicts in force that apply to a workspace's requests which bear keys.
func (vs verdicts) on(keys []Key, workspace fleet.WorkspaceID) []*verdict {
	return slices.DeleteFunc(vs.onAll(keys), func(v *verdict) bool { return !v.concerns(workspace) })
}

// elsewhere returns the verdicts in force that would apply to a workspace's requests which bear keys if they were another's, and
// from which the workspace isn't exempt.
func (vs verdicts) elsewhere(keys []Key, workspace fleet.WorkspaceID) []*verdict {
	return slices.DeleteFunc(vs.onAll(keys), func(v *verdict) bool { return v.concerns(workspace) || slices.Contains(v.exempt, workspace) })
}

// onAll returns the verdicts in force on keys that are all among some.
func (vs verdicts) onAll(keys []Key) []*verdict {
	if len(vs) == 0 {
		return nil
	}
	var out []*verdict
	for _, k := range keys {
		for _, v := range vs[k] {
			if k == v.Keys[0] && !v.Freed && containsAll(keys, v.Keys) {
				out = append(out, v)
			}
		}
	}
	return out
}

// withAny returns the verdicts in force on any of the keys.
func (vs verdicts) withAny(keys []Key) []*verdict {
	var out []*verdict
	for _, k := range keys {
		for _, v := range vs[k] {
			if !v.Freed && !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

// get returns the verdict on exactly these sorted keys, nil if there is none.
func (vs verdicts) get(keys []Key) *verdict {
	if len(keys) == 0 {
		return nil
	}
	for _, v := range vs[keys[0]] {
		if slices.Equal(v.Keys, keys) {
			return v
		}
	}
	return nil
}

// put stores a verdict in place of the one on the same keys.
func (vs verdicts) put(v *verdict) {
	if old := vs.get(v.Keys); old != nil {
		vs.remove(old)
	} else if all := vs.all(); len(all) >= maxVerdicts {
		vs.evict(v.ChangedAt, all)
	}
	for _, k := range v.Keys {
		vs[k] = append(vs[k], v)
	}
}

// evict removes the freed verdicts that are out of date, or else the one whose last change is longest ago.
func (vs verdicts) evict(now decide.Instant, all []*verdict) {
	oldest, removed := all[0], false
	for _, v := range all {
		if v.Freed && now.Sub(v.ChangedAt) > freedRetention {
			vs.remove(v)
			removed = true
		} else if v.ChangedAt < oldest.ChangedAt {
			oldest = v
		}
	}
	if !removed {
		vs.remove(oldest)
	}
}

// remove removes a verdict.
func (vs verdicts) remove(v *verdict) {
	for _, k := range v.Keys {
		if vs[k] = slices.DeleteFunc(vs[k], func(o *verdict) bool { return o == v }); len(vs[k]) == 0 {
			delete(vs, k)
		}
	}
}

// all returns each verdict once.
func (vs verdicts) all() []*verdict {
	var out []*verdict
	for k, some := range vs {
		for _, v := range some {
			if v.Keys[0] == k {
				out = append(out, v)
			}
		}
	}
	return out
}

// containsAll reports whether all contains each of some keys.
func containsAll(all, some []Key) bool {
	for _, k := range some {
		if !slices.Contains(all, k) {
			return false
		}
	}
	return true
}

// sortedKeys returns the keys in order, each once.
func sortedKeys(keys []Key) []Key {
	out := slices.Clone(keys)
	slices.Sort(out)
	return slices.Compact(out)
}
