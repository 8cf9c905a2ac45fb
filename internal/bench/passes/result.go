package passes

import (
	"cmp"
	"slices"
)

// Result holds the figures of a simulation. Worth is the value of a request if it is answered in time. A late answer
// earns lateWorthShare of it.
type Result struct {
	InTime       map[string]float64 // share of each class's worth that was answered in time
	Earned       float64            // share of all worth that was earned, late answers included
	WorstWindows float64            // mean of the same share over the two worst windows of two seconds
	// LargestAnswered is the share of each class's largest tenth of prompts that was answered, divided by the share of
	// the whole class that was answered.
	LargestAnswered map[string]float64
	// LargestEarned is the share of the worth of each class's largest tenth of prompts that was earned.
	LargestEarned map[string]float64
	// OthersEarned is the share of the other workspaces' worth that was earned during a surge.
	OthersEarned float64
}

const (
	// windowMs is the length of a window.
	windowMs = 2000
	// worstWindows is the number of windows that WorstWindows averages.
	worstWindows = 2
)

// worthShare is the part of a total worth that was earned.
type worthShare struct{ earned, total float64 }

// ratio returns earned divided by total, or 1 if the total is 0.
func (s worthShare) ratio() float64 {
	if s.total == 0 {
		return 1
	}
	return s.earned / s.total
}

// newResult returns the figures of a simulation's jobs.
func newResult(w *Workload, jobs []*Job, surge Surge) Result {
	res := Result{InTime: map[string]float64{}, LargestAnswered: map[string]float64{}, LargestEarned: map[string]float64{}}
	var all, others worthShare
	windows := map[int]*worthShare{}
	classes := map[string]*worthShare{}
	byClass := map[string][]*Job{}
	for _, j := range jobs {
		class, window := classes[j.class.name], windows[int(j.arrivedMs/windowMs)]
		if class == nil {
			class = &worthShare{}
			classes[j.class.name] = class
		}
		if window == nil {
			window = &worthShare{}
			windows[int(j.arrivedMs/windowMs)] = window
		}
		worth, earned := j.worth(), j.earned()
		class.total += worth
		if j.onTime() {
			class.earned += worth
		}
		all.total += worth
		all.earned += earned
		window.total += worth
		window.earned += earned
		if surge.activeAt(j.arrivedMs) && j.Workspace != workspaceID(surgingWorkspace) {
			others.total += worth
			others.earned += earned
		}
		byClass[j.class.name] = append(byClass[j.class.name], j)
	}
	res.Earned, res.OthersEarned = all.ratio(), others.ratio()
	res.WorstWindows = worstWindowsMean(windows)
	for name, s := range classes {
		res.InTime[name] = s.ratio()
		res.LargestAnswered[name] = largestAnswered(byClass[name])
		res.LargestEarned[name] = largestEarned(byClass[name])
	}
	return res
}

// worstWindowsMean returns the mean ratio of the worstWindows windows with the lowest ratios.
func worstWindowsMean(windows map[int]*worthShare) float64 {
	var all []float64
	for _, s := range windows {
		all = append(all, s.ratio())
	}
	slices.Sort(all)
	sum, n := 0.0, min(worstWindows, len(all))
	for _, x := range all[:n] {
		sum += x / float64(n)
	}
	return sum
}

// largestAnswered returns the share of the largest tenth of the jobs that was answered, divided by the share of all
// jobs that was answered. It returns 1 if none was answered or there are fewer than 10 jobs. It sorts jobs.
func largestAnswered(jobs []*Job) float64 {
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
	overall := answeredShare(jobs)
	if overall == 0 || len(jobs) < 10 {
		return 1
	}
	return answeredShare(jobs[:len(jobs)/10]) / overall
}

// largestEarned returns the share of the worth of the largest tenth of the jobs that was earned. It sorts jobs.
func largestEarned(jobs []*Job) float64 {
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
	var tenth worthShare
	for _, j := range jobs[:len(jobs)/10] {
		tenth.earned += j.earned()
		tenth.total += j.worth()
	}
	return tenth.ratio()
}

// answeredShare returns the share of the jobs that were answered completely, in time or late.
func answeredShare(jobs []*Job) float64 {
	n := 0
	for _, j := range jobs {
		if j.done {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

// MeanResult runs the scenario with the seeds from 1 to seeds and returns the mean of each figure.
func MeanResult(w *Workload, newPolicy func() Policy, scenario Scenario, seeds int) Result {
	return meanResult(seeds, func(seed uint64) Result { return New(w, newPolicy, scenario).Run(seed) })
}

// meanResult calls run with the seeds from 1 to seeds and returns the mean of each figure.
func meanResult(seeds int, run func(seed uint64) Result) Result {
	sum := Result{InTime: map[string]float64{}, LargestAnswered: map[string]float64{}, LargestEarned: map[string]float64{}}
	n := float64(seeds)
	for seed := range uint64(seeds) {
		res := run(seed + 1)
		sum.Earned += res.Earned / n
		sum.OthersEarned += res.OthersEarned / n
		sum.WorstWindows += res.WorstWindows / n
		for class, x := range res.InTime {
			sum.InTime[class] += x / n
			sum.LargestAnswered[class] += res.LargestAnswered[class] / n
			sum.LargestEarned[class] += res.LargestEarned[class] / n
		}
	}
	return sum
}
