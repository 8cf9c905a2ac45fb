package packed

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// baseID names the base in what is packed against it; both ends use one at a time.
const baseID = 1

// Difference packs next against a base that the receiver holds: where the two are nearly the same, little is left.
func Diff(base, next []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(baseID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowFor(len(base)+len(next))))
	if err != nil {
		return nil, fmt.Errorf("pack a difference: %w", err)
	}
	out := w.EncodeAll(next, nil)
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack a difference: %w", err)
	}
	return out, nil
}

// Patch gives next back, if it has at most so many bytes.
func Patch(base, difference []byte, most int) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(baseID, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(most)))
	if err != nil {
		return nil, fmt.Errorf("unpack a difference: %w", err)
	}
	defer r.Close()
	next, err := r.DecodeAll(difference, nil)
	if err != nil {
		return nil, fmt.Errorf("unpack a difference: %w", err)
	}
	return next, nil
}

// windowFor gives the window that reaches over both, a power of two.
func windowFor(length int) int {
	window := zstd.MinWindowSize
	for window < length && window < zstd.MaxWindowSize {
		window *= 2
	}
	return window
}
