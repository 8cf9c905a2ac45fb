//go:build race

package e2e_test

// buildFlags: the processes are checked for races where the test is.
var buildFlags = []string{"-race"}
