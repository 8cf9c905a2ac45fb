// Package fixedseed runs a package's tests with a fixed seed for the randomized checks of the rapid library, so that
// every run checks the same cases.
package fixedseed

import (
	"flag"
	"os"
)

const (
	seedFlag  = "rapid.seed"
	unsetSeed = "0"
	seed      = "1"
	// noFileFlag stops rapid from writing failing cases into the source tree; the printed seed reproduces them.
	noFileFlag = "rapid.nofailfile"
)

// Main runs a package's tests and exits; TestMain calls it. The seed is fixed unless the command line sets one.
func Main(m interface{ Run() int }) {
	flag.Parse()
	if flag.Lookup(seedFlag).Value.String() == unsetSeed {
		_ = flag.Set(seedFlag, seed)
	}
	_ = flag.Set(noFileFlag, "true")
	os.Exit(m.Run())
}
