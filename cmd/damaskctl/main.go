// Command damaskctl is the operators' tool.
//
// Exit statuses: 0 done; 1 failed; 2 usage; 3 conflict, the plan no longer holds; 4 the instance can't be
// reached or the outcome is unknown.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses of all verbs.
const (
	exitDone        = subcommands.ExitSuccess
	exitFailed      = subcommands.ExitFailure
	exitUsage       = subcommands.ExitUsageError
	exitConflict    = subcommands.ExitStatus(3)
	exitUnreachable = subcommands.ExitStatus(4)
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range verbs() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background(), environment{in: os.Stdin, out: os.Stdout, err: os.Stderr})))
}

// verbs lists every verb; each has its own file.
func verbs() []subcommands.Command {
	return []subcommands.Command{
		&statusVerb{}, &planVerb{}, &confirmVerb{}, &stopVerb{}, &drainVerb{}, &restoreVerb{},
		&explainVerb{}, &lossesVerb{}, &versionVerb{}, &demoVerb{},
	}
}
