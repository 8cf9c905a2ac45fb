package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the version of this program.
type versionCommand struct{}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "show the version of this program" }
func (*versionCommand) Usage() string    { return "damaskctl version\n" }

func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the version, the VCS revision and the Go version from the build information.
func (*versionCommand) Execute(_ context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(e.err, "this program carries no build information")
		return exitFailed
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Fprintf(e.out, "damaskctl %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return exitDone
}
