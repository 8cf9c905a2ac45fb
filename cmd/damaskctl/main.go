// Command damaskctl is the command-line tool for operators.
//
// Exit statuses: 0 done; 1 failed; 2 usage; 3 conflict, the plan is no longer valid; 4 the instance is unreachable or
// the outcome is unknown.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses of all commands.
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
	for _, c := range commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background(), environment{in: os.Stdin, out: os.Stdout, err: os.Stderr})))
}

// commands returns all commands; each has its own file.
func commands() []subcommands.Command {
	return []subcommands.Command{
		&statusCommand{}, &planCommand{}, &confirmCommand{}, &stopCommand{}, &drainCommand{}, &restoreCommand{},
		&explainCommand{}, &lossesCommand{}, &overloadCommand{}, &versionCommand{}, &demoCommand{},
	}
}
