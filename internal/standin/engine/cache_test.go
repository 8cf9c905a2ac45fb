package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func TestCacheDropsWhatWasLongestUnused(t *testing.T) {
	is := is.New(t)
	c := newCache(Config{EventHistory: 100})
	c.add([]uint64{1, 2, 3}, 0)
	c.add([]uint64{1, 2, 4}, 0)
	c.shrink(3*wire.BlockTokens, 0)
	is.Equal(c.hits([]uint64{1, 2, 4}), 3)
	is.Equal(c.hits([]uint64{1, 2, 3}), 2)
	c.shrink(1*wire.BlockTokens, 0)
	is.Equal(c.hits([]uint64{1, 2, 4}), 1) // a prefix stays of use
	is.Equal(c.hits([]uint64{2}), 0)
}

func TestEventsAreLateAndBounded(t *testing.T) {
	is := is.New(t)
	c := newCache(Config{EventHistory: 3})
	c.add([]uint64{10}, 1*time.Second)
	c.add([]uint64{11}, 2*time.Second)
	early := c.since(1, 1*time.Second)
	is.Equal(early.Events, []wire.CacheEvent{{Seq: 1, Hash: 10}})
	is.Equal(early.Next, uint64(2))
	c.add([]uint64{12}, 3*time.Second)
	c.shrink(2*wire.BlockTokens, 4*time.Second) // the fourth event pushes out the first
	late := c.since(1, time.Hour)
	is.Equal(late.First, uint64(2))
	is.Equal(late.Events[len(late.Events)-1], wire.CacheEvent{Seq: 4, Hash: 10, Drop: true})
	is.Equal(len(late.Events), 3)
}

func TestLostEventsLeaveHolesInTheNumbers(t *testing.T) {
	is := is.New(t)
	const added = 200
	c := newCache(Config{EventHistory: added, EventLoss: 4, Seed: 1})
	for n := range uint64(added) {
		c.add([]uint64{n}, 0)
	}
	seen := c.since(1, 0)
	lost := added - len(seen.Events)
	is.True(lost > added/8 && lost < added/2)                    // about one in four
	is.True(seen.Events[len(seen.Events)-1].Seq > added-added/8) // numbers go on
}
