package cost_test

import (
	"flag"
	"os"
	"testing"
)

// A fixed seed, so that every run of the randomized tests gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
