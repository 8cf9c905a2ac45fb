package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// A caller whose prompt was refused comes back once, with an attempt of its own id. To be refused again is worse
// than a little more waiting for others that came for the first time.

const (
	// returnTime is how long a refused prompt is remembered: the longest Retry-After that callers heed, a third
	// of their time of 15 s, and as much again.
	returnTime = 10 * time.Second
	// maxRemembered bounds the refused prompts that are remembered, some 100 bytes each.
	maxRemembered = 4096
	// returnedShare is the part of its reading by which a prompt that came back is ordered.
	returnedShare = 0.25
)

// visit tells a caller's prompt from others across its attempts.
type visit struct {
	workspace fleet.WorkspaceID
	subject   string
	prompt    int
	output    int
}

func visitOf(j *Job) visit { return visit{j.Workspace, j.Subject, j.Prompt, j.Output} }

// remember notes that a prompt was refused.
func (s *State) remember(now decide.Instant, j *Job) {
	if j.Subject == "" {
		return
	}
	if len(s.turnedAway) >= maxRemembered {
		s.forgetVisits(now)
	}
	if len(s.turnedAway) < maxRemembered {
		s.turnedAway[visitOf(j)] = now
	}
}

// returned tells whether the prompt was refused a while before it came.
func (s *State) returned(j *Job) bool {
	at, ok := s.turnedAway[visitOf(j)]
	return ok && j.Arrived.Sub(at) < returnTime
}

func (s *State) forgetVisits(now decide.Instant) {
	for v, at := range s.turnedAway {
		if now.Sub(at) >= returnTime {
			delete(s.turnedAway, v)
		}
	}
}
