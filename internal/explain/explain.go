// Package explain logs each routing or placement decision as one line and keeps the latest ones in memory, so that an
// operator can see why a request was handled as it was. It also finds a request's lines in the logs of instances.
package explain

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// historySize is the number of latest decisions that a Recorder keeps.
const historySize = 8192

// Decision is one logged decision.
type Decision struct {
	Kind    string // route, place, refuse, retry, resume, claim, ...
	Subject string
	Reason  decide.Reason
	fields  []any // pairs of key and value
}

// Fields returns the decision's key=value pairs, separated by spaces.
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

// Recorder logs decisions and keeps the latest ones. It is safe for concurrent use. Every request records decisions, so
// Record takes no lock of its own and formats nothing but the log line.
type Recorder struct {
	log  hclog.Logger
	next atomic.Uint64
	ring [historySize]atomic.Pointer[Decision]
}

// New returns a Recorder that logs to log's sub-logger "decision".
func New(log hclog.Logger) *Recorder {
	return &Recorder{log: log.Named("decision")}
}

// Record logs and keeps one decision about subject, which is a request id or the name of the object that the decision
// concerns. fields are pairs of key and value, and must not be changed afterwards.
func (r *Recorder) Record(kind, subject string, reason decide.Reason, fields ...any) {
	if r.log.IsInfo() {
		line := make([]any, 0, len(fields)+4)
		line = append(line, "subject", subject, "reason", string(reason))
		r.log.Info(kind, append(line, fields...)...)
	}
	slot := (r.next.Add(1) - 1) % historySize
	r.ring[slot].Store(&Decision{Kind: kind, Subject: subject, Reason: reason, fields: fields})
}

// ForSubject returns the kept decisions about subject, oldest first.
func (r *Recorder) ForSubject(subject string) []*Decision {
	var found []*Decision
	next := r.next.Load()
	for i := range uint64(historySize) {
		if d := r.ring[(next+i)%historySize].Load(); d != nil && d.Subject == subject {
			found = append(found, d)
		}
	}
	return found
}
