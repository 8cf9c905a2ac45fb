package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	longAnswer  = 100_000 // bytes
	shortAnswer = 800     // bytes
	workTime    = 150 * time.Millisecond
	earlyAfter  = 60 * time.Millisecond // the next request is sent so long after the one before
	smallWindow = 16 << 10              // bytes that a client's connection takes unread
	roundTrip   = 6 * time.Millisecond  // between an instance and a client
	stopClients = 4
)

// plainReply answers with a text of the length that the path names.
func plainReply(w *worker, c net.Conn, a arrival) {
	time.Sleep(workTime)
	n := shortAnswer
	if strings.HasPrefix(a.path, "/read/long") {
		n = longAnswer
	}
	w.writeHead(c, a, fmt.Sprintf("Content-Length: %d\r\n", n))
	sent, err := io.WriteString(c, strings.Repeat("x", n))
	w.record.printf("%s has answered %s with %d of %d bytes, error %v", w.id, a.attempt, sent, n, err)
}

// playStop lets clients use kept connections of an instance after its SIGTERM. Each sends its next request before the answer to the one
// before has come.
func playStop(w *world, trouble bool) ([]string, error) {
	w.putConfig(7, map[string]string{apiKey: tenant})
	for _, zone := range zones {
		if _, err := w.addWorker(servicePortal, zone, plainReply); err != nil {
			return nil, err
		}
	}
	if err := w.startInstances(); err != nil {
		return nil, err
	}
	i := w.instances[0]
	var clients []*keptClient
	for n := range stopClients {
		k, err := w.connect(i, n)
		if err != nil {
			return nil, err
		}
		defer k.close()
		clients = append(clients, k)
	}
	if trouble {
		w.record.printf("SIGTERM to %s", i.name)
		i.signal(syscall.SIGTERM)
	}
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for _, k := range clients {
		wg.Go(func() {
			if found := k.askTwice(); found != "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, found)
			}
		})
	}
	wg.Wait()
	return broken, nil
}

// keptClient is a client with a kept connection.
type keptClient struct {
	w      *world
	number int
	conn   net.Conn
	in     *bufio.Reader
	sent   int
}

// connect opens a connection with a small window, and gets a first answer on it.
func (w *world) connect(i *instance, number int) (*keptClient, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := d.Dial("tcp", i.front)
	if err != nil {
		return nil, err
	}
	k := &keptClient{w: w, number: number, conn: c, in: bufio.NewReaderSize(c, 4<<10)}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	attempt := k.send("/read/short")
	status, n, err := k.receive(attempt)
	if err != nil || status != http.StatusOK || n != shortAnswer {
		return nil, fmt.Errorf("first request of client %d: status %d, %d bytes, %w", number, status, n, err)
	}
	return k, nil
}

func (k *keptClient) close() { _ = k.conn.Close() }

// send sends a request and returns its id.
func (k *keptClient) send(path string) string {
	k.sent++
	attempt := fmt.Sprintf("5a2e07b1c4%02x%04x", k.number, k.sent)
	k.w.record.printf("client %d sends %s GET %s", k.number, attempt, path)
	fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\n\r\n", path, host, attempt, apiKey)
	return attempt
}

// receive reads the next answer.
func (k *keptClient) receive(attempt string) (status, n int, err error) {
	resp, err := http.ReadResponse(k.in, &http.Request{Method: http.MethodGet})
	if err != nil {
		k.w.record.printf("client %d, %s: no answer: %v", k.number, attempt, err)
		return 0, 0, err
	}
	got, err := k.readBody(resp.Body)
	k.w.record.printf("client %d, %s: status %d, id %s, %d bytes of %d, close: %t, error %v", k.number, attempt, resp.StatusCode, resp.Header.Get("Attempt-Id"),
		got, resp.ContentLength, resp.Close, err)
	return resp.StatusCode, int(got), err
}

// readBody reads a body as it comes over a link: a small window of it in each round trip.
func (k *keptClient) readBody(body io.Reader) (n int64, err error) {
	for {
		got, err := io.CopyN(io.Discard, body, smallWindow)
		n += got
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		time.Sleep(roundTrip)
	}
}

// askTwice sends a request and, before its answer has come, the next one. It returns how the first answer broke the rule.
func (k *keptClient) askTwice() (broken string) {
	first := k.send("/read/long")
	time.Sleep(earlyAfter)
	second := k.send("/read/short")
	status, n, err := k.receive(first)
	switch {
	case err != nil:
		return fmt.Sprintf("LOST %s: a worker has answered it, and the connection ends after %d of %d bytes: %v", first, n, longAnswer, err)
	case status == http.StatusOK && n != longAnswer:
		return fmt.Sprintf("LOST %s: %d of %d bytes", first, n, longAnswer)
	}
	_, _, _ = k.receive(second) // whether it is answered isn't judged: the first answer may have said that the connection closes
	return ""
}
