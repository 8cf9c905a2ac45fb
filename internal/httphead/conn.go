package httphead

import (
	"bufio"
	"errors"
	"net"
)

// bufferSize is the size in bytes of a Conn's buffer, which bounds the heads of responses. It is that of the HTTP library.
const bufferSize = 4 << 10

// errUnsolicited reports bytes on a connection that belong to no request.
var errUnsolicited = errors.New("bytes arrived that belong to no request")

// Conn is the client's end of a connection on which requests and responses alternate. Its Read returns a response only after
// CheckResponse has accepted its head. It is for clients of the HTTP library that read responses by themselves.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	awaiting bool  // a request was written, and the head of its response has not been checked
	err      error // why a head was not accepted
}

// NewConn returns a Conn over c, which nothing was written to.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, reader: bufio.NewReaderSize(c, bufferSize)} }

// Write implements net.Conn. It fails if bytes are left that follow the last response: they would be read as the next one.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.awaiting && c.reader.Buffered() > 0 {
		return 0, errUnsolicited
	}
	c.awaiting = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.err != nil:
		return 0, c.err
	case c.awaiting:
		if c.err = CheckResponse(c.reader); c.err != nil {
			return c.readBeforeError(p)
		}
		c.awaiting = false
	}
	return c.reader.Read(p)
}

// readBeforeError returns the first byte of a response that was not accepted, because the library hides an error that comes before
// one, or the error if there is no byte.
func (c *Conn) readBeforeError(p []byte) (int, error) {
	if c.reader.Buffered() == 0 {
		return 0, c.err
	}
	return c.reader.Read(p[:min(len(p), 1)])
}
