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
		if !isShortage(err) {
			return nil, err
		}
		l.failedAt.Store(int64(time.Since(l.created)))
		if l.failing.CompareAndSwap(false, true) {
			l.log.Warn("connections can't be accepted for now", "from", l.name, "error", err)
		}
		time.Sleep(pause)
	}
}

// isShortage reports whether an error of accept(2) may pass: a shortage of resources, or a connection that ended before it
// was accepted.
func isShortage(err error) bool {
	for _, passing := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
