// Package heap measures memory for tests.
package heap

import (
	"runtime"
	"time"
)

// interval is the time between two measurements.
const interval = 2 * time.Millisecond

// Peak returns by how many bytes the heap grew at the most while run ran.
func Peak(run func()) uint64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		run()
		close(done)
	}()
	peak := uint64(0)
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(interval):
		}
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
	}
	return peak
}
