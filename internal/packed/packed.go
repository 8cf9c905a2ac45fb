// Package packed compresses the messages between instances.
package packed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// Compression levels for Pack.
const (
	Fast  = gzip.BestSpeed       // for data that others wait for
	Small = gzip.BestCompression // for data that is compressed once and sent many times
)

// Pack compresses raw with gzip at a level.
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

// Unpack decompresses the output of Pack. It returns an error if the result is longer than maxBytes.
func Unpack(in []byte, maxBytes int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(in))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(raw) > maxBytes {
		return nil, fmt.Errorf("unpack: over %d bytes", maxBytes)
	}
	return raw, nil
}
