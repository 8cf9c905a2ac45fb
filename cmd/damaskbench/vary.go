package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/bench"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
)

// varyCommand measures the policy with one parameter of its profile changed.
type varyCommand struct {
	options
	name        string
	values      string
	baseChanges string
}

// parameters holds, by the name on the command line, the functions that set a parameter of a profile.
var parameters = map[string]func(p *pick.Profile, v float64){
	"choices":    func(p *pick.Profile, v float64) { p.RandomChoices = int(v) },
	"affine":     func(p *pick.Profile, v float64) { p.PrefixChoices = int(v) },
	"others":     func(p *pick.Profile, v float64) { p.PeerWeight = v },
	"spill-ms":   func(p *pick.Profile, v float64) { p.LanePenalty = time.Duration(v) * time.Millisecond },
	"headroom":   func(p *pick.Profile, v float64) { p.Headroom = v },
	"split-gain": func(p *pick.Profile, v float64) { p.MaxSplitRatio = v },
	"lane-max":   func(p *pick.Profile, v float64) { p.MaxLaneShare = v },
	"window-ms":  func(p *pick.Profile, v float64) { p.MaxWait[cost.Short] = time.Duration(v) * time.Millisecond },
	"medium-ms":  func(p *pick.Profile, v float64) { p.MaxWait[cost.Medium] = time.Duration(v) * time.Millisecond },
	"lane-ms": func(p *pick.Profile, v float64) {
		p.MaxWait[cost.Long] = time.Duration(v) * time.Millisecond
		p.MaxWait[cost.Group] = p.MaxWait[cost.Long]
	},
	"medium-prio": func(p *pick.Profile, v float64) { p.Priority[cost.Medium] = int(v) },
	"long-prio":   func(p *pick.Profile, v float64) { p.Priority[cost.Long] = int(v); p.Priority[cost.Group] = int(v) },
}

func (*varyCommand) Name() string     { return "vary" }
func (*varyCommand) Synopsis() string { return "measure with one parameter of the profile changed" }
func (*varyCommand) Usage() string    { return "damaskbench vary -name PARAMETER -values A,B [flags]\n" }

func (v *varyCommand) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.name, "name", "choices", "parameter of the profile")
	f.StringVar(&v.baseChanges, "base", "", "other parameters changed in all runs, as in choices=8,spill-ms=200")
	f.StringVar(&v.values, "values", "2,4,8", "values of the parameter, comma-separated")
}

// Execute prints the tables with a row for each value of the parameter.
func (v *varyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := v.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}

// applyBase applies the changes of the flag -base to the profile.
func (v *varyCommand) applyBase(p *pick.Profile) error {
	if v.baseChanges == "" {
		return nil
	}
	for _, change := range strings.Split(v.baseChanges, ",") {
		name, text, _ := strings.Cut(change, "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || parameters[name] == nil {
			return fmt.Errorf("change %q is not NAME=NUMBER of a known parameter", change)
		}
		parameters[name](p, value)
	}
	return nil
}

// run measures each configuration with each value of the parameter and prints the values as policies of one table.
func (v *varyCommand) run() error {
	set := parameters[v.name]
	if set == nil {
		return fmt.Errorf("parameter %q is not known", v.name)
	}
	values, err := parseFloats(v.values)
	if err != nil {
		return err
	}
	v.policies = bench.PolicyDamaskshelf
	configs, err := v.configs()
	if err != nil {
		return err
	}
	seeds, err := v.seedList()
	if err != nil {
		return err
	}
	var varied []bench.Config
	for _, c := range configs {
		for _, value := range values {
			p := pick.ProfileOf(c.Deployment.Profile)
			if err := v.applyBase(&p); err != nil {
				return err
			}
			set(&p, value)
			c.Profile = &p
			varied = append(varied, c)
		}
	}
	points := bench.RunAll(varied, seeds, v.workers)
	for i := range points {
		points[i].Config.Policy = fmt.Sprintf("%s %g", v.name, values[i%len(values)])
	}
	writeTables(os.Stdout, points)
	return nil
}
