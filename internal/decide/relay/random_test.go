package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// chaos drives a small fleet through random faults, together and in a row.
type chaos struct {
	*sim
	t        *testing.T
	rand     *rand.Rand
	knowable []simVersion // what the store or an instance within reach knew, each time it was looked at
	restarts uint64
	up       decide.Instant // when the store came back last
}

// settled is how long calls take to find out that the store is back: one that was out, and a backoff.
const settled = storeTimeout + time.Second

// Everything goes wrong in any order: domains and instances are cut off and return, instances freeze and
// are replaced, messages are lost, watches lag, the store is down. At any moment, an instance that would
// send new work must have every configuration that was accepted three seconds ago or earlier, and none may
// go back. What only a lost store and instances know that are gone or cut off, nobody can be told; the
// store stays up for three seconds after a write.
func TestRandomFaultsNeverSendByAnOldConfiguration(t *testing.T) {
	const runs, steps = 100, 60
	sent := 0
	for seed := range uint64(runs) {
		c := &chaos{sim: newSeededSim(6, 3, 1, 0, seed), t: t, rand: rand.New(rand.NewPCG(seed, 99))}
		c.let(5 * time.Second)
		for range steps {
			c.step()
			c.let(time.Duration(c.rand.IntN(1500)) * time.Millisecond)
		}
		sent += c.calm()
		neverReverts(t, c.sim)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	is := is.New(t)
	is.Equal(sent, runs*6) // when all is well again, all send by the newest
}

func (c *chaos) step() {
	x := c.nodes[c.rand.IntN(len(c.nodes))]
	switch c.rand.IntN(9) {
	case 0, 1:
		c.change(x)
	case 2:
		c.cut[x.Domain] = !c.cut[x.Domain]
	case 3:
		x.lonely = !x.lonely
	case 4:
		x.paused = c.Now().Add(time.Duration(c.rand.IntN(5000)) * time.Millisecond)
	case 5:
		c.restarts++
		c.start(x.Instance, 1+c.restarts)
	case 6:
		c.loss = float64(c.rand.IntN(3)) / 10
	case 7:
		c.store.lag = time.Duration(c.rand.IntN(2)) * 10 * time.Second
	case 8:
		c.store.down = !c.store.down
		c.up = c.Now()
	}
}

// change accepts a version through x where it can reach the store, or through one that dies at once.
func (c *chaos) change(x *simNode) {
	if c.store.down {
		return
	}
	version := uint64(len(c.store.versions) + 1)
	if x.dead || c.storeGone(x) || c.Now().Before(x.paused) {
		x = nil
	}
	c.accept(version, x)
}

// let lets time pass and checks the promise throughout.
func (c *chaos) let(d time.Duration) {
	until := c.Now().Add(d)
	for c.Now() < until && !c.t.Failed() {
		c.run(min(until, c.Now().Add(20*time.Millisecond)), nil)
		newest := c.newest()
		for _, x := range c.live() {
			if c.sends(x) && x.version < newest {
				c.t.Errorf("%s sends by version %d at %v; %d could be known for three seconds", x.ID, x.version, c.Now(), newest)
			}
		}
	}
}

// newest is the highest version that could be known all through the bound.
func (c *chaos) newest() uint64 {
	c.knowable = append(c.knowable, simVersion{config: configOf(c.known()), at: c.Now()})
	first := 0
	for c.Now().Sub(c.knowable[first].at) > domainOutBound {
		first++
	}
	c.knowable = c.knowable[first:]
	lowest := c.knowable[0].config.Version
	for _, k := range c.knowable {
		lowest = min(lowest, k.config.Version)
	}
	return lowest
}

// known is the highest version that the store or an instance within reach has.
func (c *chaos) known() uint64 {
	if !c.store.down && c.Now().Sub(c.up) > settled {
		return uint64(len(c.store.versions))
	}
	version := uint64(0)
	for _, x := range c.live() {
		if !c.cut[x.Domain] && !x.lonely && !c.Now().Before(x.paused) {
			version = max(version, x.version)
		}
	}
	return version
}

// calm ends all faults and counts the instances that send by the newest version some time later.
func (c *chaos) calm() int {
	clear(c.cut)
	c.loss, c.store.lag, c.store.down = 0, 0, false
	for _, x := range c.nodes {
		x.lonely = false
	}
	c.let(15 * time.Second)
	n := 0
	for _, x := range c.live() {
		if c.sends(x) && x.version == uint64(len(c.store.versions)) {
			n++
		}
	}
	return n
}
