// Package drain judges a failure domain that is to be taken out or brought back: what is lost with it,
// whether the rest can carry the load of this moment, and what would be refused.
//
// Promise: two operators can't drain a fleet to death. Carried by the conditional update of the
// configuration (the second sees a conflict) and by this judgement, made from the configuration that the
// update is conditional on: a change that leaves a model or plain service without any upstream is
// rejected unless it is forced, and a forced one says so.
package drain

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of a judgement.
const (
	Restored          decide.Reason = "returns"        // upstreams come back, nothing is lost
	LoadFits          decide.Reason = "rest_carries"   // the rest carries the load of this moment
	Overload          decide.Reason = "rest_refuses"   // the rest would refuse a part of it
	LoadUnknown       decide.Reason = "load_not_known" // no figure of the load was at hand
	NothingLeft       decide.Reason = "nothing_left"   // a model or plain service has no upstream left
	ForcedNothingLeft decide.Reason = "forced_dead"    // the same, accepted by the operator
)

// Reasons lists every reason that Assess returns.
var Reasons = []decide.Reason{Restored, LoadFits, Overload, LoadUnknown, NothingLeft, ForcedNothingLeft}

// Group is the upstreams of one model or plain service that take new work.
type Group struct {
	Kind            string // "model" or "service", as shown
	Name            string
	UpstreamsBefore int
	UpstreamsAfter  int
	Utilization     float64 // share of Before's capacity that is in use; below zero: not known
	// Memory in tokens of KV cache; 0 for plain services.
	MemoryBefore int64
	MemoryAfter  int64
}

// Input is one failure domain's change.
type Input struct {
	Domain  string
	Restore bool // brought back, not taken out
	Groups  []Group
	Force   bool
}

// Result is the judgement, in words where it is shown.
type Result struct {
	Reason   decide.Reason
	Rejected string // why; empty where the change is allowed
	Summary  []string
	Impact   []string
}

// Assess judges. It gives the same result for groups in any order.
func Assess(in Input) Result {
	groups := slices.Clone(in.Groups)
	slices.SortFunc(groups, func(a, b Group) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	if in.Restore {
		return returns(in.Domain, groups)
	}
	return leaves(in, groups)
}

func returns(domain string, groups []Group) Result {
	r := Result{Reason: Restored}
	r.Summary = append(r.Summary, fmt.Sprintf("failure domain %s comes back; its upstreams count as cold, load returns little by little", domain))
	for _, g := range groups {
		if g.UpstreamsAfter > g.UpstreamsBefore {
			r.Summary = append(r.Summary, fmt.Sprintf("%s %s: %d upstreams become %d", g.Kind, g.Name, g.UpstreamsBefore, g.UpstreamsAfter))
		}
	}
	return r
}

func leaves(in Input, groups []Group) Result {
	r := Result{Reason: LoadFits}
	r.Summary = append(r.Summary, fmt.Sprintf("failure domain %s is taken out: new work stops there, requests in flight go on", in.Domain))
	var dead []string
	for _, g := range groups {
		if g.UpstreamsAfter >= g.UpstreamsBefore {
			continue
		}
		r.Summary = append(r.Summary, fmt.Sprintf("%s %s: %d of %d upstreams are lost", g.Kind, g.Name, g.UpstreamsBefore-g.UpstreamsAfter, g.UpstreamsBefore))
		line, reason := judge(g)
		r.Impact = append(r.Impact, line)
		if reason == NothingLeft {
			dead = append(dead, line)
		}
		r.Reason = worse(r.Reason, reason)
		if line, ok := shorter(g); ok {
			r.Impact = append(r.Impact, line)
		}
	}
	if len(dead) == 0 {
		return r
	}
	if !in.Force {
		return Result{Reason: NothingLeft, Rejected: strings.Join(dead, "; ")}
	}
	r.Reason = ForcedNothingLeft
	return r
}

// judge tells how one group fares. Upstreams of a group count as equal.
func judge(g Group) (string, decide.Reason) {
	if g.UpstreamsAfter == 0 {
		return fmt.Sprintf("%s %s: no upstream is left, every request would be refused", g.Kind, g.Name), NothingLeft
	}
	if g.Utilization < 0 {
		return fmt.Sprintf("%s %s: whether %d upstreams carry its load is not known", g.Kind, g.Name, g.UpstreamsAfter), LoadUnknown
	}
	load := g.Utilization * float64(g.UpstreamsBefore) / float64(g.UpstreamsAfter)
	if load <= 1 {
		return fmt.Sprintf("%s %s: the other %d carry the load of this moment, at %s of what they can",
			g.Kind, g.Name, g.UpstreamsAfter, percent(load)), LoadFits
	}
	return fmt.Sprintf("%s %s: the other %d can't carry the load of this moment, about %s of it would be refused",
		g.Kind, g.Name, g.UpstreamsAfter, percent(1-1/load)), Overload
}

// shorter tells that prompts which several engines hold together have less room.
func shorter(g Group) (string, bool) {
	if g.MemoryAfter >= g.MemoryBefore || g.MemoryAfter == 0 {
		return "", false
	}
	return fmt.Sprintf("%s %s: the longest prompt that all its engines hold together falls from %d to %d tokens",
		g.Kind, g.Name, g.MemoryBefore, g.MemoryAfter), true
}

func percent(share float64) string { return fmt.Sprintf("%d%%", int(math.Ceil(share*100))) }

// worse gives the graver of two reasons.
func worse(a, b decide.Reason) decide.Reason {
	order := []decide.Reason{LoadFits, LoadUnknown, Overload, NothingLeft}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
