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
	Returns decide.Reason = "returns"        // upstreams come back, nothing is lost
	Carries decide.Reason = "rest_carries"   // the rest carries the load of this moment
	Refuses decide.Reason = "rest_refuses"   // the rest would refuse a part of it
	Unknown decide.Reason = "load_not_known" // no figure of the load was at hand
	Dead    decide.Reason = "nothing_left"   // a model or plain service has no upstream left
	Forced  decide.Reason = "forced_dead"    // the same, accepted by the operator
)

// Reasons lists every reason that Assess returns.
var Reasons = []decide.Reason{Returns, Carries, Refuses, Unknown, Dead, Forced}

// Group is the upstreams of one model or plain service that take new work.
type Group struct {
	Kind   string // "model" or "service", as shown
	Name   string
	Before int
	After  int
	Busy   float64 // share of Before's capacity that is in use; below zero: not known
	// Memory in tokens of KV cache; 0 for plain services.
	MemoryBefore int64
	MemoryAfter  int64
}

// Input is one failure domain's change.
type Input struct {
	Domain string
	Back   bool // brought back, not taken out
	Groups []Group
	Force  bool
}

// Result is the judgement, in words where it is shown.
type Result struct {
	Reason   decide.Reason
	Rejected string // why; empty where the change is allowed
	Summary  []string
	Hurt     []string
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
	if in.Back {
		return returns(in.Domain, groups)
	}
	return leaves(in, groups)
}

func returns(domain string, groups []Group) Result {
	r := Result{Reason: Returns}
	r.Summary = append(r.Summary, fmt.Sprintf("failure domain %s comes back; its upstreams count as cold, load returns little by little", domain))
	for _, g := range groups {
		if g.After > g.Before {
			r.Summary = append(r.Summary, fmt.Sprintf("%s %s: %d upstreams become %d", g.Kind, g.Name, g.Before, g.After))
		}
	}
	return r
}

func leaves(in Input, groups []Group) Result {
	r := Result{Reason: Carries}
	r.Summary = append(r.Summary, fmt.Sprintf("failure domain %s is taken out: new work stops there, requests in flight go on", in.Domain))
	var dead []string
	for _, g := range groups {
		if g.After >= g.Before {
			continue
		}
		r.Summary = append(r.Summary, fmt.Sprintf("%s %s: %d of %d upstreams are lost", g.Kind, g.Name, g.Before-g.After, g.Before))
		line, reason := judge(g)
		r.Hurt = append(r.Hurt, line)
		if reason == Dead {
			dead = append(dead, line)
		}
		r.Reason = worse(r.Reason, reason)
		if line, ok := shorter(g); ok {
			r.Hurt = append(r.Hurt, line)
		}
	}
	if len(dead) == 0 {
		return r
	}
	if !in.Force {
		return Result{Reason: Dead, Rejected: strings.Join(dead, "; ")}
	}
	r.Reason = Forced
	return r
}

// judge tells how one group fares. Upstreams of a group count as equal.
func judge(g Group) (string, decide.Reason) {
	if g.After == 0 {
		return fmt.Sprintf("%s %s: no upstream is left, every request would be refused", g.Kind, g.Name), Dead
	}
	if g.Busy < 0 {
		return fmt.Sprintf("%s %s: whether %d upstreams carry its load is not known", g.Kind, g.Name, g.After), Unknown
	}
	load := g.Busy * float64(g.Before) / float64(g.After)
	if load <= 1 {
		return fmt.Sprintf("%s %s: the other %d carry the load of this moment, at %s of what they can",
			g.Kind, g.Name, g.After, percent(load)), Carries
	}
	return fmt.Sprintf("%s %s: the other %d can't carry the load of this moment, about %s of it would be refused",
		g.Kind, g.Name, g.After, percent(1-1/load)), Refuses
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
	order := []decide.Reason{Carries, Unknown, Refuses, Dead}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
