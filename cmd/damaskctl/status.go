package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/operate"
)

// statusCommand prints the fleet's status, read from one instance or from the metadata store.
type statusCommand struct {
	target
	storeTarget
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show what one instance knows of the fleet" }
func (*statusCommand) Usage() string {
	return `damaskctl status [-addr IP:PORT] [-token-file FILE] [-o json]
damaskctl status -store IP:PORT [-o json]
Shows the configuration in force, the plan that made it and how far it is worked off, failure domains
taken out, and how many upstreams serve each model. It answers while the platform's store is down.
With -store: what the metadata store says of a fleet that forwards routed requests: the configuration's
version, the instances in the order in which they dispatch, each service's upstreams, failure domains out.
`
}

func (cmd *statusCommand) SetFlags(f *flag.FlagSet) {
	cmd.setFlags(f)
	cmd.setStoreFlag(f)
}

// Execute prints the status that the instance returns or, with -store, the one from the metadata store.
func (cmd *statusCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 0) {
		return exitUsage
	}
	if cmd.storeAddr != "" {
		return cmd.showFleetStatus(e)
	}
	var s api.Status
	if err := cmd.call(fasthttp.MethodGet, operate.PathStatus, nil, &s); err != nil {
		return reportError(e, err)
	}
	cmd.print(e, s, func(w io.Writer) { printStatus(w, s) })
	return exitDone
}

// printStatus prints the status that an instance returned, one line per subject. Lines without a value are left out.
func printStatus(w io.Writer, s api.Status) {
	fmt.Fprintf(w, "instance       %s\n", s.Instance)
	fmt.Fprintf(w, "configuration  version %d", s.ConfigVersion)
	if s.PlanID != "" {
		fmt.Fprintf(w, ", made by plan %s", s.PlanID)
	}
	if s.PlanState != "" {
		fmt.Fprintf(w, " (%s)", s.PlanState)
	}
	fmt.Fprintln(w)
	if s.InForce != nil {
		fmt.Fprintf(w, "in force       version %d on %d of %d instances\n", s.InForce.Version, s.InForce.Applied, s.InForce.Instances)
	}
	if p := s.Progress; p != nil {
		fmt.Fprintf(w, "progress       %d of %d steps, stage %d of %d\n", p.StepsDone, p.Steps, p.Stage, p.Stages)
	}
	fmt.Fprintf(w, "upstreams      %d live, %d leaving, %d out\n", s.Upstreams.Live, s.Upstreams.Leaving, s.Upstreams.Out)
	if len(s.DomainsOut) > 0 {
		fmt.Fprintf(w, "out            %s\n", strings.Join(s.DomainsOut, ", "))
	}
	for _, m := range s.Models {
		fmt.Fprintf(w, "model          %s: %d serving, %d wanted, floor %d\n", m.Name, m.Serving, m.Wanted, m.Floor)
	}
	for _, m := range s.Services {
		fmt.Fprintf(w, "service        %s: %d serving\n", m.Name, m.Serving)
	}
	for _, n := range s.Notes {
		fmt.Fprintf(w, "note           %s\n", n)
	}
}
