package engine

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Config holds the settings of an engine. Durations and rates are in engine time, which runs TimeScale times as fast as
// wall-clock time. A field that is zero has its default. The names of the fields are keys of the stand-ins' config file.
type Config struct {
	ID         string
	Models     []wire.LoadedModel // loaded at every boot
	TimeScale  float64            // seconds of engine time in one second of wall-clock time
	Seed       uint64             // of the choice which cache events are lost
	StartCold  bool               // cold at the first boot; later boots are always cold
	Fencing    bool               // refuses an order whose fencing number is lower than the highest seen
	NoExpiry   bool               // reservations last until they are released
	QueueLimit int                // queued requests; further ones are refused as not started

	PrefillRate    int64         // prompt tokens a second; jobs of higher priority get their share first
	DecodeInterval time.Duration // time between two tokens of one answer
	MaxRunning     int           // requests that run at the same time
	Memory         int64         // size of the KV cache in tokens

	ColdLimit    int           // requests in flight while cold; one more makes the engine collapse
	ColdSlowdown int64         // divisor of the prefill rate while cold
	WarmAfter    int           // completed requests until a cold engine is warm
	CollapseTime time.Duration // time out of service after a collapse

	ReportLag    time.Duration // time between two updates of the load report
	EventLag     time.Duration // time until a cache event is published
	EventHistory int           // cache events kept
	EventLoss    uint64        // one event in so many, on average, is never published; 0: none
	LoadTime     time.Duration // time that a load order takes
}

// Defaults of Config, in the units of its fields.
const (
	DefaultPrefillRate    = 20_000
	DefaultDecodeInterval = 10 * time.Millisecond
	DefaultMaxRunning     = 32
	DefaultMemory         = 400_000
	DefaultQueueLimit     = 256
	DefaultColdLimit      = 2
	DefaultColdSlowdown   = 4
	DefaultWarmAfter      = 8
	DefaultCollapseTime   = 2 * time.Second
	DefaultReportLag      = 500 * time.Millisecond
	DefaultEventLag       = 500 * time.Millisecond
	DefaultEventHistory   = 4096
	DefaultLoadTime       = 2 * time.Second
)

// withDefaults returns c with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	orDefault(&c.TimeScale, 1)
	orDefault(&c.PrefillRate, DefaultPrefillRate)
	orDefault(&c.DecodeInterval, DefaultDecodeInterval)
	orDefault(&c.MaxRunning, DefaultMaxRunning)
	orDefault(&c.Memory, DefaultMemory)
	orDefault(&c.QueueLimit, DefaultQueueLimit)
	orDefault(&c.ColdLimit, DefaultColdLimit)
	orDefault(&c.ColdSlowdown, DefaultColdSlowdown)
	orDefault(&c.WarmAfter, DefaultWarmAfter)
	orDefault(&c.CollapseTime, DefaultCollapseTime)
	orDefault(&c.ReportLag, DefaultReportLag)
	orDefault(&c.EventLag, DefaultEventLag)
	orDefault(&c.EventHistory, DefaultEventHistory)
	orDefault(&c.LoadTime, DefaultLoadTime)
	return c
}

// orDefault sets the field to value if it is zero.
func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
