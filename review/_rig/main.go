// Command rig runs one case of the review. It starts daemons as separate processes on loopback addresses, with the
// stand-ins of the platform in this process, and checks one rule by what clients and workers see.
//
// Exit statuses: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength ends a case that hangs.
const maxLength = 100 * time.Second

// cases are the cases by name, which their files add. Each returns the number of times that the rule was broken.
var cases = map[string]func(*world, bool) (int, error){}

// init keeps main on the process's first thread. The daemons are started from there, and end with that thread.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "", "path of damaskshelfd")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *daemon, *out, *trouble))
}

// run runs a case and returns the exit status.
func run(name, daemon, out string, trouble bool) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "rig: no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(daemon, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer w.close()
	go endOnSignal(w)
	w.rec.linef("case %s, trouble %v", name, trouble)
	broken, err := f(w, trouble)
	if err != nil {
		w.rec.linef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	w.rec.linef("broken: %d", broken)
	fmt.Printf("%s, trouble %v: rule broken %d times\n", name, trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// endOnSignal ends the daemons and this process on a signal to stop, or when the case takes too long.
func endOnSignal(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	w.close()
	os.Exit(exitNotRun)
}
