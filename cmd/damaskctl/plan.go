package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/operate"
)

// planCommand requests a plan for an intent from an instance.
type planCommand struct {
	target
	file  string
	force bool
}

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "show what an intent would change; nothing is changed" }
func (*planCommand) Usage() string {
	return `damaskctl plan -f INTENT.json [-force] [-addr IP:PORT] [-token-file FILE] [-o json]
Makes a plan from the intent and keeps it. 'damaskctl confirm PLAN' carries it out.
-force accepts a plan that takes a model below its floor; the plan says which.
`
}

func (cmd *planCommand) SetFlags(f *flag.FlagSet) {
	cmd.setFlags(f)
	f.StringVar(&cmd.file, "f", "", "intent `file`")
	f.BoolVar(&cmd.force, "force", false, "accept a plan that breaks a floor")
}

// Execute reads the intent file, and requests and prints a plan for it. An unreadable or invalid file is a
// usage error.
func (cmd *planCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 0) {
		return exitUsage
	}
	data, err := os.ReadFile(cmd.file)
	if err != nil {
		fmt.Fprintf(e.err, "-f: %v\n", err)
		return exitUsage
	}
	intent, err := api.ParseIntent(data)
	if err != nil {
		fmt.Fprintf(e.err, "%s: %v\n", cmd.file, err)
		return exitUsage
	}
	return cmd.propose(e, api.Change{Intent: &intent, Force: cmd.force})
}

// propose requests a plan for the change from the instance and prints it.
func (t *target) propose(e environment, change api.Change) subcommands.ExitStatus {
	var p api.Plan
	if err := t.call(fasthttp.MethodPost, operate.PathPlans, change, &p); err != nil {
		return reportError(e, err)
	}
	t.print(e, p, func(w io.Writer) { printPlan(w, p) })
	return exitDone
}

// printPlan prints the plan: its effects, its steps with their cost, and how to confirm it while it is only proposed.
func printPlan(w io.Writer, p api.Plan) {
	fmt.Fprintf(w, "plan %s (%s), made from configuration version %d\n", p.ID, p.State, p.Base.ConfigVersion)
	for _, line := range p.Summary {
		fmt.Fprintf(w, "  %s\n", line)
	}
	for _, line := range p.Impact {
		fmt.Fprintf(w, "  hurt: %s\n", line)
	}
	for _, s := range p.Steps {
		fmt.Fprintf(w, "  stage %d: %s %s\n", s.Stage, s.Upstream, describeStep(s))
	}
	if c := p.Cost; c.Loads+c.Unloads > 0 {
		fmt.Fprintf(w, "  cost: %d loads, %d unloads, %d GB from the weight store", c.Loads, c.Unloads, c.WeightStoreGB)
		if c.MinSeconds > 0 {
			fmt.Fprintf(w, ", at least %d s", c.MinSeconds)
		}
		fmt.Fprintln(w)
	}
	if p.Forced {
		fmt.Fprintln(w, "  FORCED: this plan breaks what a plan otherwise keeps")
	}
	if p.State == api.PlanProposed {
		fmt.Fprintf(w, "nothing has changed; to carry it out: damaskctl confirm %s\n", p.ID)
	}
}

// describeStep returns the action of a step, its model or adapter, and the size of the weights to load.
func describeStep(s api.Step) string {
	what := s.Model + "@" + s.Version
	if s.Adapter != "" {
		what += " adapter " + s.Adapter
	}
	if s.WeightGB > 0 {
		return fmt.Sprintf("%s %s (%d GB)", s.Kind, what, s.WeightGB)
	}
	return s.Kind + " " + what
}
