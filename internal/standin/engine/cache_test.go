package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	c := newCache(Config{EventHistory: 100})
	c.add([]uint64{1, 2, 3}, 0)
	c.add([]uint64{1, 2, 4}, 0)
	c.evictTo(3*wire.BlockTokens, 0)
	is.Equal(c.cachedPrefix([]uint64{1, 2, 4}), 3)
	is.Equal(c.cachedPrefix([]uint64{1, 2, 3}), 2)
	c.evictTo(1*wire.BlockTokens, 0)
	is.Equal(c.cachedPrefix([]uint64{1, 2, 4}), 1) // the prompt's first block is kept longest
	is.Equal(c.cachedPrefix([]uint64{2}), 0)
}

func TestCacheEventsAreDelayedAndBounded(t *testing.T) {
	is := is.New(t)
	c := newCache(Config{EventHistory: 3})
	c.add([]uint64{10}, 1*time.Second)
	c.add([]uint64{11}, 2*time.Second)
	published := c.eventsFrom(1, 1*time.Second)
	is.Equal(published.Events, []wire.CacheEvent{{Seq: 1, Hash: 10}})
	is.Equal(published.Next, uint64(2))
	c.add([]uint64{12}, 3*time.Second)
	c.evictTo(2*wire.BlockTokens, 4*time.Second) // the fourth event displaces the first
	all := c.eventsFrom(1, time.Hour)
	is.Equal(all.First, uint64(2))
	is.Equal(all.Events[len(all.Events)-1], wire.CacheEvent{Seq: 4, Hash: 10, Drop: true})
	is.Equal(len(all.Events), 3)
}

func TestLostEventsLeaveSequenceGaps(t *testing.T) {
	is := is.New(t)
	const added = 200
	c := newCache(Config{EventHistory: added, EventLoss: 4, Seed: 1})
	for n := range uint64(added) {
		c.add([]uint64{n}, 0)
	}
	seen := c.eventsFrom(1, 0)
	lost := added - len(seen.Events)
	is.True(lost > added/8 && lost < added/2)                    // about one in four
	is.True(seen.Events[len(seen.Events)-1].Seq > added-added/8) // lost events use up numbers
}
