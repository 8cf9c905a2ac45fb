// Command damaskbench runs the routing experiments in virtual time and prints their tables and plots. It is a tool for
// developers and is not shipped.
package main

import (
	"context"
	"flag"
	"os"
	_ "runtime/cgo" // links the C library, as in all programs of this project; nothing else needs it

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&tableCommand{}, "")
	subcommands.Register(&varyCommand{}, "")
	subcommands.Register(&outageCommand{}, "")
	subcommands.Register(&plotCommand{}, "")
	subcommands.Register(&flipCommand{}, "")
	subcommands.Register(&overloadCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
