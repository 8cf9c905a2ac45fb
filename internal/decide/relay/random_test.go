package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// faultInjector exposes a small fleet to random faults, concurrent and consecutive.
type faultInjector struct {
	*sim
	t                 *testing.T
	rand              *rand.Rand
	reachableVersions []simVersion // highestReachable at each check, over the last drainBound
	restarts          uint64
	storeUpSince      decide.Instant // when the store last became available
}

// storeRecoveryTime bounds how long instances take to find the store available again: one call in flight times
// out, then a backoff ends.
const storeRecoveryTime = storeTimeout + time.Second

// Faults in any order: failure domains and instances are cut off and return, instances pause and are replaced,
// messages are lost, watches lag, the store is unavailable. At any moment, an instance that would send new work
// must have every configuration that was accepted at least three seconds ago, and no instance may revert to an
// older one. A version is required only if the store or a reachable instance could provide it throughout these
// three seconds.
func TestRandomFaultsNeverSendByAnOldConfiguration(t *testing.T) {
	const runs, steps = 100, 60
	upToDate := 0
	for seed := range uint64(runs) {
		c := &faultInjector{sim: newSeededSim(6, 3, 1, 0, seed), t: t, rand: rand.New(rand.NewPCG(seed, 99))}
		c.advance(5 * time.Second)
		for range steps {
			c.injectFault()
			c.advance(time.Duration(c.rand.IntN(1500)) * time.Millisecond)
		}
		upToDate += c.healAll()
		checkNeverReverts(t, c.sim)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	is := is.New(t)
	is.Equal(upToDate, runs*6) // after all faults have ended, every instance sends with the newest version
}

// injectFault applies one random fault or change to a random instance, or ends one.
func (c *faultInjector) injectFault() {
	x := c.nodes[c.rand.IntN(len(c.nodes))]
	switch c.rand.IntN(9) {
	case 0, 1:
		c.acceptNext(x)
	case 2:
		c.cutDomains[x.Domain] = !c.cutDomains[x.Domain]
	case 3:
		x.isolated = !x.isolated
	case 4:
		x.pausedUntil = c.Now().Add(time.Duration(c.rand.IntN(5000)) * time.Millisecond)
	case 5:
		c.restarts++
		c.start(x.Instance, 1+c.restarts)
	case 6:
		c.loss = float64(c.rand.IntN(3)) / 10
	case 7:
		c.store.lag = time.Duration(c.rand.IntN(2)) * 10 * time.Second
	case 8:
		c.store.down = !c.store.down
		c.storeUpSince = c.Now()
	}
}

// acceptNext writes the next version through x if x can reach the store, otherwise through an instance that stops
// right after the write.
func (c *faultInjector) acceptNext(x *simNode) {
	if c.store.down {
		return
	}
	version := uint64(len(c.store.versions) + 1)
	if x.dead || c.storeUnreachable(x) || c.Now().Before(x.pausedUntil) {
		x = nil
	}
	c.accept(version, x)
}

// advance lets time pass and checks throughout that no instance sends with an older version than required.
func (c *faultInjector) advance(d time.Duration) {
	until := c.Now().Add(d)
	for c.Now() < until && !c.t.Failed() {
		c.run(min(until, c.Now().Add(20*time.Millisecond)), nil)
		required := c.requiredVersion()
		for _, x := range c.running() {
			if c.canSend(x) && x.version < required {
				c.t.Errorf("%s sends with version %d at %v; version %d has been reachable for three seconds", x.ID, x.version, c.Now(), required)
			}
		}
	}
}

// requiredVersion returns the highest version that was reachable throughout the last drainBound.
func (c *faultInjector) requiredVersion() uint64 {
	c.reachableVersions = append(c.reachableVersions, simVersion{config: configOf(c.highestReachable()), at: c.Now()})
	first := 0
	for c.Now().Sub(c.reachableVersions[first].at) > drainBound {
		first++
	}
	c.reachableVersions = c.reachableVersions[first:]
	lowest := c.reachableVersions[0].config.Version
	for _, k := range c.reachableVersions {
		lowest = min(lowest, k.config.Version)
	}
	return lowest
}

// highestReachable returns the highest version that the store or a reachable instance holds.
func (c *faultInjector) highestReachable() uint64 {
	if !c.store.down && c.Now().Sub(c.storeUpSince) > storeRecoveryTime {
		return uint64(len(c.store.versions))
	}
	version := uint64(0)
	for _, x := range c.running() {
		if !c.cutDomains[x.Domain] && !x.isolated && !c.Now().Before(x.pausedUntil) {
			version = max(version, x.version)
		}
	}
	return version
}

// healAll ends all faults, waits, and returns the number of instances that send with the newest version.
func (c *faultInjector) healAll() int {
	clear(c.cutDomains)
	c.loss, c.store.lag, c.store.down = 0, 0, false
	for _, x := range c.nodes {
		x.isolated = false
	}
	c.advance(15 * time.Second)
	n := 0
	for _, x := range c.running() {
		if c.canSend(x) && x.version == uint64(len(c.store.versions)) {
			n++
		}
	}
	return n
}
