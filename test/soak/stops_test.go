package soak_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

var stopsFor = flag.Duration("stops", 12*time.Second, "duration of the stops in series")

// Under these callers places are short, and many streams outlast the grace of a stop.
const (
	stopCallers    = 40 // at each daemon
	minLongEvents  = 20
	maxLongEvents  = 160
	tokensPerEvent = 46              // of the engines that PutConfig writes
	stopTimeout    = 8 * time.Second // from SIGTERM to the end of a process: the grace and what the machine adds
)

// Guards against requests that stopping daemons leave without an answer while places are short: those that wait until the
// process ends, and those that no upstream has begun.
func TestStopsInSeriesLeaveNoRequestWithoutAnswer(t *testing.T) {
	r := newStreamRun(t, nil)
	for _, w := range r.workers {
		w.SetReply(r.replySlowly)
	}
	r.startDaemons()
	startBusy(t, *busyProcesses)
	for i := range r.daemons {
		for n := range stopCallers {
			r.callers.Go(func() { r.runStopCaller(uint64(i*stopCallers + n)) })
		}
	}
	time.Sleep(time.Second)
	end := time.Now().Add(*stopsFor)
	var series sync.WaitGroup
	series.Go(func() { r.stopInSeries(end) })
	inSeries(&series, end, 700*time.Millisecond, func(n int) { r.putConfig(100*(n%2), 2*streamTimeout) })
	inSeries(&series, end, 300*time.Millisecond, func(n int) { r.signalOne(n%len(r.daemons), syscall.SIGHUP) })
	series.Wait()
	r.awaitServing("after the stops")
	r.checkStops()
}

// slowPath is the path of plain requests that take up to maxSlowWork.
const (
	slowPath    = "/quick/slow"
	maxSlowWork = 7 * time.Second
)

// replySlowly answers plain requests of slowPath after a time that depends on their id, and any other request as reply does.
func (r *streamRun) replySlowly(c *standin.WorkerConn, a standin.Arrival) bool {
	if a.Path != slowPath {
		return r.reply(c, a)
	}
	r.replies.Add(1)
	defer r.replies.Done()
	r.recordSend(a)
	h := fnv.New64a()
	_, _ = io.WriteString(h, a.AttemptID())
	time.Sleep(time.Duration(h.Sum64() % uint64(maxSlowWork)))
	return standin.OK("ok")(c, a)
}

// signalOne sends a signal to a daemon unless it has ended.
func (r *streamRun) signalOne(i int, s syscall.Signal) {
	r.lifeMu.Lock()
	defer r.lifeMu.Unlock()
	if _, ended := r.daemons[i].ended(); !ended {
		r.daemons[i].signal(s)
	}
}

// stopInSeries stops the daemons one after the other, with pauses from none to the usual length of a stop, and starts each
// again. Some get SIGTERM twice. It returns when all run again.
func (r *streamRun) stopInSeries(end time.Time) {
	var stopping sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		if n%len(r.daemons) == 0 {
			stopping.Wait() // each daemon stops once in a series
		}
		d, again := r.daemons[n%len(r.daemons)], r.rand.IntN(3) == 0
		stopping.Go(func() {
			d.signal(syscall.SIGTERM)
			if again {
				time.Sleep(200 * time.Millisecond)
				d.signal(syscall.SIGTERM)
			}
			if !d.awaitExit(stopTimeout) {
				r.t.Errorf("%s has not stopped %s after SIGTERM", d.name, stopTimeout)
				d.kill()
			}
			r.lifeMu.Lock()
			defer r.lifeMu.Unlock()
			d.start(r.t)
		})
		time.Sleep(time.Duration(r.rand.IntN(1500)) * time.Millisecond)
	}
	stopping.Wait()
}

// runStopCaller sends streams of very unlike lengths and slow plain requests until stop is closed, each connection's to any
// daemon.
func (r *streamRun) runStopCaller(number uint64) {
	random := rand.New(rand.NewPCG(*firstSeed, 5000+number))
	choose := func() *daemon { return r.daemons[random.IntN(len(r.daemons))] }
	r.call(random, 300, choose, func(i int) (standin.Call, string) {
		call := standin.Call{
			Method: http.MethodPost, Host: host, AttemptID: fmt.Sprintf("stop-%d-%d", number, i), Timeout: streamTimeout, Body: "hi",
			Path: slowPath,
		}
		if random.IntN(2) != 0 {
			return call, "ok"
		}
		events := minLongEvents + random.IntN(maxLongEvents-minLongEvents+1)
		call.Path, call.PromptTokens, call.MaxOutputTokens = fmt.Sprintf("/stream/%d", events), 4000, tokensPerEvent*maxLongEvents
		return call, standin.AllEvents(1, events)
	})
}

// checkStops reports each request that ended without an answer, unless its upstream was still at work at the end of a stop and
// its caller has a part of the answer; each such request has a line.
func (r *streamRun) checkStops() {
	r.t.Helper()
	outcomes := r.finish()
	logs := r.allLogs()
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts struct{ whole, refused, ended, brokenOff, crossed, failed int }
	for _, o := range outcomes {
		sends := len(r.sends[o.id])
		switch {
		case o.whole:
			counts.whole++
		case o.err == nil && o.status == http.StatusServiceUnavailable && sends == 0:
			counts.refused++
		case o.err == nil && (o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout) && sends > 0:
			counts.ended++
		case o.status == http.StatusOK && strings.Contains(logs, "answer cut off by the end of the stop: request="+o.id+" "):
			counts.brokenOff++
		case o.status == 0 && sends == 0 && !strings.Contains(logs, o.id+" "):
			counts.crossed++ // the daemon closed the connection, or ended, before it read the request
		default:
			counts.failed++
			if counts.failed <= 5 {
				r.t.Errorf("%s: status %d, %d events, sent %d times, error %v\n%s", o.id, o.status, o.events, sends, o.err, r.linesOf(o.id))
			}
		}
	}
	r.t.Logf("requests %d: %+v", len(outcomes), counts)
	if counts.failed > 0 || counts.whole == 0 {
		r.t.Errorf("%d of %d requests ended without an answer", counts.failed, len(outcomes))
	}
	if n := strings.Count(logs, "request dropped: this instance has closed its connection"); n > 0 {
		r.t.Errorf("%d requests were read and dropped", n)
	}
	r.checkLogs()
}

// allLogs returns what all daemons wrote.
func (r *streamRun) allLogs() string {
	var all strings.Builder
	for _, d := range r.daemons {
		all.WriteString(d.logSince(r.t, 0))
	}
	return all.String()
}
