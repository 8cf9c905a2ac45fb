package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a worker runs.
type arrival struct {
	attempt, path, tenant, lastEvent string
}

// reply answers a request on its connection, after its work has begun.
type reply func(w *worker, c net.Conn, a arrival)

// worker is a stand-in for a worker of a service, as PROTOCOL.md describes it.
type worker struct {
	id, service, zone string
	record            *record
	reply             reply
	listener          net.Listener
	born              time.Time

	mu      sync.Mutex
	conns   map[net.Conn]bool // guarded by mu
	running int               // guarded by mu: requests
	all     []arrival         // guarded by mu: that it ran
}

func newWorker(id, service, zone string, r *record, reply reply) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, record: r, reply: reply, listener: l, born: time.Now(), conns: map[net.Conn]bool{}}
	go w.accept()
	return w, nil
}

func (w *worker) addr() string { return w.listener.Addr().String() }

// runningRequests returns how many requests it works on.
func (w *worker) runningRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

// crash ends the worker as a process that is killed: it refuses connections, and those that were open are reset.
func (w *worker) crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// idleTime is how long a connection may be without a request.
const idleTime = 6 * time.Second

// serve answers the requests of a connection, one at a time.
func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTime))
		rq, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		a := arrival{attempt: rq.Header.Get("Attempt-Id"), path: rq.RequestURI, tenant: rq.Header.Get("Tenant"), lastEvent: rq.Header.Get("Last-Event-Id")}
		if want := rq.Header.Get("Expect-Instance"); want != "" && want != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", a.attempt, w.id)
			continue
		}
		w.mu.Lock()
		w.running++
		w.all = append(w.all, a)
		w.mu.Unlock()
		w.record.printf("%s runs %s %s, Tenant %q, Last-Event-Id %q", w.id, a.attempt, a.path, a.tenant, a.lastEvent)
		w.reply(w, c, a)
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}
}

// ran returns the requests that it ran.
func (w *worker) ran() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.all...)
}

// writeHead writes the head of a success; lines are further lines of it.
func (w *worker) writeHead(c net.Conn, a arrival, lines string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nKeep-Alive: timeout=%d\r\n%s\r\n", a.attempt, w.id, a.attempt, int(idleTime.Seconds()), lines)
}
