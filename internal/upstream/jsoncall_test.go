package upstream_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/heap"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Guards against an order that gets the answer to an earlier one, and against a request that gets an order's: answers to calls
// bear nothing that shows which call they belong to. The engine answers each call twice, the second time late.
func TestLateAnswerToCallIsNotTakenForAnother(t *testing.T) {
	is := is.New(t)
	calls := make(chan int, 1)
	calls <- 0
	e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		late := ""
		for path := readRequest(r); path != ""; path = readRequest(r) {
			n := <-calls + 1
			calls <- n
			_, _ = io.WriteString(c, late) // where the next answer is due
			body := fmt.Sprintf(`{"n":%d}`, n)
			late = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(c, late)
		}
	})
	c := upstream.New()
	defer c.Close()
	for n := 1; n <= 4; n++ {
		var out struct{ N int }
		is.NoErr(c.CallJSON(t.Context(), upstream.JSONCall{Addr: e.addr(), Method: fasthttp.MethodPost, Path: "/x", In: out, Out: &out, Timeout: time.Second}))
		is.Equal(out.N, n)
	}
}

// Guards against a report that is the second answer to an earlier call, because it came with the first, or while the connection
// was idle.
func TestConnectionWithUnreadBytesIsNotUsedAgain(t *testing.T) {
	for name, delay := range map[string]time.Duration{"with the answer": 0, "while idle": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls := make(chan int, 1)
			calls <- 0
			e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for path := readRequest(r); path != ""; path = readRequest(r) {
					n := <-calls + 1
					calls <- n
					body := fmt.Sprintf(`{"running":%d}`, n)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					if delay == 0 {
						_, _ = io.WriteString(c, answer+answer)
						continue
					}
					_, _ = io.WriteString(c, answer)
					time.Sleep(delay)
					_, _ = io.WriteString(c, answer)
				}
			})
			c := upstream.New()
			defer c.Close()
			for n := 1; n <= 3; n++ {
				l, err := c.Load(t.Context(), e.addr())
				is.NoErr(err)
				is.Equal(l.Running, n)
				time.Sleep(4 * delay)
			}
		})
	}
}

// Guards against an order that counts as accepted because of an answer without a status, or with another broken head, also behind
// an interim one.
func TestBrokenAnswerToCallIsAnError(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nX No-te: 1"} {
		is := is.New(t)
		e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, head+"\r\nContent-Length: 2\r\n\r\n{}")
		})
		c := upstream.New()
		defer c.Close()
		err := c.CallJSON(t.Context(), upstream.JSONCall{Addr: e.addr(), Method: fasthttp.MethodPost, Path: "/x", Timeout: time.Second})
		is.True(err != nil)
	}
}

// Guards against an instance that ends for lack of memory because many engines answer its small calls with bytes without end.
func TestAnswersToCallsWithoutEndLeaveMemory(t *testing.T) {
	const calls, memoryLimit = 60, 200 << 20 // bytes of heap, with the stand-ins' part
	block := bytes.Repeat([]byte("x"), 64<<10)
	e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for ; err == nil; time.Sleep(time.Millisecond) {
			_, err = c.Write(block)
		}
	})
	c := upstream.New()
	defer c.Close()
	peak := heap.Peak(func() {
		var open sync.WaitGroup
		for range calls {
			open.Go(func() {
				err := c.CallJSON(t.Context(), upstream.JSONCall{Addr: e.addr(), Method: fasthttp.MethodPost, Path: "/x", Timeout: time.Second})
				if err == nil {
					t.Error("bytes without end count as an answer")
				}
			})
		}
		open.Wait()
	})
	t.Logf("%d MB at the most", peak>>20)
	if peak >= memoryLimit {
		t.Errorf("%d MB of heap, allowed are %d", peak>>20, memoryLimit>>20)
	}
}
