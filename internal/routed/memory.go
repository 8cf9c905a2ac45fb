package routed

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// memoryCheckInterval is how often the process's memory is read.
	memoryCheckInterval = 500 * time.Millisecond
	// highMemoryShare and normalMemoryShare are the fractions of the process's memory above which its use is reported as
	// high, and below which it is reported as normal again. They differ so that a use near one of them is reported once.
	highMemoryShare   = 0.8
	normalMemoryShare = 0.7

	// heapMetric is the size of the heap's objects, in bytes: those in use and those not yet collected.
	heapMetric = "/memory/classes/heap/objects:bytes"
	statmPath  = "/proc/self/statm"
)

// memoryAlarm tells when the use of memory becomes high and when it is normal again.
type memoryAlarm struct {
	limit float64 // bytes that the process may use
	high  bool
}

// update records the bytes in use and reports whether high has changed.
func (a *memoryAlarm) update(used float64) bool {
	share := used / a.limit
	was := a.high
	a.high = share > highMemoryShare || was && share > normalMemoryShare
	return a.high != was
}

// watchMemory logs when the process's use of memory becomes high and when it is normal again, until ctx ends. A process
// that exceeds its memory is killed, and can't log why.
func (n *Node) watchMemory(ctx context.Context) {
	limitMB := n.parts.Settings.Routed.Limits.MemoryMB
	alarm := memoryAlarm{limit: limitMB * (1 << 20)}
	for limitMB > 0 && wait.For(ctx, memoryCheckInterval) {
		resident, err := residentBytes()
		if err != nil {
			n.parts.Log.Warn("use of memory is not known and not watched", "error", err)
			return
		}
		if !alarm.update(float64(resident)) {
			continue
		}
		values := []any{"resident_mb", resident >> 20, "heap_mb", heapBytes() >> 20, "limit_mb", limitMB, "in_flight", n.parts.Gate.InFlight()}
		if alarm.high {
			n.parts.Log.Warn("use of memory is high", values...)
		} else {
			n.parts.Log.Info("use of memory is normal again", values...)
		}
	}
}

// residentBytes returns the process's resident memory in bytes.
func residentBytes() (uint64, error) {
	raw, err := os.ReadFile(statmPath)
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(raw) // pages: size, resident, ...
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s holds %q", statmPath, raw)
	}
	pages, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: resident: %w", statmPath, err)
	}
	return pages * uint64(os.Getpagesize()), nil
}

// heapBytes returns the size of the heap's objects in bytes.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
