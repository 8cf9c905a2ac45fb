// Package packed compresses what instances send each other.
package packed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// Levels of packing.
const (
	Fast  = gzip.BestSpeed       // packed while others wait for it
	Small = gzip.BestCompression // packed once and sent on many times
)

// Pack compresses raw at a level.
func Pack(raw []byte, level int) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, level)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack gives the bytes back, if they are at most so many.
func Unpack(in []byte, most int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(in))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(raw) > most {
		return nil, fmt.Errorf("unpack: over %d bytes", most)
	}
	return raw, nil
}
