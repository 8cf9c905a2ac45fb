package passes

import (
	"cmp"
	"slices"
)

// Result is how a play ended.
type Result struct {
	InTime       map[string]float64 // for each kind the share of its worth that was answered in time
	Earned       float64            // share of all worth that was earned, late answers counting in part
	WorstWindows float64            // the same of the two worst windows of two seconds
	// Largest is, for each kind, how often its largest tenth was answered against the kind.
	LargestAnswered map[string]float64
	// LargestWorth is, for each kind, the share of its largest tenth's worth that was earned.
	LargestEarned map[string]float64
	// Others is the share of worth that the workspaces which send as usual earned while one sent many times that.
	OthersEarned float64
}

const (
	// window is the length of a window, in ms.
	window = 2000
	// worstWindows is how many windows Worst is taken over.
	worstWindows = 2
)

// share is a part of what was owed.
type share struct{ earned, owed float64 }

func (s share) of() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

func resultOf(w *Workload, jobs []*Job, crowd Surge) Result {
	res := Result{InTime: map[string]float64{}, LargestAnswered: map[string]float64{}, LargestEarned: map[string]float64{}}
	var day, others share
	windows := map[int]*share{}
	kinds := map[string]*share{}
	byKind := map[string][]*Job{}
	for _, j := range jobs {
		kind, at := kinds[j.class.name], windows[int(j.came/window)]
		if kind == nil {
			kind = &share{}
			kinds[j.class.name] = kind
		}
		if at == nil {
			at = &share{}
			windows[int(j.came/window)] = at
		}
		worth, earned := j.worth(), j.earned()
		kind.owed += worth
		if j.onTime() {
			kind.earned += worth
		}
		day.owed += worth
		day.earned += earned
		at.owed += worth
		at.earned += earned
		if crowd.during(j.came) && j.Workspace != workspace(crowded) {
			others.owed += worth
			others.earned += earned
		}
		byKind[j.class.name] = append(byKind[j.class.name], j)
	}
	res.Earned, res.OthersEarned = day.of(), others.of()
	res.WorstWindows = worst(windows)
	for name, s := range kinds {
		res.InTime[name] = s.of()
		res.LargestAnswered[name] = largest(byKind[name])
		res.LargestEarned[name] = largestWorth(byKind[name])
	}
	return res
}

func worst(windows map[int]*share) float64 {
	var all []float64
	for _, s := range windows {
		all = append(all, s.of())
	}
	slices.Sort(all)
	sum, n := 0.0, min(worstWindows, len(all))
	for _, x := range all[:n] {
		sum += x / float64(n)
	}
	return sum
}

// largest tells how often the largest tenth is answered against all.
func largest(jobs []*Job) float64 {
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
	all := answered(jobs)
	if all == 0 || len(jobs) < 10 {
		return 1
	}
	return answered(jobs[:len(jobs)/10]) / all
}

// largestWorth is the share of the largest tenth's worth that was earned.
func largestWorth(jobs []*Job) float64 {
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
	var tenth share
	for _, j := range jobs[:len(jobs)/10] {
		tenth.earned += j.earned()
		tenth.owed += j.worth()
	}
	return tenth.of()
}

func answered(jobs []*Job) float64 {
	n := 0
	for _, j := range jobs {
		if j.done {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

// Mean plays seeds from 1 on and gives the means.
func MeanResult(w *Workload, fresh func() Policy, p Scenario, seeds int) Result {
	return meanOf(seeds, func(seed uint64) Result { return New(w, fresh, p).Run(seed) })
}

func meanOf(seeds int, run func(seed uint64) Result) Result {
	sum := Result{InTime: map[string]float64{}, LargestAnswered: map[string]float64{}, LargestEarned: map[string]float64{}}
	n := float64(seeds)
	for seed := range uint64(seeds) {
		res := run(seed + 1)
		sum.Earned += res.Earned / n
		sum.OthersEarned += res.OthersEarned / n
		sum.WorstWindows += res.WorstWindows / n
		for kind, x := range res.InTime {
			sum.InTime[kind] += x / n
			sum.LargestAnswered[kind] += res.LargestAnswered[kind] / n
			sum.LargestEarned[kind] += res.LargestEarned[kind] / n
		}
	}
	return sum
}
