// Package drain assesses the drain or restore of a failure domain: what is lost with it, whether the remaining
// upstreams can carry the current load, and how much would be refused.
//
// Guarantee: concurrent drains by several operators can't leave a model or plain service without an upstream
// unless one of the drains is forced. The configuration is updated conditionally, so the second operator gets a
// conflict. The assessment is made from the same version of the configuration. It rejects a change that leaves
// a model or plain service without any upstream, unless the change is forced, which the result then shows.
package drain

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// The reasons of an assessment.
const (
	Restored          decide.Reason = "returns"        // upstreams are restored, nothing is lost
	LoadFits          decide.Reason = "rest_carries"   // the remaining upstreams carry the current load
	Overload          decide.Reason = "rest_refuses"   // the remaining upstreams would refuse a part of the load
	LoadUnknown       decide.Reason = "load_not_known" // the current load is not known
	NothingLeft       decide.Reason = "nothing_left"   // a model or plain service has no upstream left
	ForcedNothingLeft decide.Reason = "forced_dead"    // NothingLeft, but forced by the operator
)

// Reasons lists every reason that Assess returns.
var Reasons = []decide.Reason{Restored, LoadFits, Overload, LoadUnknown, NothingLeft, ForcedNothingLeft}

// Group counts the upstreams of one model or plain service that take new work.
type Group struct {
	Kind            string // "model" or "service", as shown to the operator
	Name            string
	UpstreamsBefore int     // before the change
	UpstreamsAfter  int     // after the change
	Utilization     float64 // share of the capacity before the change that is in use; below zero: not known
	// KV cache of the group in tokens; 0 for plain services.
	MemoryBefore int64
	MemoryAfter  int64
}

// Input is the drain or restore of one failure domain.
type Input struct {
	Domain  string
	Restore bool // the failure domain is restored, not drained
	Groups  []Group
	Force   bool // accept that a model or plain service is left without an upstream
}

// Result is an assessment. Its texts are shown to the operator.
type Result struct {
	Reason   decide.Reason
	Rejected string // why the change is rejected; empty if it is allowed
	Summary  []string
	Impact   []string // what callers lose, one sentence an item
}

// Assess assesses a change. The result doesn't depend on the order of groups in the input.
func Assess(in Input) Result {
	groups := slices.Clone(in.Groups)
	slices.SortFunc(groups, func(a, b Group) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	if in.Restore {
		return assessRestore(in.Domain, groups)
	}
	return assessDrain(in, groups)
}

// assessRestore returns the assessment of a restore.
func assessRestore(domain string, groups []Group) Result {
	r := Result{Reason: Restored}
	r.Summary = append(r.Summary, fmt.Sprintf("failure domain %s comes back; its upstreams count as cold, load returns little by little", domain))
	for _, g := range groups {
		if g.UpstreamsAfter > g.UpstreamsBefore {
			r.Summary = append(r.Summary, fmt.Sprintf("%s %s: %d upstreams become %d", g.Kind, g.Name, g.UpstreamsBefore, g.UpstreamsAfter))
		}
	}
	return r
}

// assessDrain returns the assessment of a drain.
func assessDrain(in Input, groups []Group) Result {
	r := Result{Reason: LoadFits}
	r.Summary = append(r.Summary, fmt.Sprintf("failure domain %s is taken out: new work stops there, requests in flight go on", in.Domain))
	var emptied []string
	for _, g := range groups {
		if g.UpstreamsAfter >= g.UpstreamsBefore {
			continue
		}
		r.Summary = append(r.Summary, fmt.Sprintf("%s %s: %d of %d upstreams are lost", g.Kind, g.Name, g.UpstreamsBefore-g.UpstreamsAfter, g.UpstreamsBefore))
		line, reason := assessGroup(g)
		r.Impact = append(r.Impact, line)
		if reason == NothingLeft {
			emptied = append(emptied, line)
		}
		r.Reason = moreSevere(r.Reason, reason)
		if line, ok := describeMemoryLoss(g); ok {
			r.Impact = append(r.Impact, line)
		}
	}
	if len(emptied) == 0 {
		return r
	}
	if !in.Force {
		return Result{Reason: NothingLeft, Rejected: strings.Join(emptied, "; ")}
	}
	r.Reason = ForcedNothingLeft
	return r
}

// assessGroup returns how one group is affected, as a line of text and a reason. It assumes that all upstreams of a
// group have the same capacity.
func assessGroup(g Group) (string, decide.Reason) {
	if g.UpstreamsAfter == 0 {
		return fmt.Sprintf("%s %s: no upstream is left, every request would be refused", g.Kind, g.Name), NothingLeft
	}
	if g.Utilization < 0 {
		return fmt.Sprintf("%s %s: whether %d upstreams carry its load is not known", g.Kind, g.Name, g.UpstreamsAfter), LoadUnknown
	}
	load := g.Utilization * float64(g.UpstreamsBefore) / float64(g.UpstreamsAfter)
	if load <= 1 {
		return fmt.Sprintf("%s %s: the other %d carry the load of this moment, at %s of what they can",
			g.Kind, g.Name, g.UpstreamsAfter, formatPercent(load)), LoadFits
	}
	return fmt.Sprintf("%s %s: the other %d can't carry the load of this moment, about %s of it would be refused",
		g.Kind, g.Name, g.UpstreamsAfter, formatPercent(1-1/load)), Overload
}

// describeMemoryLoss returns a line about the longest prompt that a model's engines hold together. It reports false if
// that doesn't get shorter, or if no engine is left.
func describeMemoryLoss(g Group) (string, bool) {
	if g.MemoryAfter >= g.MemoryBefore || g.MemoryAfter == 0 {
		return "", false
	}
	return fmt.Sprintf("%s %s: the longest prompt that all its engines hold together falls from %d to %d tokens",
		g.Kind, g.Name, g.MemoryBefore, g.MemoryAfter), true
}

// formatPercent formats a share as a percentage, rounded up.
func formatPercent(share float64) string { return fmt.Sprintf("%d%%", int(math.Ceil(share*100))) }

// moreSevere returns the more severe of two reasons.
func moreSevere(a, b decide.Reason) decide.Reason {
	severity := []decide.Reason{LoadFits, LoadUnknown, Overload, NothingLeft}
	if slices.Index(severity, b) > slices.Index(severity, a) {
		return b
	}
	return a
}
