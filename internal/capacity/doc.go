// Package capacity measures the slopes that docs/CAPACITY.md is worked out from: what one instance spends
// on each thing it does for control, at two or more sizes. Run it with
//
//	go test -run - -bench . -benchmem ./internal/capacity
//	go test -run . -v ./internal/capacity
package capacity
