// Command damaskbench runs the routing experiments under virtual time and prints their tables and plots.
// It is a developers' tool and is not shipped.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&tableCommand{}, "")
	subcommands.Register(&vary{}, "")
	subcommands.Register(&plotCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
