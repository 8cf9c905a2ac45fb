package e2e_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

// Faults of one target each, from which a seeded choice is made.
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

// Faults come together and twice: engines, services, object API and instance list fail in turns, several at
// a time, and an entry instance dies and is replaced. Requests may fail, in words; no answer is wrong or
// short, no booking runs twice, nothing that ran is said not to have run, nothing hangs, and in the end all
// serves and no memory is lost.
func TestFaultsTogether(t *testing.T) {
	const rounds, atOnce, round = 8, 4, time.Second
	f := start(t)
	r := rand.New(rand.NewPCG(7, 7))
	victim := f.started()[1]
	mayFail := func(o *outcome) bool {
		return o.explicit() || o.entry == victim.row.ID && (o.unreached() || o.Err != nil)
	}
	run(t, f, mayFail, func() {
		for n := range rounds {
			played := f.playSome(r, atOnce)
			if n == rounds/2 {
				victim.kill()
				f.unlist(victim.row.ID)
				f.startEntry("entry-new", victim.row.Domain)
			}
			time.Sleep(round)
			for target, fault := range played {
				f.fault(target, fault, false)
			}
		}
	})
}

// playSome turns a fault on at some of the targets, and gives them.
func (f *fleet) playSome(r *rand.Rand, some int) map[string]faults.Fault {
	targets := []string{cluster.TargetObjects, cluster.TargetInstances, "bookdesk-0", "bookdesk-1", "bookdesk-2"}
	for _, domain := range domains {
		targets = append(targets, "engine-"+domain+"-0", "engine-"+domain+"-1")
	}
	r.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	played := map[string]faults.Fault{}
	for _, target := range targets[:some] {
		list := engineFaults
		switch {
		case target == cluster.TargetObjects || target == cluster.TargetInstances:
			list = platformFaults
		case strings.HasPrefix(target, bookdesk):
			list = serviceFaults
		}
		played[target] = list[r.IntN(len(list))]
		f.fault(target, played[target], true)
	}
	return played
}
