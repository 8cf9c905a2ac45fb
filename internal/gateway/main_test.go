package gateway

import (
	"flag"
	"os"
	"testing"
)

// Unless one is given, the seed is fixed, so that every run of the randomized tests gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	const seed = "rapid.seed"
	if flag.Lookup(seed).Value.String() == "0" {
		_ = flag.Set(seed, "1")
	}
	os.Exit(m.Run())
}
