package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client is a client with one kept connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got.
type answer struct {
	status        int
	attemptID     string
	seal          string
	body          []byte
	contentLength int64
	closes        bool // the answer says that the connection closes
	err           error
}

// newAttemptID returns the id of a new attempt.
func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// dialClient connects to an instance.
func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// close closes the connection.
func (c *client) close() { _ = c.conn.Close() }

// send sends a request without a body.
func (c *client) send(method, path, id string, deadline time.Duration) error {
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		method, path, callersHost, id, deadline.Milliseconds(), apiKey)
	return err
}

// do sends a request without a body and reads the whole answer.
func (c *client) do(method, path, id string, deadline time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if err := c.send(method, path, id, deadline); err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	a := headOf(resp)
	a.body, a.err = io.ReadAll(resp.Body)
	return a, a.err
}

// headOf returns what the head of an answer states.
func headOf(resp *http.Response) answer {
	return answer{
		status: resp.StatusCode, attemptID: resp.Header.Get("Attempt-Id"), seal: resp.Header.Get("Server-Seal"),
		contentLength: resp.ContentLength, closes: resp.Close,
	}
}

// newClient returns a client on a connection.
func newClient(conn net.Conn) *client { return &client{conn: conn, reader: bufio.NewReader(conn)} }
