package main

import (
	"bytes"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

func init() { cases["form-body"] = runFormBody }

// Sizes of the case form-body.
const (
	filingPrefix   = "/rapu33/"
	filingClients  = 6
	filingsPerEach = 5
	filingDeadline = 2500 * time.Millisecond
	filingPause    = 100 * time.Millisecond
	documentBytes  = 2000
)

// filings holds the bodies that workers received, by attempt.
type filings struct {
	rec *recorder
	mu  sync.Mutex
	ran map[string][]byte
}

// reply runs a filing: it takes the body that arrived as filed, and says so.
func (f *filings) reply(c *standin.WorkerConn, a standin.Arrival) bool {
	f.mu.Lock()
	f.ran[a.AttemptID()] = a.Body
	f.mu.Unlock()
	f.rec.linef("worker %s: runs attempt %s: %s %s, Content-Type %q, body of %d bytes", c.Worker.ID, a.AttemptID(), a.Method, a.Path,
		a.Header.Get("Content-Type"), len(a.Body))
	return standin.OK(`{"filed":true}`)(c, a)
}

// received returns the body that a worker ran for an attempt, and whether one did.
func (f *filings) received(id string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.ran[id]
	return b, ok
}

// runFormBody checks UNASKED for filings whose body is a form with a document. Without the trouble the same bytes are sent
// as plain bytes.
func runFormBody(w *world, trouble bool) (int, error) {
	w.putConfig(plainRoute("r-filing", filingPrefix, "non_idempotent", 1200*time.Millisecond, 150*time.Millisecond, 1))
	f := &filings{rec: w.rec, ran: map[string][]byte{}}
	for i, zone := range zones {
		k, err := w.addWorker(fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return 0, err
		}
		k.SetReply(f.reply)
	}
	for _, zone := range zones {
		if _, err := w.addDaemon(zone); err != nil {
			return 0, err
		}
	}
	if err := w.awaitReady(filingPrefix + "ready"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	broken, ran := 0, 0
	var clients sync.WaitGroup
	for i := range filingClients {
		d := w.daemons[i%len(w.daemons)]
		clients.Go(func() {
			for range filingsPerEach {
				changed, done := file(w, f, d, trouble)
				mu.Lock()
				broken, ran = broken+changed, ran+done
				mu.Unlock()
				time.Sleep(filingPause)
			}
		})
	}
	clients.Wait()
	w.rec.linef("filings run: %d, of them with another body than the client's: %d", ran, broken)
	if ran == 0 {
		return 0, fmt.Errorf("no filing was run")
	}
	return broken, nil
}

// formBody returns a form with one document, and its content type.
func formBody(id string) (body []byte, contentType string) {
	var b bytes.Buffer
	m := multipart.NewWriter(&b)
	part, err := m.CreateFormFile("dossier", id+".txt")
	if err == nil {
		_, err = io.WriteString(part, strings.Repeat("record ", documentBytes/7))
	}
	if err != nil || m.Close() != nil {
		panic(err) // a bytes.Buffer accepts all writes
	}
	return b.Bytes(), m.FormDataContentType()
}

// file sends one filing with the length of its body, and compares what a worker ran with it.
func file(w *world, f *filings, d *daemon, trouble bool) (changed, ran int) {
	c, err := dialClient(d.callers)
	if err != nil {
		w.rec.linef("client at %s: %v", d.name, err)
		return 0, 0
	}
	defer c.close()
	id := newAttemptID()
	body, contentType := formBody(id)
	if !trouble {
		contentType = "application/octet-stream"
	}
	_ = c.conn.SetDeadline(time.Now().Add(filingDeadline))
	w.rec.linef("client at %s: attempt %s: POST, Content-Type %q, body of %d bytes", d.name, id, contentType, len(body))
	_, err = fmt.Fprintf(c.conn, "POST %sfile HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", filingPrefix, callersHost, id, filingDeadline.Milliseconds(), apiKey, contentType, len(body), body)
	if err != nil {
		w.rec.linef("client at %s: attempt %s: %v", d.name, id, err)
		return 0, 0
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		w.rec.linef("client at %s: attempt %s: no answer: %v", d.name, id, err)
		return 0, 0
	}
	a := headOf(resp)
	answered, _ := io.ReadAll(resp.Body)
	w.rec.linef("client at %s: attempt %s: status %d, seal %q, body %q", d.name, id, a.status, a.seal, answered)
	got, ok := f.received(id)
	switch {
	case !ok:
		return 0, 0
	case !bytes.Equal(got, body):
		w.rec.linef("BROKEN attempt %s: a worker ran it with a body of %d bytes; the client sent %d", id, len(got), len(body))
		return 1, 1
	}
	return 0, 1
}
