package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errOverdue ends a send whose upstream has said nothing for too long.
var errOverdue = errors.New("upstream is silent: its answer is overdue")

// silentShare is the part of its caller's patience with a silent stream after which an upstream that falls silent
// midway is given up: what is left must do for the same at another one.
const silentShare = 0.5

// watchdog ends a send when its upstream falls silent, so that the request goes to another one. An upstream can lose
// an answer, or its connection can go silent for good while it serves others; without this the caller waits until it
// gives up, and the request is lost though other upstreams would serve it. Only what may be sent again is watched.
type watchdog struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	pause  time.Duration
	barked atomic.Bool
}

// watch gives the context of the next send. It is the request's own where nobody knows when an answer is due.
func (l *life) watch() context.Context {
	l.dog = nil
	overdue := l.grant.AnswerTimeout()
	if overdue == 0 || !l.r.route.Repeatable() || l.attempts+1 >= l.r.route.Attempts {
		return l.ctx
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	dog := &watchdog{cancel: cancel, pause: time.Duration(float64(l.r.silence()) * silentShare)}
	dog.timer = time.AfterFunc(overdue, func() { l.bark(dog) })
	l.dog = dog
	return ctx
}

// bark gives the send up, if the retry budget allows another one; otherwise the answer may still come.
func (l *life) bark(dog *watchdog) {
	if l.g.deps.RetryBudget.Allows(l.r.service) {
		dog.barked.Store(true)
		dog.cancel(errOverdue)
	}
}

// heard takes that an event came.
func (l *life) heard() {
	if l.dog != nil {
		l.dog.timer.Reset(l.dog.pause)
	}
}

// unwatch ends the watch of a send that is over.
func (l *life) unwatch() {
	if l.dog != nil {
		l.dog.timer.Stop()
		l.dog.cancel(nil)
	}
}

// overdue tells whether the send was given up for its upstream's silence.
func (l *life) overdue() bool { return l.dog != nil && l.dog.barked.Load() }
