// Package explain logs each routing or placement decision as one line and keeps the latest ones, so that
// an operator can ask why a request was handled as it was.
package explain

import (
	"fmt"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// kept is the number of latest decisions that can be explained.
const kept = 8192

// Decision is one decision as it was logged.
type Decision struct {
	Kind    string        `json:"kind"` // route, place, refuse, retry, resume, claim, ...
	Subject string        `json:"subject"`
	Reason  decide.Reason `json:"reason"`
	Fields  string        `json:"fields"` // key=value pairs
}

// Recorder logs decisions and keeps the latest. It is safe for concurrent use; recording takes a short
// lock after the decision was made.
type Recorder struct {
	log hclog.Logger

	mu   sync.Mutex
	ring [kept]Decision // guarded by mu
	next int            // guarded by mu
}

// New gives a Recorder that logs to log's sub-logger "decision".
func New(log hclog.Logger) *Recorder {
	return &Recorder{log: log.Named("decision")}
}

// Record logs one decision about subject, a request id or the name of what is placed. fields are pairs
// of key and value.
func (r *Recorder) Record(kind, subject string, reason decide.Reason, fields ...any) {
	line := append([]any{"subject", subject, "reason", string(reason)}, fields...)
	r.log.Info(kind, line...)
	d := Decision{Kind: kind, Subject: subject, Reason: reason, Fields: pairs(fields)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = d
	r.next = (r.next + 1) % kept
}

func pairs(fields []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%v=%v", fields[i], fields[i+1])
	}
	return b.String()
}

// About gives the kept decisions about subject, oldest first.
func (r *Recorder) About(subject string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for i := range kept {
		if d := r.ring[(r.next+i)%kept]; d.Subject == subject && d.Kind != "" {
			found = append(found, d)
		}
	}
	return found
}
