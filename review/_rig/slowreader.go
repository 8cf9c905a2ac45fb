package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

func init() { cases["stop-slow-reader"] = runStopSlowReader }

// Sizes of the case stop-slow-reader.
const (
	reportPrefix  = "/rapu33/"
	reportBytes   = 400_000
	reportTimeout = 15 * time.Second // timeout_ms of the route, and the client's deadline
	reportClients = 4
	readBefore    = 4_000 // bytes that a client reads at once
	readPause     = 4500 * time.Millisecond
	receiveBuffer = 4 << 10
	segmentBytes  = 536 // on loopback a segment has 64 KB, and the system buffers megabytes of an answer
)

// reportReply answers at once with a long body of known length.
func reportReply(rec *recorder) standin.Reply {
	body := strings.Repeat("0123456789abcdef", reportBytes/16)
	return func(c *standin.WorkerConn, a standin.Arrival) bool {
		if !strings.HasPrefix(a.Path, reportPrefix+"report") {
			return standin.OK("ready")(c, a)
		}
		rec.linef("worker %s: runs attempt %s", c.Worker.ID, a.AttemptID())
		standin.WriteHead(c, a, 200, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
		n, err := io.WriteString(c.Conn, body)
		rec.linef("worker %s: attempt %s: wrote %d bytes of the body: error %v", c.Worker.ID, a.AttemptID(), n, err)
		return err == nil
	}
}

// dialSlowClient connects over a link with a small window.
func dialSlowClient(addr string) (*client, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if ctlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		}); ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// runStopSlowReader checks LOST at a planned stop of an instance whose clients read a long answer slowly.
func runStopSlowReader(w *world, trouble bool) (int, error) {
	w.putConfig(plainRoute("r-report", reportPrefix, "idempotent", reportTimeout, 3*time.Second, 2))
	for i, zone := range zones {
		k, err := w.addWorker(fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return 0, err
		}
		k.SetReply(reportReply(w.rec))
	}
	for _, zone := range zones {
		if _, err := w.addDaemon(zone); err != nil {
			return 0, err
		}
	}
	if err := w.awaitReady(reportPrefix + "ready"); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second) // stable_window_ms: nothing is disturbed before the requests
	d := w.daemons[0]
	var mu sync.Mutex
	broken := 0
	var clients, begun sync.WaitGroup
	for range reportClients {
		begun.Add(1)
		clients.Go(func() {
			cut := readReport(w, d, begun.Done)
			mu.Lock()
			defer mu.Unlock()
			if cut {
				broken++
			}
		})
	}
	begun.Wait()
	if trouble {
		w.stopAsPlatform(d)
	}
	clients.Wait()
	return broken, nil
}

// stopAsPlatform sends SIGTERM to an instance, and SIGKILL after the grace.
func (w *world) stopAsPlatform(d *daemon) {
	sentAt := time.Now()
	w.rec.linef("SIGTERM to %s", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-d.exited:
			w.rec.linef("%s ended %.2f s after SIGTERM, of %s that it has", d.name, d.exitedAt.Sub(sentAt).Seconds(), fileGrace)
		case <-time.After(fileGrace):
			w.rec.linef("SIGKILL to %s", d.name)
			_ = d.cmd.Process.Kill()
		}
	}()
}

// readReport asks for a report and reads it slowly: its beginning, and after a pause the rest. It calls begun before the pause, and
// reports whether the answer ended early although the client's deadline and the route's timeout were not reached.
func readReport(w *world, d *daemon, begun func()) (cut bool) {
	var once sync.Once
	defer once.Do(begun)
	id := newAttemptID()
	c, err := dialSlowClient(d.callers)
	if err != nil {
		w.rec.linef("client: attempt %s: %v", id, err)
		return false
	}
	defer c.close()
	sentAt := time.Now()
	_ = c.conn.SetDeadline(sentAt.Add(reportTimeout))
	if err := c.send(http.MethodGet, reportPrefix+"report", id, reportTimeout); err != nil {
		w.rec.linef("client: attempt %s: %v", id, err)
		return false
	}
	w.rec.linef("client: attempt %s sent to %s", id, d.name)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		w.rec.linef("client: attempt %s: no answer: %v", id, err)
		return time.Since(sentAt) < reportTimeout
	}
	a := headOf(resp)
	w.rec.linef("client: attempt %s: status %d, seal %q, length %d", id, a.status, a.seal, a.contentLength)
	got, err := io.CopyN(io.Discard, resp.Body, readBefore)
	once.Do(begun)
	if err == nil {
		time.Sleep(readPause)
		var rest int64
		rest, err = io.Copy(io.Discard, resp.Body)
		got += rest
	}
	took := time.Since(sentAt)
	whole := got == a.contentLength
	w.rec.linef("client: attempt %s: %d of %d bytes after %.2f s: error %v", id, got, a.contentLength, took.Seconds(), err)
	return !whole && took < reportTimeout
}
