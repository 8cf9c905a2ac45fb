package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// flipCommand compares policies under the mix that turns over every ten seconds.
type flipCommand struct {
	loads   string
	engines int
	seeds   int
	seconds float64
}

func (*flipCommand) Name() string { return "flip" }
func (*flipCommand) Synopsis() string {
	return "compare policies on engines that work in passes, under a mix that turns over every ten seconds"
}
func (*flipCommand) Usage() string { return "damaskbench flip [flags]\n" }

func (c *flipCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.loads, "loads", "0.85,1,1.2", "parts of the stated rates, comma-separated")
	f.IntVar(&c.engines, "engines", 21, "engines")
	f.IntVar(&c.seeds, "seeds", 4, "seeds, from 1")
	f.Float64Var(&c.seconds, "seconds", 40, "length of a play in virtual time")
}

func (c *flipCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("| load | policy | " + strings.Join(passes.Kinds(), " | ") + " |")
	fmt.Println("|---|---|" + strings.Repeat("---|", len(passes.Kinds())))
	for _, word := range strings.Split(c.loads, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil || load <= 0 {
			fmt.Fprintf(os.Stderr, "-loads %s: %q is no number above 0\n", c.loads, word)
			return subcommands.ExitUsageError
		}
		c.compare(load)
	}
	return subcommands.ExitSuccess
}

// compare prints a line for each policy at a load.
func (c *flipCommand) compare(load float64) {
	length := c.seconds * 1000
	policies := []struct {
		name  string
		share func() map[string]float64
	}{
		{"damaskshelf", func() map[string]float64 {
			return passes.Mean(func() passes.Policy { return passes.Dispatcher(dispatch.DefaultParams(), c.engines) }, c.engines, load, c.seeds, length)
		}},
		{"each entry alone", func() map[string]float64 {
			return passes.Mean(func() passes.Policy { return passes.Alone(c.engines) }, c.engines, load, c.seeds, length)
		}},
		{"*bound*", func() map[string]float64 { return passes.Bound(c.engines, load, c.seeds, length) }},
	}
	for _, p := range policies {
		got := p.share()
		fmt.Printf("| %g | %s |", load, p.name)
		for _, kind := range passes.Kinds() {
			fmt.Printf(" %.3f |", got[kind])
		}
		fmt.Println()
	}
}
