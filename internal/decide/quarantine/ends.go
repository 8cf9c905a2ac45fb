package quarantine

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// maxRecentEnds bounds the ends that are remembered.
const maxRecentEnds = 256

// end is the end of an upstream's process.
type end struct {
	process   fleet.Process
	at        decide.Instant // when it was first reported
	explained bool           // a verdict explains it
	settled   bool           // the reports on it are in
	requests  []*run         // those that the upstream held and that may be the cause
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

// find returns the end of a process, nil if none was reported.
func (es *recentEnds) find(p fleet.Process) *end {
	for _, e := range *es {
		if e.process == p {
			return e
		}
	}
	return nil
}
