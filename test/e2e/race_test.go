//go:build race

package e2e_test

// buildFlags builds the processes with the race detector if the test has it.
var buildFlags = []string{"-race"}
