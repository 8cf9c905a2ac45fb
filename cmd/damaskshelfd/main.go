// Command damaskshelfd is one entry instance of damaskshelf.
//
// It reads its settings once, serves until SIGTERM or SIGINT, and then stops gracefully: requests in
// flight are finished. Further SIGTERMs change nothing, since a platform may send more than one; a SIGINT
// during the stop ends the requests that are left with an explicit error. Exit statuses:
// 0 stopped whole, 1 failed, 2 bad settings or usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
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

// logFlush bounds the writing of the last lines at the end.
const logFlush = 200 * time.Millisecond

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// catchSignals asks for all signals that the process handles. A hangup whose default stays in force would
// end the process with the requests in flight.
func catchSignals() (hangups, stops <-chan os.Signal) {
	h, s := make(chan os.Signal, 4), make(chan os.Signal, 2)
	signal.Notify(h, syscall.SIGHUP)
	signal.Notify(s, syscall.SIGTERM, os.Interrupt)
	return h, s
}

// run reads the arguments and settings and serves; it gives the exit status.
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
	sink := logsink.New(out)
	defer sink.Close(logFlush)
	log := hclog.New(&hclog.LoggerOptions{Name: "damaskshelfd", Level: hclog.LevelFromString(s.LogLevel), Output: sink})
	return serve(s, *path, log, sink, hangups, stops)
}

// instance is what the settings make of this process.
type instance interface {
	Start() error
	Stop() error
	Abort()
	// Reload puts what can change in force, and says what needs a restart.
	Reload(api.Settings)
}

func assemble(s api.Settings, log hclog.Logger, sink *logsink.Sink) (instance, error) {
	if s.Routed == nil {
		return node.New(s, node.Options{Log: log})
	}
	return routed.New(s, platform.NewAdapter(s.Routed.Store.Address), routed.Options{Log: log, DroppedLines: sink.Dropped})
}

func serve(s api.Settings, path string, log hclog.Logger, sink *logsink.Sink, hangups, signals <-chan os.Signal) int {
	n, err := assemble(s, log, sink)
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		log.Error("not started", "error", err)
		return exitFailed
	}
	reloading, endReloads := context.WithCancel(context.Background())
	defer endReloads()
	r := &reloader{path: path, log: log.Named("settings"), apply: n.Reload}
	go r.run(reloading, hangups)
	log.Info("signal", "name", <-signals)
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop() }()
	for {
		select {
		case err := <-stopped:
			if err != nil {
				return exitFailed
			}
			return exitDone
		case sig := <-signals:
			if sig != os.Interrupt {
				log.Info("already stopping", "signal", sig)
				continue
			}
			log.Warn("interrupted: ending what is left")
			n.Abort()
		}
	}
}
