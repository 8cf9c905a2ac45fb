// Command damaskshelfd runs one instance of damaskshelf.
//
// It reads its settings at the start and again when the file changes. It serves until SIGTERM or SIGINT, and then
// makes a planned stop: it waits for the requests in flight. During the stop, further SIGTERMs have no effect, since a
// platform may send more than one; a SIGINT ends the requests still in flight with an explicit error.
//
// Exit statuses: 0 the planned stop completed, 1 the start or the stop failed, 2 invalid settings or usage, or a
// panic.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/logsink"
	"github.com/damaskshelf/damaskshelf/internal/node"
	"github.com/damaskshelf/damaskshelf/internal/routed"
	"github.com/damaskshelf/damaskshelf/platform"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// exitPanicked is the exit status that the runtime chooses for a panic.
const exitPanicked = 2

// logFlushTimeout limits the time for writing the last log lines before the process exits.
const logFlushTimeout = 200 * time.Millisecond

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// catchSignals registers for all signals that the process handles. SIGHUP must be among them: its default action ends
// the process, and the requests in flight with it. SIGPIPE is ignored: the runtime ends the process at a write to standard
// output or standard error whose reader is gone, unless the signal is handled.
func catchSignals() (hangups, stops <-chan os.Signal) {
	h, s := make(chan os.Signal, 4), make(chan os.Signal, 2)
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(h, syscall.SIGHUP)
	signal.Notify(s, syscall.SIGTERM, os.Interrupt)
	return h, s
}

// run parses the arguments, loads the settings and serves. It returns the exit status.
func run(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("damaskshelfd", flag.ContinueOnError)
	flags.SetOutput(errOut)
	path := flags.String("settings", "", "settings file (JSON)")
	check := flags.Bool("check", false, "check the settings and stop")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		return exitUsage
	}
	hangups, stops := catchSignals()
	s, err := api.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(errOut, "damaskshelfd:", err)
		return exitUsage
	}
	if *check {
		fmt.Fprintln(out, "settings are good")
		return exitDone
	}
	log, sink := openLog(s, out)
	defer sink.Close(logFlushTimeout)
	status, reason := serve(s, *path, log, sink, hangups, stops)
	log.Named(s.Instance).Info("process ends", "reason", reason, "exit_status", status)
	return status
}

// openLog returns a logger that writes to out through the returned sink. It logs the panic that ends the process, too.
func openLog(s api.Settings, out io.Writer) (hclog.Logger, *logsink.Sink) {
	sink := logsink.New(out)
	log := hclog.New(&hclog.LoggerOptions{Name: "damaskshelfd", Level: hclog.LevelFromString(s.LogLevel), Output: sink})
	crash.OnReport(func(p crash.Panic) { logPanic(log.Named(s.Instance), sink, p) })
	return log, sink
}

// logPanic logs the panic that ends the process, and waits at most logFlushTimeout until the line is written. It ends the
// process itself if standard error takes no bytes: the runtime would wait without limit to write its trace.
func logPanic(log hclog.Logger, sink *logsink.Sink, p crash.Panic) {
	cause := strings.ReplaceAll(fmt.Sprint(p.Cause), "\n", " | ")
	log.Error("process ends", "reason", "panic", "exit_status", exitPanicked, "goroutine", p.Goroutine, "cause", cause, "stack", p.Stack)
	sink.Close(logFlushTimeout)
	if isBlocked(syscall.Stderr) {
		os.Exit(exitPanicked)
	}
}

// isBlocked reports whether a descriptor takes no bytes within logFlushTimeout, as that of a full pipe.
func isBlocked(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
	for limit := time.Now().Add(logFlushTimeout); ; {
		n, err := unix.Poll(fds, max(0, int(time.Until(limit).Milliseconds())))
		if err == unix.EINTR {
			continue
		}
		return err == nil && n == 0
	}
}

// instance is the server that the process runs. The settings select its implementation.
type instance interface {
	Start() error
	Stop() error
	Abort()
	// Failed returns a channel that receives why the instance can't go on to serve.
	Failed() <-chan error
	// Reload applies the settings that can change at run time, and logs whether others need a restart.
	Reload(api.Settings)
}

// newInstance returns an instance that forwards routed requests if the settings have a routed part, and otherwise one
// that serves completions and plain services.
func newInstance(s api.Settings, log hclog.Logger, sink *logsink.Sink) (instance, error) {
	if s.Routed == nil {
		return node.New(s, node.Options{Log: log})
	}
	return routed.New(s, platform.NewAdapter(s.Routed.Store.Address), routed.Options{Log: log, DroppedLines: sink.Dropped})
}

// heapShare is the fraction of the process's memory above which the garbage collector runs more often. The rest is for
// what it doesn't count, such as the buffers of sockets.
const heapShare = 0.6

// limitMemory makes the garbage collector respect the process's memory, if the settings specify it.
func limitMemory(s api.Settings) {
	if s.Routed != nil && s.Routed.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * s.Routed.Limits.MemoryMB * (1 << 20)))
	}
}

// serve starts the instance, waits for a signal to stop or for a failure, and stops it. An interrupt during the stop aborts the requests
// in flight. It returns the exit status and the reason of the end, in one word.
func serve(s api.Settings, path string, log hclog.Logger, sink *logsink.Sink, hangups, signals <-chan os.Signal) (status int, reason string) {
	defer crash.Report("main")
	limitMemory(s)
	inst, err := newInstance(s, log, sink)
	if err == nil {
		err = inst.Start()
	}
	if err != nil {
		log.Error("not started", "error", err)
		return exitFailed, "not_started"
	}
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	defer stopReloads()
	r := &reloader{path: path, log: log.Named("settings"), apply: inst.Reload}
	go func() {
		defer crash.Report("settings")
		r.run(reloadCtx, hangups)
	}()
	failed := awaitEnd(inst, log, signals)
	stopped := make(chan error, 1)
	go func() {
		defer crash.Report("stop")
		stopped <- inst.Stop()
	}()
	for {
		select {
		case err := <-stopped:
			return endOf(failed, err)
		case sig := <-signals:
			if sig != os.Interrupt {
				log.Info("already stopping", "signal", sig)
				continue
			}
			log.Warn("interrupted; aborting the requests still in flight")
			inst.Abort()
		}
	}
}

// awaitEnd waits until the instance is to be stopped, and reports whether it is because it has failed.
func awaitEnd(inst instance, log hclog.Logger, signals <-chan os.Signal) (failed bool) {
	select {
	case sig := <-signals:
		log.Info("signal", "name", sig)
		return false
	case err := <-inst.Failed():
		log.Error("instance can't go on to serve; it stops", "error", err)
		return true
	}
}

// endOf returns the exit status and the reason of the end of an instance whose stop returned stopErr.
func endOf(failed bool, stopErr error) (status int, reason string) {
	switch {
	case failed:
		return exitFailed, "failed"
	case stopErr != nil:
		return exitFailed, "stop_failed"
	default:
		return exitDone, "stopped"
	}
}
