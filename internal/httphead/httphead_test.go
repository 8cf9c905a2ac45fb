package httphead_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/httphead"
)

// bufferSize is the size in bytes of the buffers that heads are checked in.
const bufferSize = 256

// Guards against a head that is taken for sound in part, or that is refused because it arrives a byte at a time.
func TestHeadIsCheckedWhole(t *testing.T) {
	for raw, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                       nil,
		"HTTP/1.1 200\n\n":                                      nil,
		"\r\n\r\nHTTP/1.0 404 No\r\n\r\n":                       nil,
		"HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n": nil,
		"HTTP/1.1 101 S\r\n\r\nany bytes":                       nil,
		"":                                                      io.EOF,
		"\r\n":                                                  io.EOF,
		"HTTP/1.1 20":                                           io.ErrUnexpectedEOF,
		"HTTP/1.1 200 OK\r\nA: b\r\n":                           io.ErrUnexpectedEOF,
		"HTTP/1.1 103 E\r\n\r\n":                                io.ErrUnexpectedEOF,
		"HTTP/1.1 000 OK\r\n\r\n":                               httphead.ErrMalformed,
		"HTTP/1.1 103 E\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":                         httphead.ErrMalformed,
		"HTTP/2.0 200 OK\r\n\r\n":                                               httphead.ErrMalformed,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                                     httphead.ErrMalformed,
		"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                                      httphead.ErrMalformed,
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n":                              httphead.ErrMalformed,
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                                          httphead.ErrMalformed,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n":                 httphead.ErrMalformed,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", bufferSize) + "\r\n\r\n": httphead.ErrMalformed,
		strings.Repeat("\r\n", 100) + "HTTP/1.1 200 OK\r\n\r\n":                 httphead.ErrMalformed,
	} {
		for _, r := range []io.Reader{strings.NewReader(raw), iotest.OneByteReader(strings.NewReader(raw))} {
			buffered := bufio.NewReaderSize(r, bufferSize)
			if err := httphead.CheckResponse(buffered); !errors.Is(err, want) {
				t.Errorf("%q: %v, want %v", raw, err, want)
			}
			rest, _ := io.ReadAll(buffered)
			if want == nil && string(rest) != strings.TrimLeft(raw, "\r\n") {
				t.Errorf("%q: left are %q", raw, rest)
			}
		}
	}
}

// Guards against an error of the connection that is lost, by which a caller tells a silent upstream from a broken one.
func TestErrorOfConnectionIsReturned(t *testing.T) {
	is := is.New(t)
	r := bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nA"), iotest.ErrReader(io.ErrNoProgress)))
	is.True(errors.Is(httphead.CheckResponse(r), io.ErrNoProgress))
}

// Guards against a response whose head isn't checked because its connection was used before.
func TestConnChecksEachResponse(t *testing.T) {
	is := is.New(t)
	const sound, request = "HTTP/1.1 200 OK\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	answers := make(chan string, 1)
	go func() {
		requests := make([]byte, len(request))
		for answer := range answers {
			_, _ = io.ReadFull(far, requests)
			_, _ = io.WriteString(far, answer)
		}
	}()
	c, buffer := httphead.NewConn(near), make([]byte, 100)
	exchange := func(answer string) (string, error) {
		answers <- answer
		if _, err := io.WriteString(c, request); err != nil {
			return "", err
		}
		n, err := c.Read(buffer)
		return string(buffer[:n]), err
	}
	got, err := exchange(sound)
	is.NoErr(err)
	is.Equal(got, sound)
	got, err = exchange("HTTP/1.1 000 OK\r\n\r\n")
	is.NoErr(err)
	is.Equal(got, "H")
	_, err = c.Read(buffer)
	is.True(errors.Is(err, httphead.ErrMalformed))
	close(answers)
}

// Guards against bytes after a response that count as the next one.
func TestConnRefusesRequestAfterUnsolicitedBytes(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = far.Read(make([]byte, 1))
		_, _ = io.WriteString(far, "HTTP/1.1 204 No\r\n\r\nextra")
	}()
	c := httphead.NewConn(near)
	_, err := io.WriteString(c, "x")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, len("HTTP/1.1 204 No\r\n\r\n")))
	is.NoErr(err)
	_, err = io.WriteString(c, "x")
	is.True(err != nil)
}
