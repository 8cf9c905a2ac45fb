package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against an instance that takes its own delay for an upstream's silence: what has arrived shows although nobody has
// read it, and so does the end of the connection.
func TestUnreadBytesShow(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	more := make(chan string)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		for text := range more {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	}()
	var unread Unread
	bytes, waiting := unread.Look()
	is.Equal(bytes, 0)
	is.True(!waiting) // there is no connection yet
	head := &fasthttp.RequestHeader{}
	head.SetHost("h")
	x, err := New().Forward(context.Background(), ForwardRequest{Addr: l.Addr().String(), Head: head, Unread: &unread})
	is.NoErr(err)
	defer x.Close()
	_, waiting = unread.Look()
	is.True(!waiting)
	more <- "12345"
	for end := time.Now().Add(5 * time.Second); !waiting && time.Now().Before(end); time.Sleep(time.Millisecond) {
		bytes, waiting = unread.Look()
	}
	is.True(waiting)
	is.Equal(bytes, 5)
	_, err = io.ReadFull(x, make([]byte, 5))
	is.NoErr(err)
	_, waiting = unread.Look()
	is.True(!waiting)
	close(more)
	for end := time.Now().Add(5 * time.Second); !waiting && time.Now().Before(end); time.Sleep(time.Millisecond) {
		bytes, waiting = unread.Look()
	}
	is.True(waiting)
	is.Equal(bytes, 0)
}

// Guards against an answer that was cut and counts as complete: a look at its connection takes the reset that the read should
// find, which then finds an end in order.
func TestLookLeavesResetToReader(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	cut := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		<-cut
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	var unread Unread
	head := &fasthttp.RequestHeader{}
	head.SetHost("h")
	x, err := New().Forward(context.Background(), ForwardRequest{Addr: l.Addr().String(), Head: head, Unread: &unread})
	is.NoErr(err)
	defer x.Close()
	_, err = io.ReadFull(x, make([]byte, 4))
	is.NoErr(err)
	close(cut)
	waiting := false
	for end := time.Now().Add(5 * time.Second); !waiting && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, waiting = unread.Look()
	}
	is.True(waiting)
	_, err = x.Read(make([]byte, 1))
	is.True(err != nil && err != io.EOF)
}
