package crash_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/crash"
)

// failAt dereferences a nil pointer.
func failAt(p *int) int { return *p }

// Guards against a process whose end no log line explains: the panic is reported with its goroutine and stack, and is
// not swallowed.
func TestPanicIsReportedAndNotSwallowed(t *testing.T) {
	for _, c := range []struct {
		name        string
		body        func()
		cause, line string
	}{
		{"error of the runtime", func() { failAt(nil) }, "nil pointer dereference", "crash_test.failAt crash_test.go:"},
		{"value", func() { panic(errors.New("two\nlines")) }, "two\nlines", "TestPanicIsReportedAndNotSwallowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []crash.Panic
			crash.OnReport(func(p crash.Panic) { got = append(got, p) })
			defer crash.OnReport(nil)
			func() {
				defer func() { is.True(strings.Contains(recover().(error).Error(), c.cause)) }() // the panic goes on
				defer crash.Report("worker")
				c.body()
			}()
			is.Equal(len(got), 1)
			is.Equal(got[0].Goroutine, "worker")
			is.True(strings.Contains(got[0].Cause.(error).Error(), c.cause))
			is.True(strings.Contains(got[0].Stack, c.line))
			is.True(!strings.Contains(got[0].Stack, "\n"))
		})
	}
}

// A goroutine that returns in order reports nothing.
func TestOrderlyReturnIsNotReported(t *testing.T) {
	is := is.New(t)
	reports := 0
	crash.OnReport(func(crash.Panic) { reports++ })
	defer crash.OnReport(nil)
	func() { defer crash.Report("worker") }()
	is.Equal(reports, 0)
}
