package dispatch

import "github.com/damaskshelf/damaskshelf/internal/decide"

// Resource is what a kind of prompt is short of.
type Resource string

// The resources.
const (
	Slots       Resource = "slots"
	PrefillTime Resource = "prefill"
	KVCache     Resource = "kv_cache"
)

// KindLoad is the load by prompts of one kind.
type KindLoad struct {
	Kind    string
	Waiting int      // queued jobs, without those of callers that returned early
	ShortOf Resource // what the last job of the kind that could not be placed waits for longest; empty: none waited yet
}

// Load is what operators see of a service under ByForecast.
type Load struct {
	Kinds            []KindLoad
	Waiting, Running int     // jobs
	FreedPerS        float64 // slots that are expected to become free per second
	AskedPerS        float64 // slots that jobs in time ask for per second
	Promises         int     // to callers that were refused
	PromisesKept     uint64  // used by callers that returned when due, since this dispatcher began
	Workspaces       int     // with jobs
	WorstLevel       float64 // highest dominant share of a workspace with jobs, relative to its equal part
	MeanLevel        float64
}

// Load returns the load as of the last step.
func (s *State) Load(now decide.Instant) Load {
	l := Load{Waiting: s.Waiting(), Running: len(s.runs)}
	l.Kinds = make([]KindLoad, promptKinds)
	for k := range l.Kinds {
		l.Kinds[k] = KindLoad{Kind: promptKind(k).String(), ShortOf: s.forecast.bottleneck[k]}
	}
	for _, j := range s.queue {
		l.Kinds[s.kindOf(j)].Waiting++
	}
	l.FreedPerS, l.AskedPerS = s.forecast.slots.PerMs*thousand, s.history.slots.PerMs(now, arrivalWindow)*thousand
	l.Promises, l.PromisesKept = s.Promises()
	if s.shares != nil {
		l.Workspaces, l.WorstLevel, l.MeanLevel = s.shares.table.Levels(now)
	}
	return l
}

// ByForecast reports whether overload control applies to the service.
func (s *State) ByForecast() bool { return s.byForecast() }
