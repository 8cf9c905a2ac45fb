package e2e_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

// Faults that a seeded choice selects from, by kind of target.
var (
	engineFaults = []faults.Fault{
		faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Cold, faults.Hang, faults.LoseAnswer, faults.NoEndMark,
		faults.DuplicateParts, faults.ReorderedParts, faults.LateParts, faults.ForeignParts, faults.RefuseEverything,
	}
	serviceFaults = []faults.Fault{
		faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.LoseAnswer, faults.RefuseStart, faults.CrashBeforeRun, faults.CrashAfterRun,
	}
	platformFaults = []faults.Fault{faults.Kill, faults.Hang, faults.Slow, faults.CloseConnections, faults.SilentConnections}
)

// Engines, services, the object API and the instance list fail in rounds, four of them at a time, and an entry instance
// is killed and replaced. Requests may fail with an explicit error, and those of the killed instance by a closed
// connection. No answer that looks complete may be wrong or short, no booking may run twice, no request that ran may be
// reported as not run, and none may hang. In the end the fleet serves as before, and no engine holds memory.
func TestFaultsTogether(t *testing.T) {
	const rounds, faultsPerRound, roundDuration = 8, 4, time.Second
	f := startFleet(t)
	r := rand.New(rand.NewPCG(7, 7))
	killed := f.startedEntries()[1]
	mayFail := func(o *outcome) bool {
		return o.failedExplicitly() || o.entry == killed.row.ID && (o.notConnected() || o.Err != nil)
	}
	runUnderLoad(t, f, mayFail, func() {
		for n := range rounds {
			started := f.startRandomFaults(r, faultsPerRound)
			if n == rounds/2 {
				killed.kill()
				f.unlistInstance(killed.row.ID)
				f.startEntry("entry-new", killed.row.Domain)
			}
			time.Sleep(roundDuration)
			for target, fault := range started {
				f.setFault(target, fault, false)
			}
		}
	})
}

// startRandomFaults turns on one fault at each of count random targets, and returns the faults by target.
func (f *fleet) startRandomFaults(r *rand.Rand, count int) map[string]faults.Fault {
	targets := []string{cluster.TargetObjects, cluster.TargetInstances, "bookdesk-0", "bookdesk-1", "bookdesk-2"}
	for _, domain := range domains {
		targets = append(targets, "engine-"+domain+"-0", "engine-"+domain+"-1")
	}
	r.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	started := map[string]faults.Fault{}
	for _, target := range targets[:count] {
		choices := engineFaults
		switch {
		case target == cluster.TargetObjects || target == cluster.TargetInstances:
			choices = platformFaults
		case strings.HasPrefix(target, bookdesk):
			choices = serviceFaults
		}
		started[target] = choices[r.IntN(len(choices))]
		f.setFault(target, started[target], true)
	}
	return started
}
