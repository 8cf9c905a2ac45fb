package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/operate"
)

// statusPollInterval is the time between two polls of the number of instances that have a version in force.
const statusPollInterval = 200 * time.Millisecond

// confirmCommand confirms a plan, and optionally waits until its configuration is in force.
type confirmCommand struct {
	target
	wait time.Duration
}

func (*confirmCommand) Name() string { return "confirm" }
func (*confirmCommand) Synopsis() string {
	return "carry out a plan, if nothing has changed since it was made"
}
func (*confirmCommand) Usage() string {
	return `damaskctl confirm [-wait DURATION] [-addr IP:PORT] [-token-file FILE] [-o json] PLAN
Puts the plan's configuration in force. It is refused with exit status 3 if the configuration has changed
since the plan was made. Exit status 4 means that the outcome is unknown: ask 'damaskctl status', or
confirm the same plan again, which does no harm.
-wait shows in how many instances the new version is in force, until all have it or the time is over.
`
}

func (cmd *confirmCommand) SetFlags(f *flag.FlagSet) {
	cmd.setFlags(f)
	f.DurationVar(&cmd.wait, "wait", 0, "how long to wait until the configuration is in force on every instance")
}

// Execute confirms the plan and, with -wait, waits until its configuration is in force on every instance.
func (cmd *confirmCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 1) {
		return exitUsage
	}
	var c api.Confirmation
	if err := cmd.call(fasthttp.MethodPost, pathWithID(operate.PathConfirm, f.Arg(0)), nil, &c); err != nil {
		return reportError(e, err)
	}
	cmd.print(e, c, func(w io.Writer) {
		fmt.Fprintf(w, "plan %s is accepted: configuration version %d\n", c.PlanID, c.ConfigVersion)
	})
	if cmd.wait <= 0 {
		return exitDone
	}
	return cmd.awaitInForce(e, c.ConfigVersion)
}

// awaitInForce prints on how many instances the version is in force, until it is in force on all of them or the wait
// ends.
func (cmd *confirmCommand) awaitInForce(e environment, version uint64) subcommands.ExitStatus {
	deadline := time.Now().Add(cmd.wait)
	printed := ""
	for {
		var s api.Status
		err := cmd.call(fasthttp.MethodGet, fmt.Sprintf("%s?version=%d", operate.PathStatus, version), nil, &s)
		if err != nil {
			return reportError(e, err)
		}
		if s.InForce == nil {
			fmt.Fprintln(e.err, "this instance does not report where the version is in force")
			return exitFailed
		}
		line := fmt.Sprintf("in force on %d of %d instances", s.InForce.Applied, s.InForce.Instances)
		if line != printed && !cmd.json() {
			fmt.Fprintln(e.out, line)
			printed = line
		}
		if s.InForce.Applied >= s.InForce.Instances && s.InForce.Instances > 0 {
			return exitDone
		}
		if time.Now().After(deadline) {
			fmt.Fprintln(e.err, line+" at the end of the wait; the version stays accepted")
			return exitFailed
		}
		time.Sleep(statusPollInterval)
	}
}

// pathWithID replaces {id} in the path by the escaped id of a plan or a request.
func pathWithID(path, id string) string {
	return strings.Replace(path, "{id}", url.PathEscape(id), 1)
}
