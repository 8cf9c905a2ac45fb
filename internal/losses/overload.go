package losses

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/explain"
)

// Episode is one overload of a service, from the lines of one dispatcher.
type Episode struct {
	Service     string         `json:"service"`
	Dispatcher  string         `json:"dispatcher"`
	Began       time.Time      `json:"began"`
	Last        time.Time      `json:"last"`  // of its last line
	Ended       bool           `json:"ended"` // false: it lasts, or its dispatcher was lost
	MostWaiting int            `json:"most_waiting"`
	Refused     map[string]int `json:"refused"`     // by kind
	ShortOf     map[string]int `json:"short_of"`    // lines by kind and resource, as in "long kv_cache"
	WorstLevel  float64        `json:"worst_level"` // highest use of a workspace, relative to its equal part
}

// Refusals are the refusals of one kind of request for one reason.
type Refusals struct {
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Reason   string `json:"reason"`
	Count    int    `json:"count"`
	WaitedMs [3]int `json:"waited_ms"` // until refused: median, 95th percentile, maximum
	waited   []int
}

// WorkspaceRefusals are the refusals of one workspace.
type WorkspaceRefusals struct {
	Workspace string `json:"workspace"`
	Count     int    `json:"count"`
}

// OverloadReport sums up when and why dispatchers refused requests.
type OverloadReport struct {
	Episodes   []Episode           `json:"episodes"`   // in the order of their begin
	Refusals   []Refusals          `json:"refusals"`   // the most frequent first
	Workspaces []WorkspaceRefusals `json:"workspaces"` // the most refused first
	Unusable   int                 `json:"unusable"`   // lines with a missing or invalid field
}

// refusalKey identifies the Refusals that a line belongs to.
type refusalKey struct{ service, kind, reason string }

// overloadSummarizer builds a report from log lines in order of time.
type overloadSummarizer struct {
	report     OverloadReport
	current    map[string]*Episode // by dispatcher and service: those that have not ended
	episodes   []*Episode
	refusals   map[refusalKey]*Refusals
	workspaces map[string]int
}

// SummarizeOverload sums up the lines in which dispatchers report refusals and overload. lines are sorted by time.
func SummarizeOverload(lines []explain.Line) *OverloadReport {
	s := overloadSummarizer{current: map[string]*Episode{}, refusals: map[refusalKey]*Refusals{}, workspaces: map[string]int{}}
	for _, l := range lines {
		if !strings.HasSuffix(l.Instance, ".dispatcher") {
			continue
		}
		if text, ok := strings.CutPrefix(l.Text, "refused: "); ok {
			s.addRefusal(parseFields(text))
		}
		if text, ok := strings.CutPrefix(l.Text, "overload: "); ok {
			s.addOverload(l, parseFields(text))
		}
	}
	return s.finish()
}

// addRefusal adds a refused line.
func (s *overloadSummarizer) addRefusal(f fields) {
	waited, err := strconv.Atoi(f["waited_ms"])
	if err != nil || f["reason"] == "" {
		s.report.Unusable++
		return
	}
	key := refusalKey{f["service"], f["kind"], f["reason"]}
	r := s.refusals[key]
	if r == nil {
		r = &Refusals{Service: key.service, Kind: key.kind, Reason: key.reason}
		s.refusals[key] = r
	}
	r.Count++
	r.waited = append(r.waited, waited)
	if f["workspace"] != "" {
		s.workspaces[f["workspace"]]++
	}
}

// addOverload adds an overload line. One that begins a new episode ends the former one of the same dispatcher and service.
func (s *overloadSummarizer) addOverload(l explain.Line, f fields) {
	waiting, err := strconv.Atoi(f["waiting"])
	if err != nil || f["service"] == "" || f["state"] == "" {
		s.report.Unusable++
		return
	}
	key := l.Instance + " " + f["service"]
	e := s.current[key]
	if e == nil || f["state"] == "began" {
		e = &Episode{Service: f["service"], Dispatcher: strings.TrimSuffix(l.Instance, ".dispatcher"), Began: l.At, Refused: map[string]int{}, ShortOf: map[string]int{}}
		s.current[key] = e
		s.episodes = append(s.episodes, e)
	}
	e.Last, e.MostWaiting = l.At, max(e.MostWaiting, waiting)
	if level, err := strconv.ParseFloat(f["worst_level"], 64); err == nil {
		e.WorstLevel = max(e.WorstLevel, level)
	}
	for key, value := range f {
		if kind, ok := strings.CutSuffix(key, "_refused"); ok {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				e.Refused[kind] += n
				e.ShortOf[kind+" "+f[kind+"_short_of"]]++
			}
		}
	}
	if f["state"] == "ended" {
		e.Ended = true
		delete(s.current, key)
	}
}

// finish sorts what was counted.
func (s *overloadSummarizer) finish() *OverloadReport {
	r := &s.report
	for _, e := range s.episodes {
		r.Episodes = append(r.Episodes, *e)
	}
	for _, x := range s.refusals {
		slices.Sort(x.waited)
		n := len(x.waited)
		x.WaitedMs = [3]int{x.waited[n/2], x.waited[n*95/100], x.waited[n-1]}
		r.Refusals = append(r.Refusals, *x)
	}
	slices.SortFunc(r.Refusals, func(a, b Refusals) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	for _, name := range slices.Sorted(maps.Keys(s.workspaces)) {
		r.Workspaces = append(r.Workspaces, WorkspaceRefusals{name, s.workspaces[name]})
	}
	slices.SortStableFunc(r.Workspaces, func(a, b WorkspaceRefusals) int { return cmp.Compare(b.Count, a.Count) })
	return r
}
