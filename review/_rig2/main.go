// Command review2-rig plays the cases of the second review. It starts instances of damaskshelfd as processes of their own, with the
// stand-in of the platform's store and stand-ins of workers in its own process, and judges what clients and workers see.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. It returns what broke the rule.
type play func(w *world, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"order-bom":  playOrder,
	"stop-early": playStop,
	"revision":   playRevision,
}

func main() {
	name := flag.String("case", "", "the case")
	daemon := flag.String("daemon", "", "path of damaskshelfd")
	record := flag.String("record", "", "path of the record to write")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	status, err := run(plays[*name], *daemon, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review2-rig:", err)
		status = exitNotRun
	}
	os.Exit(status)
}

// run plays a case in a world of its own and writes its record.
func run(p play, daemon, recordPath string, trouble bool) (status int, err error) {
	if p == nil {
		return exitNotRun, errors.New("no such case")
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return exitNotRun, err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	w, err := newWorld(daemon, r)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	r.printf("disruption: %t", trouble)
	broken, err := p(w, trouble)
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun, err
	}
	for _, b := range broken {
		r.printf("BROKEN %s", b)
	}
	fmt.Println("broken:", len(broken))
	if len(broken) > 0 {
		return exitBroken, nil
	}
	r.printf("the rule held")
	return exitHeld, nil
}
