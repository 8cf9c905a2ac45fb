// Command damaskbench runs the routing experiments under virtual time and prints their tables and plots.
// It is a developers' tool and is not shipped.
package main

import (
	"context"
	"flag"
	"os"
	_ "runtime/cgo" // links the C library, as all programs here are; nothing else here needs it

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&tableCommand{}, "")
	subcommands.Register(&vary{}, "")
	subcommands.Register(&outageCommand{}, "")
	subcommands.Register(&plotCommand{}, "")
	subcommands.Register(&flipCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
