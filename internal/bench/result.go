package bench

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// ClassFigures holds one length class's figures of a run. Requests count if they arrive after the warm-up, or within
// Config.Window if it is set, and their deadline is not after the end of the run.
type ClassFigures struct {
	Requests   int
	InTime     int
	Refused    int
	Late       int
	FirstToken []time.Duration // first-token times of the requests that had one, sorted
}

// Quantile returns the q-quantile of the first-token time, or 0 if there is none.
func (f *ClassFigures) Quantile(q float64) time.Duration { return quantile(f.FirstToken, q) }

// Result holds a run's figures.
type Result struct {
	Class            [cost.ClassCount]ClassFigures
	Goodput          float64 // prompt tokens per second of requests answered in time
	AnswerRate       float64 // requests per second answered in time
	Utilization      float64 // share of the engines' time in batch steps
	MaxMemoryShare   float64 // highest share of an engine's memory that was held
	MemoryWaits      int     // prompts without a reservation that arrived at an engine without enough free memory
	SentOutOfService int     // prompts sent to engines that were out of service for longer than outageNoticeTime
	Refusals         map[decide.Reason]int
	Workspaces       map[fleet.WorkspaceID]WorkspaceCounts
}

// WorkspaceCounts counts a workspace's requests, and those that were answered in time.
type WorkspaceCounts struct {
	Requests, InTime int
}

// result returns the figures of a run that ended at end.
func (s *sim) result(end decide.Instant) *Result {
	res := &Result{Refusals: map[decide.Reason]int{}, Workspaces: map[fleet.WorkspaceID]WorkspaceCounts{}}
	var tokens, answered float64
	for _, r := range s.requests {
		if !s.isCounted(r, end) {
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
		if r.firstTokenAt != 0 {
			f.FirstToken = append(f.FirstToken, r.firstTokenAt.Sub(r.at))
		}
	}
	for c := range res.Class {
		slices.Sort(res.Class[c].FirstToken)
	}
	window := s.window(end)
	span := (window.To - window.From).Seconds()
	res.Goodput, res.AnswerRate = tokens/span, answered/span
	for _, e := range s.engines {
		res.Utilization += e.busyTime.Seconds() / end.Sub(0).Seconds() / float64(len(s.engines))
		res.MaxMemoryShare = max(res.MaxMemoryShare, float64(e.maxMemoryHeld)/float64(e.model.KVCacheTokens))
	}
	res.MemoryWaits, res.SentOutOfService = s.memoryWaits, s.sentOutOfService
	return res
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Merge pools the figures of runs that differ only in their seed. Rates and Utilization are averaged.
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

// Add adds the figures of another run, or another class, to f.
func (f *ClassFigures) Add(g *ClassFigures) {
	f.Requests += g.Requests
	f.InTime += g.InTime
	f.Refused += g.Refused
	f.Late += g.Late
	f.FirstToken = append(f.FirstToken, g.FirstToken...)
	slices.Sort(f.FirstToken)
}

// Slowdown returns the q-quantile of a class's first-token time in one run, divided by the same in a run without long
// prompts. It returns 0 if the latter has no first token.
func Slowdown(with, alone *Result, class cost.Class, q float64) float64 {
	base := alone.Class[class].Quantile(q)
	if base == 0 {
		return 0
	}
	return float64(with.Class[class].Quantile(q)) / float64(base)
}
