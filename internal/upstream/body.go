package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// Framing is how an answer shows where its body ends.
type Framing uint8

// The framings.
const (
	FramingNone       Framing = iota // there is no body
	FramingLength                    // the head states the length
	FramingChunked                   // the body ends with its last chunk
	FramingConnection                // the body ends when the upstream closes the connection in order; a reset breaks it off
)

// String returns the framing as it appears in log lines and metrics.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunked", "connection"}[f]
}

// framingOf returns the framing of the answer to a request with the method.
func framingOf(method string, h *fasthttp.ResponseHeader) Framing {
	status, length := h.StatusCode(), h.ContentLength()
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return FramingNone
	case length == -1:
		return FramingChunked
	case length >= 0:
		return FramingLength
	default:
		return FramingConnection
	}
}

// maxTrailers bounds the trailer lines after a chunked body.
const maxTrailers = 64

// lengthReader reads a body of known length.
type lengthReader struct {
	r         *bufio.Reader
	remaining int // bytes
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection ends before the body.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if err == io.EOF && l.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body and discards its trailers.
type chunkedReader struct {
	chunks io.Reader
	raw    *bufio.Reader
}

// Read implements io.Reader. After the last chunk it reads up to the end of the trailers.
func (c *chunkedReader) Read(p []byte) (int, error) {
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for range maxTrailers {
		line, err := c.raw.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return n, io.EOF
		}
	}
	return n, errors.New("too many trailers")
}
