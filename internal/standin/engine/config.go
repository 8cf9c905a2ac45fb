package engine

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Config is what an engine is built with. Times are engine times: TimeScale of them pass in one of the
// clock on the wall. Zero values mean the defaults.
type Config struct {
	ID         string
	Models     []wire.LoadedModel // loaded whenever it boots
	TimeScale  float64            // engine seconds in one second
	Seed       uint64             // of the choice which cache events are lost
	StartCold  bool               // cold at the first boot; later boots are always cold
	Fencing    bool               // refuses orders with an old fencing number
	NoExpiry   bool               // reservations stay until they are released
	QueueLimit int                // requests that wait; more are refused as not started

	PrefillRate    int64         // prompt tokens a second, shared in order of priority
	DecodeInterval time.Duration // between two tokens of one answer
	MaxRunning     int           // requests at once
	KVCacheTokens  int64         // KV cache in tokens

	ColdLimit    int           // requests at once that it bears while cold
	ColdSlowdown int64         // its prefill rate is divided by this while cold
	WarmAfter    int           // successes until it is warm
	CollapseTime time.Duration // out of service after it fell over

	ReportInterval time.Duration // between two load reports
	EventDelay     time.Duration // until a cache event is published
	EventHistory   int           // cache events kept
	EventLoss      uint64        // one event in so many is never published; 0: none
	LoadTime       time.Duration // to carry out a load order
}

// Defaults of Config.
const (
	DefaultPrefillRate    = 20_000
	DefaultDecodeInterval = 10 * time.Millisecond
	DefaultMaxRunning     = 32
	DefaultKVCacheTokens  = 400_000
	DefaultQueueLimit     = 256
	DefaultColdLimit      = 2
	DefaultColdSlowdown   = 4
	DefaultWarmAfter      = 8
	DefaultCollapseTime   = 2 * time.Second
	DefaultReportInterval = 500 * time.Millisecond
	DefaultEventDelay     = 500 * time.Millisecond
	DefaultEventHistory   = 4096
	DefaultLoadTime       = 2 * time.Second
)

func (c Config) withDefaults() Config {
	orDefault(&c.TimeScale, 1)
	orDefault(&c.PrefillRate, DefaultPrefillRate)
	orDefault(&c.DecodeInterval, DefaultDecodeInterval)
	orDefault(&c.MaxRunning, DefaultMaxRunning)
	orDefault(&c.KVCacheTokens, DefaultKVCacheTokens)
	orDefault(&c.QueueLimit, DefaultQueueLimit)
	orDefault(&c.ColdLimit, DefaultColdLimit)
	orDefault(&c.ColdSlowdown, DefaultColdSlowdown)
	orDefault(&c.WarmAfter, DefaultWarmAfter)
	orDefault(&c.CollapseTime, DefaultCollapseTime)
	orDefault(&c.ReportInterval, DefaultReportInterval)
	orDefault(&c.EventDelay, DefaultEventDelay)
	orDefault(&c.EventHistory, DefaultEventHistory)
	orDefault(&c.LoadTime, DefaultLoadTime)
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
