// Package accept keeps listeners accepting while the process or its machine is short of resources.
package accept

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond // a connection that ends meanwhile is noticed within that time
	// failureAge is how long after a failure connections count as not accepted. While the shortage lasts, a next failure
	// comes sooner. Its end shows only by a next connection, which a balancer doesn't send to an instance that isn't ready.
	failureAge = 2 * maxPause
)

// Listener guards against an instance that accepts no connection any more, although it serves those it has and says that
// it is ready: servers take the lack of a descriptor for the end of their listener. Accept waits instead, and tries again.
type Listener struct {
	net.Listener
	log      hclog.Logger
	name     string
	failing  atomic.Bool  // since the last connection was accepted
	failedAt atomic.Int64 // time of the last failure since created, as a time.Duration
	created  time.Time
}

// Retrying returns a Listener. name says in log lines who connects to it.
func Retrying(l net.Listener, name string, log hclog.Logger) *Listener {
	return &Listener{Listener: l, log: log, name: name, created: time.Now()}
}

// Failing reports whether connections can't be accepted now.
func (l *Listener) Failing() bool {
	return l.failing.Load() && time.Since(l.created)-time.Duration(l.failedAt.Load()) < failureAge
}

// Accept returns the next connection. It returns an error only if no later call can succeed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		c, err := l.Listener.Accept()
		if err == nil {
			if l.failing.CompareAndSwap(true, false) {
				l.log.Info("connections are accepted again", "from", l.name)
			}
			return c, nil
		}
		if isFinal(err) {
			return nil, err
		}
		l.failedAt.Store(int64(time.Since(l.created)))
		if l.failing.CompareAndSwap(false, true) {
			l.log.Warn("connections can't be accepted for now", "from", l.name, "error", err)
		}
		time.Sleep(pause)
	}
}

// isFinal reports whether no call of accept(2) can succeed after this error: the listener is closed, or isn't one. All other
// errors of the operating system may pass: shortages, and what went wrong with the one connection that was to be accepted.
func isFinal(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return true
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT:
		return true
	default:
		return false
	}
}
