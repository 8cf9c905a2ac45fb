package engine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// maxEvents is the most events in one answer.
const maxEvents = 1000

// cache is the prefix cache: block hashes in order of last use, and the events that tell of them.
type cache struct {
	used   *list.List // of uint64, latest first
	places map[uint64]*list.Element

	events  []timedEvent
	next    uint64 // sequence number of the next event
	first   uint64 // oldest sequence number kept
	history int
	loss    uint64
	seed    uint64
}

type timedEvent struct {
	wire.CacheEvent
	at time.Duration
}

func newCache(cfg Config) *cache {
	return &cache{
		used: list.New(), places: map[uint64]*list.Element{},
		next: 1, first: 1, history: cfg.EventHistory, loss: cfg.EventLoss, seed: cfg.Seed,
	}
}

// hits is how many of the blocks, from the first on, are cached.
func (c *cache) hits(blocks []uint64) int {
	for n, hash := range blocks {
		if c.places[hash] == nil {
			return n
		}
	}
	return len(blocks)
}

// add puts blocks into the cache, the prompt's first ones as the latest used: without them the others are
// of no use.
func (c *cache) add(blocks []uint64, now time.Duration) {
	for n := len(blocks) - 1; n >= 0; n-- {
		hash := blocks[n]
		if place := c.places[hash]; place != nil {
			c.used.MoveToFront(place)
			continue
		}
		c.places[hash] = c.used.PushFront(hash)
		c.record(wire.CacheEvent{Hash: hash}, now)
	}
}

// shrink drops the blocks longest unused until at most tokens are left.
func (c *cache) shrink(tokens int64, now time.Duration) {
	for c.used.Len() > 0 && int64(c.used.Len())*wire.BlockTokens > tokens {
		oldest := c.used.Back()
		hash := c.used.Remove(oldest).(uint64)
		delete(c.places, hash)
		c.record(wire.CacheEvent{Hash: hash, Drop: true}, now)
	}
}

func (c *cache) record(e wire.CacheEvent, now time.Duration) {
	e.Seq = c.next
	c.next++
	if c.loss > 0 && xxhash.Sum64(seqBytes(c.seed, e.Seq))%c.loss == 0 {
		return
	}
	c.events = append(c.events, timedEvent{e, now})
	if over := len(c.events) - c.history; over > 0 {
		c.first = c.events[over-1].Seq + 1
		c.events = c.events[over:]
	}
}

func seqBytes(seed, seq uint64) []byte {
	b := make([]byte, 0, 16)
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(seed>>shift), byte(seq>>shift))
	}
	return b
}

// since gives the events from a sequence number on that happened up to the moment published.
func (c *cache) since(from uint64, published time.Duration) wire.CacheEvents {
	answer := wire.CacheEvents{First: c.first, Next: max(from, c.first), Events: []wire.CacheEvent{}}
	for _, e := range c.events {
		if e.at > published || len(answer.Events) == maxEvents {
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

// published is the sequence number after the latest event that happened up to the moment given.
func (c *cache) published(until time.Duration) uint64 {
	for i := len(c.events) - 1; i >= 0; i-- {
		if e := c.events[i]; e.at <= until {
			return e.Seq + 1
		}
	}
	return c.first
}
