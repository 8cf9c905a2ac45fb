package placement

import (
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
