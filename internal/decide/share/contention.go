package share

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// ContentionMemory is the time for which jobs that waited count as waiting. A run holds its slot for seconds, while the
// jobs of others wait for moments. Without a memory, the moment after one of them was placed, a workspace over its share
// would take all that is free.
const ContentionMemory = 300 * time.Millisecond

// Contention records whose jobs waited last. The zero value has recorded none.
type Contention struct {
	last, other waiter // of different workspaces; last is the later one
}

// waiter is a workspace whose job waited.
type waiter struct {
	workspace fleet.WorkspaceID
	at        decide.Instant
	known     bool
}

// Note records that a job of the workspace waits at now.
func (c *Contention) Note(now decide.Instant, a *Account) {
	if c.last.known && c.last.workspace != a.workspace {
		c.other = c.last
	}
	c.last = waiter{a.workspace, now, true}
}

// Any reports whether a job of any workspace waited within ContentionMemory.
func (c *Contention) Any(now decide.Instant) bool { return c.last.recent(now) }

// ByOthers reports whether a job of another workspace than the account's waited within ContentionMemory.
func (c *Contention) ByOthers(now decide.Instant, a *Account) bool {
	if c.last.workspace != a.workspace {
		return c.last.recent(now)
	}
	return c.other.recent(now)
}

// recent reports whether the job waited within ContentionMemory.
func (w *waiter) recent(now decide.Instant) bool {
	return w.known && now.Sub(w.at) <= ContentionMemory
}
