package objects_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// An era orders before every revision, and log lines show both.
func TestVersionsOrderByEraFirst(t *testing.T) {
	is := is.New(t)
	is.True(objects.NewVersion(2, 1) > objects.NewVersion(1, 1<<40))
	is.Equal(objects.FormatVersion(objects.NewVersion(2, 17)), "2.17")
	is.Equal(objects.FormatVersion(17), "17")
}
