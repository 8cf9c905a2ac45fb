package bench

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// ClassFigures are one length class's figures of a run. Requests are counted by their arrival after the
// warm-up; those whose time was not over when the run ended are left out.
type ClassFigures struct {
	Requests   int
	InTime     int
	Refused    int
	Late       int
	FirstToken []time.Duration // first token, of requests that had one, sorted
}

// Quantile gives the q-quantile of the first-token time.
func (f *ClassFigures) Quantile(q float64) time.Duration { return quantile(f.FirstToken, q) }

// Result is a run's figures.
type Result struct {
	Class            [cost.ClassCount]ClassFigures
	Goodput          float64 // prompt tokens a second of requests answered in time
	AnswerRate       float64 // requests a second answered in time
	Utilization      float64 // share of the engines' time in batch steps
	MaxMemoryShare   float64 // highest share of an engine's memory that was held
	MemoryWaits      int     // unreserved prompts that found no memory at their engine
	SentOutOfService int     // prompts sent to engines that had been taken out for longer than a few seconds
	Refusals         map[decide.Reason]int
	Workspaces       map[fleet.WorkspaceID]WorkspaceCounts
}

// Served is a workspace's requests and how many of them were answered in time.
type WorkspaceCounts struct {
	Requests, InTime int
}

func (s *sim) result(end decide.Instant) *Result {
	res := &Result{Refusals: map[decide.Reason]int{}, Workspaces: map[fleet.WorkspaceID]WorkspaceCounts{}}
	var tokens, answered float64
	for _, r := range s.requests {
		if !s.counts(r, end) {
			continue
		}
		f := &res.Class[r.class]
		f.Requests++
		served := res.Workspaces[r.workspace]
		served.Requests++
		switch r.outcome {
		case inTime:
			f.InTime++
			served.InTime++
			answered++
			tokens += float64(r.prompt.Tokens)
		case refused:
			f.Refused++
			res.Refusals[r.refusal]++
		default:
			f.Late++
		}
		res.Workspaces[r.workspace] = served
		if r.first != 0 {
			f.FirstToken = append(f.FirstToken, r.first.Sub(r.at))
		}
	}
	for c := range res.Class {
		slices.Sort(res.Class[c].FirstToken)
	}
	window := s.window(end)
	span := (window.To - window.From).Seconds()
	res.Goodput, res.AnswerRate = tokens/span, answered/span
	for _, e := range s.engines {
		res.Utilization += e.worked.Seconds() / end.Sub(0).Seconds() / float64(len(s.engines))
		res.MaxMemoryShare = max(res.MaxMemoryShare, float64(e.most)/float64(e.model.KVCacheTokens))
	}
	res.MemoryWaits, res.SentOutOfService = s.memoryWaits, s.strays
	return res
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Merge pools the figures of runs that differ in their seed only.
func Merge(runs []*Result) *Result {
	sum := &Result{Refusals: map[decide.Reason]int{}, Workspaces: map[fleet.WorkspaceID]WorkspaceCounts{}}
	n := float64(len(runs))
	for _, r := range runs {
		for c := range r.Class {
			sum.Class[c].Add(&r.Class[c])
		}
		sum.Goodput += r.Goodput / n
		sum.AnswerRate += r.AnswerRate / n
		sum.Utilization += r.Utilization / n
		sum.MaxMemoryShare = max(sum.MaxMemoryShare, r.MaxMemoryShare)
		sum.MemoryWaits += r.MemoryWaits
		sum.SentOutOfService += r.SentOutOfService
		for reason, count := range r.Refusals {
			sum.Refusals[reason] += count
		}
		for name, served := range r.Workspaces {
			s := sum.Workspaces[name]
			sum.Workspaces[name] = WorkspaceCounts{s.Requests + served.Requests, s.InTime + served.InTime}
		}
	}
	return sum
}

// Add pools another run's figures, or another class's, into f.
func (f *ClassFigures) Add(g *ClassFigures) {
	f.Requests += g.Requests
	f.InTime += g.InTime
	f.Refused += g.Refused
	f.Late += g.Late
	f.FirstToken = append(f.FirstToken, g.FirstToken...)
	slices.Sort(f.FirstToken)
}

// Slowdown is the quantile of a class's first-token time against that of the same prompts alone.
func Slowdown(with, alone *Result, class cost.Class, q float64) float64 {
	base := alone.Class[class].Quantile(q)
	if base == 0 {
		return 0
	}
	return float64(with.Class[class].Quantile(q)) / float64(base)
}
