package cost_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomized tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
