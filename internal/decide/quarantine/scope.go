package quarantine

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// A caller states himself which parts a prompt has. So what requests of one workspace bring about is laid to that workspace only: it
// could name another's part in requests that end upstreams for a reason of their own. A verdict on a part is for all once an
// upstream ends under a request of another workspace that was sent to try it.

// owners are the workspaces of which requests with a key were on each of the upstreams that ended under it. The zero value knows
// of no end yet.
type owners struct {
	known bool
	ids   []fleet.WorkspaceID // empty: no workspace alone explains all ends
}

// narrow records the workspaces of the requests with the key on an upstream that ended.
func (o *owners) narrow(ids []fleet.WorkspaceID) {
	if !o.known {
		o.known, o.ids = true, ids
		return
	}
	o.ids = slices.DeleteFunc(slices.Clone(o.ids), func(id fleet.WorkspaceID) bool { return !slices.Contains(ids, id) })
}

// concerns reports whether what speaks against the key concerns a workspace's requests.
func (o *owners) concerns(id fleet.WorkspaceID) bool {
	return !o.known || len(o.ids) == 0 || slices.Contains(o.ids, id)
}

// workspaces returns the workspaces of the requests with a key that the upstream held.
func (e *end) workspaces(k Key) (ids []fleet.WorkspaceID) {
	for _, all := range [][]*run{e.requests, e.answered} {
		for _, r := range all {
			if slices.Contains(r.keys, k) && !slices.Contains(ids, r.workspace) {
				ids = append(ids, r.workspace)
			}
		}
	}
	return ids
}

// narrowOwners records who may be the cause of an end under each of its suspect keys.
func (t *Table) narrowOwners(e *end) {
	narrowed := map[Key]bool{}
	for _, r := range e.requests {
		for _, k := range r.keys {
			if s := t.suspects[k]; s != nil && !narrowed[k] && slices.Contains(s.ends, e) {
				s.owners.narrow(e.workspaces(k))
				narrowed[k] = true
			}
		}
	}
}

// concerns reports whether the verdict holds back requests of a workspace.
func (v *Verdict) concerns(id fleet.WorkspaceID) bool {
	return len(v.Workspaces) == 0 || slices.Contains(v.Workspaces, id)
}

// startOtherTries records that a request tries the verdicts on its keys that don't concern its workspace.
func (t *Table) startOtherTries(now decide.Instant, id fleet.RequestID, r *run) {
	for _, v := range t.verdicts.elsewhere(r.keys, r.workspace) {
		v.otherTry = try{id, now}
		r.tries = append(r.tries, v)
	}
}

// exempt records that an answered request's workspace isn't concerned by verdicts on others' requests with its keys.
func (t *Table) exempt(r *run, late bool) {
	for _, v := range t.verdicts.elsewhere(r.keys, r.workspace) {
		if (v.AnsweredFor > 0) == late && (!late || r.mayRefute(v)) {
			v.exempt = append(v.exempt, r.workspace)
		}
	}
}

// widen extends to all workspaces the verdicts that a request on an upstream which ended has tried.
func (t *Table) widen(now decide.Instant, e *end) {
	if e.explained { // by a request that a verdict is on
		return
	}
	for _, r := range slices.Concat(e.requests, e.answered) {
		for _, v := range r.tries {
			if t.verdicts.get(v.Keys) != v { // another one has taken its place
				continue
			}
			wider := &verdict{Verdict: v.Verdict}
			wider.Workspaces = nil
			wider.Ends++
			wider.holdFrom(now)
			t.enact(wider)
			e.explained = true
		}
	}
	if e.explained {
		t.dropExplained(now)
	}
}
