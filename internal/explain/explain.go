// Package explain logs each routing or placement decision as one line and keeps the latest ones, so that
// an operator can ask why a request was handled as it was.
package explain

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// kept is the number of latest decisions that can be explained.
const kept = 8192

// Decision is one decision as it was logged.
type Decision struct {
	Kind    string // route, place, refuse, retry, resume, claim, ...
	Subject string
	Reason  decide.Reason
	fields  []any // pairs of key and value
}

// Fields gives the decision's key=value pairs, separated by spaces.
func (d *Decision) Fields() string {
	var b strings.Builder
	for i := 0; i+1 < len(d.fields); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%v=%v", d.fields[i], d.fields[i+1])
	}
	return b.String()
}

// Recorder logs decisions and keeps the latest. It is safe for concurrent use. Recording takes no lock of
// its own and formats nothing but the log line, since it stands on the path of every request.
type Recorder struct {
	log  hclog.Logger
	next atomic.Uint64
	ring [kept]atomic.Pointer[Decision]
}

// New gives a Recorder that logs to log's sub-logger "decision".
func New(log hclog.Logger) *Recorder {
	return &Recorder{log: log.Named("decision")}
}

// Record logs one decision about subject, a request id or the name of what is placed. fields are pairs
// of key and value, and must not be changed afterwards.
func (r *Recorder) Record(kind, subject string, reason decide.Reason, fields ...any) {
	if r.log.IsInfo() {
		line := make([]any, 0, len(fields)+4)
		line = append(line, "subject", subject, "reason", string(reason))
		r.log.Info(kind, append(line, fields...)...)
	}
	slot := (r.next.Add(1) - 1) % kept
	r.ring[slot].Store(&Decision{Kind: kind, Subject: subject, Reason: reason, fields: fields})
}

// About gives the kept decisions about subject, oldest first.
func (r *Recorder) ForSubject(subject string) []*Decision {
	var found []*Decision
	next := r.next.Load()
	for i := range uint64(kept) {
		if d := r.ring[(next+i)%kept].Load(); d != nil && d.Subject == subject {
			found = append(found, d)
		}
	}
	return found
}
