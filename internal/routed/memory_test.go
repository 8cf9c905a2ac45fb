package routed

import (
	"testing"

	"github.com/matryer/is"
)

// A use of memory that becomes high is reported once, and so is its end, however often it is near a threshold.
func TestHighMemoryIsReportedOnceEachWay(t *testing.T) {
	is := is.New(t)
	a := memoryAlarm{limit: 100}
	var changes []bool
	for _, used := range []float64{50, 79, 81, 79, 95, 71, 81, 69, 71, 79, 81} {
		if a.update(used) {
			changes = append(changes, a.high)
		}
	}
	is.Equal(changes, []bool{true, false, true})
}

func TestOwnMemoryIsRead(t *testing.T) {
	is := is.New(t)
	held := make([]byte, 64<<20)
	for i := 0; i < len(held); i += 4 << 10 {
		held[i] = 1 // makes the page resident
	}
	resident, err := residentBytes()
	is.NoErr(err)
	is.True(resident > uint64(len(held)))
	is.True(heapBytes() > uint64(len(held)))
	is.True(held[0] == 1)
}
