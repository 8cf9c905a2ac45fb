package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 20
	eventInterval = 100 * time.Millisecond
	streams       = 9
	engines       = 6
	crashAfter    = 800 * time.Millisecond // since the streams began

	byteOrderMark = "\ufeff"
)

// streamReply answers with the events after Last-Event-Id. Like each stream of the format text/event-stream, it may begin with a
// byte-order mark.
func streamReply(w *worker, c net.Conn, a arrival) {
	from, _ := strconv.Atoi(a.lastEvent)
	w.writeHead(c, a, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	mark := byteOrderMark
	for id := from + 1; id <= streamEvents; id++ {
		e := fmt.Sprintf("%sid: %d\ndata: piece %d\n\n", mark, id, id)
		mark = ""
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// sseEvent is an event as a client of text/event-stream gets it.
type sseEvent struct{ id, data string }

// parseEvents reads a stream by the rules of the format: one byte-order mark at its beginning is ignored, a field of an unknown name is
// ignored, and an event without an id keeps the last one.
func parseEvents(text string) (all []sseEvent) {
	lastID, data, hasData := "", "", false
	for _, line := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if hasData {
				all = append(all, sseEvent{lastID, data})
			}
			data, hasData = "", false
		case name == "id":
			lastID = value
		case name == "data":
			data, hasData = value, true
		}
	}
	return all
}

// playOrder lets the worker with most streams crash, so that instances resume its streams elsewhere.
func playOrder(w *world, trouble bool) ([]string, error) {
	w.putConfig(7, map[string]string{apiKey: tenant})
	for n := range engines {
		if _, err := w.addWorker(serviceEngines, zones[n%len(zones)], streamReply); err != nil {
			return nil, err
		}
	}
	if err := w.startInstances(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for n := range streams {
		wg.Go(func() {
			found := w.checkStream(w.instances[n%len(w.instances)], fmt.Sprintf("9c41d07be2a35f%02x", n))
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, found...)
		})
	}
	time.Sleep(crashAfter)
	if trouble {
		busiest := w.workers[0]
		for _, k := range w.workers {
			if k.runningRequests() > busiest.runningRequests() {
				busiest = k
			}
		}
		w.record.printf("%s crashes, with %d streams", busiest.id, busiest.runningRequests())
		busiest.crash()
	}
	wg.Wait()
	return broken, nil
}

// checkStream asks for a stream and returns what its client finds missing, doubled or out of order in a stream that ends as complete.
func (w *world) checkStream(i *instance, attempt string) (broken []string) {
	c, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		w.record.printf("%s: no connection: %v", attempt, err)
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	w.record.printf("%s sent to %s", attempt, i.name)
	fmt.Fprintf(c, "POST /ask/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Count: 1460,920\r\nPrompt-Prefix: 5c1e07a2:800,%s:660\r\n"+
		"Deadline-Ms: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nhello", host, attempt, attempt[8:], apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		w.record.printf("%s: no answer: %v", attempt, err)
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	w.record.printf("%s: status %d, seal %q, %d bytes, complete: %t", attempt, resp.StatusCode, resp.Header.Get("Server-Seal"), len(body), err == nil)
	if resp.StatusCode != http.StatusOK || err != nil {
		return nil // refused, or seen to be cut
	}
	events := parseEvents(string(body))
	var ids []string
	count := map[string]int{}
	for _, e := range events {
		ids = append(ids, e.id)
		count[e.id]++
	}
	for id := 1; id <= streamEvents; id++ {
		if n := count[strconv.Itoa(id)]; n != 1 {
			broken = append(broken, fmt.Sprintf("ORDER %s: the piece with id %d comes %d times in a stream that ends as complete", attempt, id, n))
		}
	}
	if len(broken) > 0 {
		w.record.printf("%s: ids of the events: %s", attempt, strings.Join(ids, " "))
		if at := strings.LastIndex(string(body), byteOrderMark); at > 0 {
			w.record.printf("%s: bytes from %d on: %q", attempt, max(0, at-24), body[max(0, at-24):min(len(body), at+30)])
		}
	}
	return broken
}
