package engine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// maxEventsPerAnswer limits the events in one answer to a call for cache events.
const maxEventsPerAnswer = 1000

// cache is the prefix cache. It holds the hashes of the cached blocks in order of last use, and the latest events
// that report additions and evictions. The engine's mutex guards it.
type cache struct {
	lru      *list.List // block hashes (uint64), most recently used first
	elements map[uint64]*list.Element

	events       []timedEvent
	nextSeq      uint64 // sequence number of the next event
	firstSeq     uint64 // oldest sequence number kept
	maxEvents    int    // events kept
	lossInterval uint64 // one event in so many, on average, is never published; 0: none
	seed         uint64 // of the choice which events are lost
}

// timedEvent is a cache event with its time.
type timedEvent struct {
	wire.CacheEvent
	at time.Duration // engine time
}

func newCache(cfg Config) *cache {
	return &cache{
		lru: list.New(), elements: map[uint64]*list.Element{},
		nextSeq: 1, firstSeq: 1, maxEvents: cfg.EventHistory, lossInterval: cfg.EventLoss, seed: cfg.Seed,
	}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *cache) cachedPrefix(blocks []uint64) int {
	for n, hash := range blocks {
		if c.elements[hash] == nil {
			return n
		}
	}
	return len(blocks)
}

// add adds the blocks of a prompt and marks them as used. The prompt's first block becomes the most recently used one,
// as a block can be reused only together with all blocks before it.
func (c *cache) add(blocks []uint64, now time.Duration) {
	for n := len(blocks) - 1; n >= 0; n-- {
		hash := blocks[n]
		if element := c.elements[hash]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.elements[hash] = c.lru.PushFront(hash)
		c.record(wire.CacheEvent{Hash: hash}, now)
	}
}

// evictTo evicts the least recently used blocks until the cache holds at most the given number of tokens.
func (c *cache) evictTo(tokens int64, now time.Duration) {
	for c.lru.Len() > 0 && int64(c.lru.Len())*wire.BlockTokens > tokens {
		oldest := c.lru.Back()
		hash := c.lru.Remove(oldest).(uint64)
		delete(c.elements, hash)
		c.record(wire.CacheEvent{Hash: hash, Drop: true}, now)
	}
}

// record numbers an event and keeps it for publication, unless the seeded choice loses it. A lost event leaves a gap in
// the sequence numbers. The oldest event is dropped when more than maxEvents are kept.
func (c *cache) record(e wire.CacheEvent, now time.Duration) {
	e.Seq = c.nextSeq
	c.nextSeq++
	if c.lossInterval > 0 && xxhash.Sum64(seqBytes(c.seed, e.Seq))%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{e, now})
	if over := len(c.events) - c.maxEvents; over > 0 {
		c.firstSeq = c.events[over-1].Seq + 1
		c.events = c.events[over:]
	}
}

// seqBytes returns the bytes of seed and seq as input of the hash that decides which events are lost.
func seqBytes(seed, seq uint64) []byte {
	b := make([]byte, 0, 16)
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(seed>>shift), byte(seq>>shift))
	}
	return b
}

// eventsFrom returns the events with sequence numbers from the given one on that occurred no later than until, at most
// maxEventsPerAnswer of them.
func (c *cache) eventsFrom(from uint64, until time.Duration) wire.CacheEvents {
	answer := wire.CacheEvents{First: c.firstSeq, Next: max(from, c.firstSeq), Events: []wire.CacheEvent{}}
	for _, e := range c.events {
		if e.at > until || len(answer.Events) == maxEventsPerAnswer {
			break
		}
		if e.Seq < from {
			continue
		}
		answer.Events = append(answer.Events, e.CacheEvent)
		answer.Next = e.Seq + 1
	}
	return answer
}

// nextPublished returns the sequence number after the latest event that occurred no later than until.
func (c *cache) nextPublished(until time.Duration) uint64 {
	for i := len(c.events) - 1; i >= 0; i-- {
		if e := c.events[i]; e.at <= until {
			return e.Seq + 1
		}
	}
	return c.firstSeq
}
