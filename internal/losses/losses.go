package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/explain"
)

// Window is a span of time, by the arrival of its requests.
type Window struct {
	From     time.Time       `json:"from"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Causes   map[Cause]int   `json:"causes"`
}

// Asked is the number of its requests.
func (w *Window) RequestCount() int {
	n := 0
	for _, k := range w.Outcomes {
		n += k
	}
	return n
}

// Class is what is told of requests of one kind, or of streams by the size of their prompts.
type Class struct {
	Name             string          `json:"name"`
	Requests         int             `json:"asked"`
	InTime           int             `json:"in_time"`
	PromptTokens     int             `json:"prompt_tokens"`
	Lost             map[Cause]int   `json:"lost"`
	LostPromptTokens map[Cause]int   `json:"lost_prompt_tokens"` // prompt tokens of the lost ones
	Outcomes         map[Outcome]int `json:"outcomes"`
}

// TokensInTime is the prompt tokens of what was answered whole and in time.
func (c *Class) PromptTokensInTime() int {
	n := c.PromptTokens
	for _, lost := range c.LostPromptTokens {
		n -= lost
	}
	return n
}

// Report is the account of some logs.
type Report struct {
	WindowLength    time.Duration `json:"-"`
	Classes         []Class       `json:"classes"`
	Windows         []Window      `json:"windows"`
	Stages          []StageTimes  `json:"stages"`
	CallerFaults    int           `json:"not_owed"` // callers had no right to an answer
	Unfinished      int           `json:"unended"`  // still under way where the logs end
	Lines           int           `json:"lines"`
	UnusableAnswers int           `json:"unusable_answers"` // answer lines that lack what they are judged by
	Problems        []string      `json:"problems"`         // of the first of these, with line and field
}

// attempt is a request on an instance.
type attempt struct{ instance, id string }

// sent is a request that was sent to an upstream.
type sent struct {
	at     time.Time
	waited time.Duration // until it was sent first
	fields fields
}

// reader goes through lines in their order of time.
type reader struct {
	report  *Report
	open    map[attempt]sent
	classes map[string]*Class
	windows map[time.Time]*Window
	stages  stageTimes
}

// mostProblems is how many unusable lines are described one by one.
const mostProblems = 5

// unusable notes a line that can't be judged.
func (r *reader) unusable(l explain.Line, problem string) {
	r.report.UnusableAnswers++
	if len(r.report.Problems) < mostProblems {
		r.report.Problems = append(r.report.Problems, fmt.Sprintf("line %d: %s", l.Number, problem))
	}
}

// Read sums up lines, ordered by time, in windows of a length.
func Summarize(lines []explain.Line, every time.Duration) *Report {
	r := reader{
		report: &Report{WindowLength: every, Lines: len(lines)}, open: map[attempt]sent{},
		classes: map[string]*Class{}, windows: map[time.Time]*Window{}, stages: stageTimes{},
	}
	for _, l := range lines {
		r.take(l)
	}
	r.report.Unfinished = len(r.open)
	return r.finish()
}

func (r *reader) take(l explain.Line) {
	instance, part, _ := strings.Cut(l.Instance, ".")
	what, rest, _ := strings.Cut(l.Text, ": ")
	switch {
	case part == "" && what == "started":
		r.ended(instance)
	case part != "decision":
	case what == "dispatch":
		f := parse(rest)
		key := attempt{instance, f["subject"]}
		if _, again := r.open[key]; !again {
			r.open[key] = sent{at: l.At, waited: f.ms("waited_ms"), fields: f}
		}
	case what == "answer":
		r.answered(l, instance, parse(rest))
	}
}

// ended counts what an instance had under way when it ended: it has started anew.
func (r *reader) ended(instance string) {
	for key, s := range r.open {
		if key.instance == instance {
			delete(r.open, key)
			r.count(s.at.Add(-s.waited), s.fields, InstanceEnded)
		}
	}
}

func (r *reader) answered(l explain.Line, instance string, f fields) {
	key := attempt{instance, f["subject"]}
	waited := r.open[key].waited
	delete(r.open, key)
	if problem := f.problem(); problem != "" {
		r.unusable(l, problem)
		return
	}
	c, owed := causeOf(f, waited)
	if !owed {
		r.report.CallerFaults++
		return
	}
	r.stages.take(f, waited)
	r.count(l.At.Add(-f.ms("took_ms")), f, c)
}

func (r *reader) count(arrived time.Time, f fields, c Cause) {
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

func (r *reader) finish() *Report {
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
