package objects_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// An era orders before every revision, and log lines show both.
func TestVersionsOrderByEraFirst(t *testing.T) {
	is := is.New(t)
	is.True(objects.NewVersion(2, 1) > objects.NewVersion(1, 1<<39))
	is.Equal(objects.FormatVersion(objects.NewVersion(2, 17)), "2.17")
	is.Equal(objects.FormatVersion(17), "17")
}

// Guards against a store that can't be read because its first era is a large number.
func TestLargeErasOrder(t *testing.T) {
	is := is.New(t)
	const era = 1_796_331_257 // seconds since 1970, for example
	before, after := objects.NewVersion(era, 900), objects.NewVersion(era+1, 5)
	is.True(after > before)
	is.Equal(objects.Era(after), objects.Era(before)+1)
	is.Equal(objects.Revision(before), uint64(900))
}
