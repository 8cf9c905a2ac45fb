//go:build !race

package e2e_test

// buildFlags are the additional flags for building the processes.
var buildFlags []string
