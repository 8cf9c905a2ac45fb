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

// waitPause is the time between two looks at how far a version has spread.
const waitPause = 200 * time.Millisecond

type confirmVerb struct {
	target
	wait time.Duration
}

func (*confirmVerb) Name() string { return "confirm" }
func (*confirmVerb) Synopsis() string {
	return "carry out a plan, if nothing has changed since it was made"
}
func (*confirmVerb) Usage() string {
	return `damaskctl confirm [-wait DURATION] [-addr IP:PORT] [-token-file FILE] [-o json] PLAN
Puts the plan's configuration in force. It is refused with exit status 3 if the configuration has changed
since the plan was made. Exit status 4 means that the outcome is unknown: ask 'damaskctl status', or
confirm the same plan again, which does no harm.
-wait shows in how many instances the new version is in force, until all have it or the time is over.
`
}

func (v *confirmVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.DurationVar(&v.wait, "wait", 0, "how long to wait until every instance has it in force")
}

func (v *confirmVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usage(e, f, 1) {
		return exitUsage
	}
	var c api.Confirmation
	if err := v.call(fasthttp.MethodPost, planPath(operate.PathConfirm, f.Arg(0)), nil, &c); err != nil {
		return exit(e, err)
	}
	v.print(e, c, func(w io.Writer) {
		fmt.Fprintf(w, "plan %s is accepted: configuration version %d\n", c.PlanID, c.ConfigVersion)
	})
	if v.wait <= 0 {
		return exitDone
	}
	return v.spread(e, c.ConfigVersion)
}

// spread shows in how many instances a version is in force until all have it.
func (v *confirmVerb) spread(e environment, version uint64) subcommands.ExitStatus {
	deadline := time.Now().Add(v.wait)
	shown := ""
	for {
		var s api.Status
		err := v.call(fasthttp.MethodGet, fmt.Sprintf("%s?version=%d", operate.PathStatus, version), nil, &s)
		if err != nil {
			return exit(e, err)
		}
		if s.InForce == nil {
			fmt.Fprintln(e.err, "this instance can't tell where the version is in force")
			return exitFailed
		}
		line := fmt.Sprintf("in force on %d of %d instances", s.InForce.Applied, s.InForce.Instances)
		if line != shown && !v.json() {
			fmt.Fprintln(e.out, line)
			shown = line
		}
		if s.InForce.Applied >= s.InForce.Instances && s.InForce.Instances > 0 {
			return exitDone
		}
		if time.Now().After(deadline) {
			fmt.Fprintln(e.err, line+" when the time was over; the version stays accepted")
			return exitFailed
		}
		time.Sleep(waitPause)
	}
}

// planPath puts a plan's id into a path.
func planPath(path, id string) string {
	return strings.Replace(path, "{id}", url.PathEscape(id), 1)
}
