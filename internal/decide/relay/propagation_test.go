package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// heartbeatBytes is the application bytes of one message, as measured by TestHeartbeatBytes of internal/peer.
const heartbeatBytes = 133

const second = decide.Instant(time.Second)

// propagation is the worst result of several runs with different seeds.
type propagation struct {
	duration           time.Duration // from acceptance until the version is in force everywhere
	heartbeats         int           // of all instances during that time
	pulls              int
	idleBytesPerSecond float64 // heartbeat bytes per node without a change, sent and received
}

// size is the number of instances, failure domains and regions of a fleet.
type size struct {
	n, domains, regions int
}

// sizes lists the fleets that the tests simulate.
var sizes = []size{{6, 3, 1}, {9, 3, 1}, {100, 16, 4}, {930, 16, 4}}

// seeds returns the number of runs for a size.
func (z size) seeds() uint64 {
	if z.n > 100 {
		return 1
	}
	return 5
}

// measure accepts a version through one instance, waits until it is in force everywhere, and returns the worst result
// over all seeds.
func measure(t *testing.T, z size, loss float64) propagation {
	var worst propagation
	for seed := range z.seeds() {
		s := newSeededSim(z.n, z.domains, z.regions, loss, seed)
		s.run(2*second, nil)
		s.heartbeats = 0
		s.run(4*second, nil)
		idle := float64(s.heartbeats) / 2 / float64(z.n) * 2 * heartbeatBytes
		s.heartbeats, s.pulls = 0, 0
		s.accept(2, s.nodes[0])
		if !s.run(60*second, func() bool { return s.inForceEverywhere(2) }) {
			t.Errorf("seed %d: not in force everywhere after a minute", seed)
		}
		worst.duration = max(worst.duration, s.Now().Sub(4*second))
		worst.heartbeats = max(worst.heartbeats, s.heartbeats)
		worst.pulls = max(worst.pulls, s.pulls)
		worst.idleBytesPerSecond = max(worst.idleBytesPerSecond, idle)
	}
	return worst
}

// Regression bounds: virtual time from the acceptance of a configuration until it is in force on every instance,
// and the messages that this takes.
func TestTimeToInForceEverywhere(t *testing.T) {
	ms := time.Millisecond
	bounds := map[float64][]time.Duration{ // by loss, in the order of sizes
		0:    {10 * ms, 10 * ms, 300 * ms, 400 * ms},
		0.05: {20 * ms, 400 * ms, 1000 * ms, 1000 * ms},
		0.20: {25 * ms, 900 * ms, 1150 * ms, 1550 * ms},
	}
	for _, loss := range []float64{0, 0.05, 0.20} {
		for i, z := range sizes {
			t.Run(fmt.Sprintf("%d/%.0f%%", z.n, loss*100), func(t *testing.T) {
				is := is.New(t)
				got := measure(t, z, loss)
				t.Logf("took %v, %d heartbeats, %d pulls, steady %.0f B/s and node", got.duration, got.heartbeats, got.pulls, got.idleBytesPerSecond)
				is.True(got.duration <= bounds[loss][i])
				is.True(got.idleBytesPerSecond < 3300)             // bytes per second and node, independent of the size of the fleet
				is.True(got.pulls <= int(float64(z.n)*(1+2*loss))) // about one fetch of the configuration per instance
			})
		}
	}
}
