package dispatch

// Overload control applies under ByForecast. Its parts are in files of their own: admission.go with
// forecast.go and history.go, returns.go, shares.go and slowdown.go. docs/design/overload.md describes them.

// promptKind is a kind of prompt by the resources that limit it.
type promptKind uint8

const (
	shortPrompt     promptKind = iota // packed; limited by slots
	longPrompt                        // spread; limited by prefill time and the KV cache of the answering engine
	oversizedPrompt                   // exceeds the KV cache of one engine
	promptKinds     = iota            // their number
)

// String returns the name of the kind in logs and metrics.
func (k promptKind) String() string {
	return [promptKinds]string{"short", "long", "oversized"}[k]
}

// kindOf returns the kind of the job's prompt. Jobs of a plain service are short.
func (s *State) kindOf(j *Job) promptKind {
	switch {
	case s.model == nil || !s.isLong(j):
		return shortPrompt
	case s.oversized(j):
		return oversizedPrompt
	default:
		return longPrompt
	}
}

// Kind returns the name of the job's kind in logs and metrics.
func (s *State) Kind(j *Job) string {
	if s.model == nil {
		return plainRequest
	}
	return s.kindOf(j).String()
}

// plainRequest names the requests of a plain service in logs and metrics.
const plainRequest = "plain"

// byForecast reports whether overload control applies. A plain service has no model, and so no forecast.
func (s *State) byForecast() bool { return s.params.Admission == ByForecast && s.model != nil }
