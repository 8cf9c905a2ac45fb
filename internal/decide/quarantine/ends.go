package quarantine

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// maxRecentEnds bounds the ends that are remembered.
	maxRecentEnds = 256
	// maxReported bounds the keys of one EndReport.
	maxReported = 8
)

// end is the end of an upstream's process.
type end struct {
	process   fleet.Process
	at        decide.Instant // when it was first reported
	explained bool           // a verdict explains it
	settled   bool           // the reports on it are in
	recalled  bool           // it was stated later, by Recall
	requests  []*run         // that the upstream held, and had just begun to answer if at all
	answered  []*run         // that it had answered for a while
}

// recentEnds are the latest ends, in the order of their first reports. Each of an upstream's requests reports its end.
type recentEnds []*end

// record returns the end of a process, and adds it if it is reported for the first time.
func (es *recentEnds) record(now decide.Instant, p fleet.Process) *end {
	if e := es.find(p); e != nil {
		return e
	}
	if len(*es) >= maxRecentEnds {
		*es = slices.Delete(*es, 0, 1)
	}
	e := &end{process: p, at: now}
	*es = append(*es, e)
	return e
}

// unsettled returns the ends whose reports are not known to be in. They are the latest ones, as ends settle in their order.
func (es recentEnds) unsettled() recentEnds {
	first := len(es)
	for first > 0 && !es[first-1].settled {
		first--
	}
	return es[first:]
}

// EndReport describes the end of an upstream's process as it was judged, for logs.
type EndReport struct {
	Upstream  fleet.Process
	Requests  int // that it held, and had just begun to answer if at all
	Answered  int // that it had answered for a while
	Explained bool
	Repeated  []RepeatedKey
}

// RepeatedKey is a key of a request on an upstream that ended, and under which others ended before.
type RepeatedKey struct {
	Key  Key
	Ends int // at different moments
}

// String returns the key and its ends as they appear in log lines.
func (r RepeatedKey) String() string { return fmt.Sprintf("%v:%d", r.Key, r.Ends) }

// report describes an end.
func (t *Table) report(e *end) EndReport {
	r := EndReport{Upstream: e.process, Requests: len(e.requests), Answered: len(e.answered), Explained: e.explained}
	for k, s := range t.suspects {
		if s.rounds > 1 && slices.Contains(s.ends, e) {
			r.Repeated = append(r.Repeated, RepeatedKey{k, s.rounds})
		}
	}
	for k, s := range t.late {
		if s.moments > 1 && s.bears(e) {
			r.Repeated = append(r.Repeated, RepeatedKey{k, s.moments})
		}
	}
	slices.SortFunc(r.Repeated, func(a, b RepeatedKey) int { return cmp.Or(b.Ends-a.Ends, cmp.Compare(a.Key, b.Key)) })
	r.Repeated = r.Repeated[:min(len(r.Repeated), maxReported)]
	return r
}

// addReport keeps the report on an end until it is taken. Only the latest are kept, as nobody may take them.
func (t *Table) addReport(e *end) {
	if len(t.reports) >= maxRecentEnds {
		t.reports = t.reports[1:]
	}
	t.reports = append(t.reports, t.report(e))
}

// TakeEnds returns the ends that were judged since the last call.
func (t *Table) TakeEnds() []EndReport {
	reports := t.reports
	t.reports = nil
	return reports
}

// find returns the end of a process, nil if none was reported.
func (es *recentEnds) find(p fleet.Process) *end {
	for _, e := range *es {
		if e.process == p {
			return e
		}
	}
	return nil
}
