package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/explain"
)

// Window counts the requests that arrived in one span of time.
type Window struct {
	From     time.Time       `json:"from"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Causes   map[Cause]int   `json:"causes"`
}

// RequestCount returns the number of requests in the window.
func (w *Window) RequestCount() int {
	n := 0
	for _, k := range w.Outcomes {
		n += k
	}
	return n
}

// Class holds the counts of the requests of one class: of one kind, or of streams with prompts of similar size.
type Class struct {
	Name             string          `json:"name"`
	Requests         int             `json:"asked"`
	InTime           int             `json:"in_time"`
	PromptTokens     int             `json:"prompt_tokens"`
	Lost             map[Cause]int   `json:"lost"`
	LostPromptTokens map[Cause]int   `json:"lost_prompt_tokens"` // prompt tokens of the lost requests
	Outcomes         map[Outcome]int `json:"outcomes"`
}

// PromptTokensInTime returns the prompt tokens of the requests that were answered completely and in time.
func (c *Class) PromptTokensInTime() int {
	n := c.PromptTokens
	for _, lost := range c.LostPromptTokens {
		n -= lost
	}
	return n
}

// Report is the summary of some logs.
type Report struct {
	WindowLength    time.Duration `json:"-"`
	Classes         []Class       `json:"classes"`
	Windows         []Window      `json:"windows"`
	Stages          []StageTimes  `json:"stages"`
	CallerFaults    int           `json:"not_owed"` // requests whose caller was at fault; they aren't counted elsewhere
	Unfinished      int           `json:"unended"`  // dispatched requests that are still in flight at the end of the logs
	Lines           int           `json:"lines"`
	UnusableAnswers int           `json:"unusable_answers"` // answer lines with a missing or invalid field
	Problems        []string      `json:"problems"`         // descriptions of the first of these, with line and field
}

// requestKey identifies a request on one instance.
type requestKey struct{ instance, id string }

// firstDispatch is the first dispatch of a request to an upstream.
type firstDispatch struct {
	at        time.Time
	queueTime time.Duration // from the request's arrival to this dispatch
	fields    fields
}

// summarizer builds a report from log lines, which it processes in order of time.
type summarizer struct {
	report     *Report
	dispatched map[requestKey]firstDispatch // requests that are dispatched but not answered yet
	classes    map[string]*Class
	windows    map[time.Time]*Window
	stages     stageHistograms
}

// maxProblems is the maximum number of unusable lines that a report describes.
const maxProblems = 5

// recordUnusable counts an unusable answer line.
func (r *summarizer) recordUnusable(l explain.Line, problem string) {
	r.report.UnusableAnswers++
	if len(r.report.Problems) < maxProblems {
		r.report.Problems = append(r.report.Problems, fmt.Sprintf("line %d: %s", l.Number, problem))
	}
}

// Summarize returns the report of log lines, which must be sorted by time. Its windows have the given length.
func Summarize(lines []explain.Line, windowLength time.Duration) *Report {
	r := summarizer{
		report: &Report{WindowLength: windowLength, Lines: len(lines)}, dispatched: map[requestKey]firstDispatch{},
		classes: map[string]*Class{}, windows: map[time.Time]*Window{}, stages: stageHistograms{},
	}
	for _, l := range lines {
		r.processLine(l)
	}
	r.report.Unfinished = len(r.dispatched)
	return r.finish()
}

// processLine applies one log line: a start of an instance, a dispatch or an answer. It ignores all others.
func (r *summarizer) processLine(l explain.Line) {
	instance, component, _ := strings.Cut(l.Instance, ".")
	event, rest, _ := strings.Cut(l.Text, ": ")
	switch {
	case component == "" && event == "started":
		r.recordInstanceEnd(instance)
	case component != "decision":
	case event == "dispatch":
		f := parseFields(rest)
		key := requestKey{instance, f["subject"]}
		if _, known := r.dispatched[key]; !known {
			r.dispatched[key] = firstDispatch{at: l.At, queueTime: f.ms("waited_ms"), fields: f}
		}
	case event == "answer":
		r.recordAnswer(l, instance, parseFields(rest))
	}
}

// recordInstanceEnd counts the requests that an instance had dispatched but not answered when it ended. The caller calls
// it when the instance starts again.
func (r *summarizer) recordInstanceEnd(instance string) {
	for key, first := range r.dispatched {
		if key.instance == instance {
			delete(r.dispatched, key)
			r.countRequest(first.at.Add(-first.queueTime), first.fields, InstanceEnded)
		}
	}
}

// recordAnswer counts a request by its answer line, unless the line is unusable or the caller is at fault.
func (r *summarizer) recordAnswer(l explain.Line, instance string, f fields) {
	key := requestKey{instance, f["subject"]}
	queueTime := r.dispatched[key].queueTime
	delete(r.dispatched, key)
	if problem := f.problem(); problem != "" {
		r.recordUnusable(l, problem)
		return
	}
	c, counted := causeOf(f, queueTime)
	if !counted {
		r.report.CallerFaults++
		return
	}
	r.stages.recordAnswer(f, queueTime)
	r.countRequest(l.At.Add(-f.ms("took_ms")), f, c)
}

// countRequest adds a request to its class and window. c is the cause of its loss, or "" if it was in time.
func (r *summarizer) countRequest(arrived time.Time, f fields, c Cause) {
	name := cmp.Or(f["class"], "unknown")
	class := r.classes[name]
	if class == nil {
		class = &Class{Name: name, Lost: map[Cause]int{}, LostPromptTokens: map[Cause]int{}, Outcomes: map[Outcome]int{}}
		r.classes[name] = class
	}
	from := arrived.Truncate(r.report.WindowLength)
	window := r.windows[from]
	if window == nil {
		window = &Window{From: from, Outcomes: map[Outcome]int{}, Causes: map[Cause]int{}}
		r.windows[from] = window
	}
	prompt := f.number("prompt")
	class.Requests++
	class.PromptTokens += prompt
	class.Outcomes[c.outcome()]++
	window.Outcomes[c.outcome()]++
	if c == "" {
		class.InTime++
		return
	}
	class.Lost[c]++
	class.LostPromptTokens[c] += prompt
	window.Causes[c]++
}

// finish adds the classes, windows and stages to the report, sorted, and returns it.
func (r *summarizer) finish() *Report {
	for _, c := range r.classes {
		r.report.Classes = append(r.report.Classes, *c)
	}
	slices.SortFunc(r.report.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	for _, w := range r.windows {
		r.report.Windows = append(r.report.Windows, *w)
	}
	slices.SortFunc(r.report.Windows, func(a, b Window) int { return a.From.Compare(b.From) })
	r.report.Stages = r.stages.report()
	return r.report
}
