// Package capacity measures what one instance spends on each of its control tasks, at two or more fleet sizes. The
// capacity figures in docs/CAPACITY.md are derived from the results. Run it with
//
//	go test -run - -bench . -benchmem ./internal/capacity
//	go test -run . -v ./internal/capacity
package capacity
