//go:build race

package watch

// modelSizes are the fleet sizes that the model runs with under the race detector, which limits the number of
// goroutines.
var modelSizes = []int{30, 100}
