// Package crash reports a panic that ends the process before it does so. The runtime writes its trace to standard error
// only, where no line of the log tells why the process ended.
package crash

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
)

// maxFrames bounds the frames of a panic's stack.
const maxFrames = 24

// Panic describes a panic.
type Panic struct {
	Goroutine string // name of the goroutine, as passed to Report
	Cause     any    // value of the panic
	Stack     string // as returned by Stack
}

var (
	mu       sync.Mutex  // held while handle runs, so that a second panic doesn't end the process meanwhile
	onReport func(Panic) // guarded by mu; nil: panics are not reported
)

// OnReport sets the function that Report calls with each panic. It replaces the one set before.
func OnReport(f func(Panic)) {
	mu.Lock()
	defer mu.Unlock()
	onReport = f
}

// Report is deferred at the start of a goroutine whose panic ends the process. It reports the panic and panics again with
// the same value, so that the process ends with the runtime's trace. It does nothing if the goroutine returns in order.
func Report(goroutine string) {
	cause := recover()
	if cause == nil {
		return
	}
	handle(Panic{goroutine, cause, Stack()})
	panic(cause)
}

// handle calls the function set by OnReport.
func handle(p Panic) {
	mu.Lock()
	defer mu.Unlock()
	if onReport != nil {
		onReport(p)
	}
}

// Stack returns the stack of the panic that the calling deferred function has recovered from, in one line and with the
// innermost frame first: "package.function file:line < package.function file:line".
func Stack() string {
	counters := make([]uintptr, 2*maxFrames)
	frames := runtime.CallersFrames(counters[:runtime.Callers(1, counters)])
	var out []string
	panicking := false
	for {
		f, more := frames.Next()
		inRuntime := strings.HasPrefix(f.Function, "runtime.")
		if panicking && !inRuntime && len(out) < maxFrames {
			out = append(out, fmt.Sprintf("%s %s:%d", f.Function, filepath.Base(f.File), f.Line))
		}
		panicking = panicking || f.Function == "runtime.gopanic"
		if !more {
			return strings.Join(out, " < ")
		}
	}
}
