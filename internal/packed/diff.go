package packed

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// baseDictID is the id of the base as a zstd dictionary. Both ends use one dictionary at a time.
const baseDictID = 1

// Diff compresses next with base as the dictionary, for a receiver that has base. The result is small if the two are
// similar.
func Diff(base, next []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(baseDictID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(len(base)+len(next))))
	if err != nil {
		return nil, fmt.Errorf("compress difference: %w", err)
	}
	out := w.EncodeAll(next, nil)
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress difference: %w", err)
	}
	return out, nil
}

// Patch returns the value that Diff compressed, from the same base and the result of Diff. It returns an error if the
// value is longer than maxBytes.
func Patch(base, difference []byte, maxBytes int) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(baseDictID, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(maxBytes)))
	if err != nil {
		return nil, fmt.Errorf("decompress difference: %w", err)
	}
	defer r.Close()
	next, err := r.DecodeAll(difference, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress difference: %w", err)
	}
	return next, nil
}

// windowSize returns the least power of two that is a valid zstd window of at least length bytes, or the largest window.
func windowSize(length int) int {
	window := zstd.MinWindowSize
	for window < length && window < zstd.MaxWindowSize {
		window *= 2
	}
	return window
}
