package soak_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a link of the soak whose reset looks like the end of an answer: an answer without a length would be complete by
// the platform's word, and the soak would blame the daemon.
func TestResetOfLinkIsNoEndInOrder(t *testing.T) {
	const rounds, conns = 40, 16
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "half of it") // and nothing else
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	link, err := newProxy(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.close()
	for range rounds {
		ends := make(chan error, conns)
		var open []net.Conn
		for range conns {
			c, err := net.Dial("tcp", link.addr())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(c, make([]byte, len("half of it"))); err != nil {
				t.Fatal(err)
			}
			open = append(open, c)
			go func() {
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				_, err := c.Read(make([]byte, 1))
				ends <- err
			}()
		}
		link.reset()
		for range conns {
			if err := <-ends; !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("the link was reset, and its client sees %v", err)
			}
		}
		for _, c := range open {
			_ = c.Close()
		}
	}
}
