//go:build !race

package watch

// modelSizes are the fleet sizes that the model runs with.
var modelSizes = []int{30, 100, 300, 930}
