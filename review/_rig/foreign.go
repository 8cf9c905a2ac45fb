package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

func init() { cases["foreign-answer"] = runForeignAnswer }

// Sizes of the case foreign-answer. The faulty workers are as many, and as often faulty, as the deployment's day allows
// for garble "extra late": share 0.6 and x 0.03 there, at most twice as much here.
const (
	foreignClients  = 9
	foreignLength   = 12 * time.Second
	foreignFrom     = 3 * time.Second
	foreignUntil    = 10 * time.Second
	foreignShare    = 0.06
	foreignPause    = 40 * time.Millisecond
	foreignDeadline = 2500 * time.Millisecond
)

// additionalBytes are what a faulty worker sends after a complete response: they bear neither Attempt-Id nor Server-Seal,
// and belong to no request.
const additionalBytes = "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 3\r\n\r\nok\n"

// bodyFor returns the whole body of the answer to an attempt.
func bodyFor(id string) string { return fmt.Sprintf(`{"attempt":%q,"status":"filed"}`, id) }

// garbling decides which answers of a worker are followed by additional bytes.
type garbling struct {
	rec         *recorder
	from, until time.Time

	mu      sync.Mutex
	pending map[int]bool // by connection: additional bytes are due where the next response is expected
}

// reply answers with the attempt's body. After some answers the worker sends additional bytes on the same connection, at
// the point where the next response is expected.
func (g *garbling) reply(c *standin.WorkerConn, a standin.Arrival) bool {
	g.mu.Lock()
	due := g.pending[a.Conn]
	now := time.Now()
	g.pending[a.Conn] = now.After(g.from) && now.Before(g.until) && rand.Float64() < foreignShare
	g.mu.Unlock()
	if due {
		g.rec.linef("worker %s, connection %d: additional bytes after a complete response, as attempt %s arrives", c.Worker.ID, a.Conn, a.AttemptID())
		c.Printf(additionalBytes, c.Worker.ID)
		time.Sleep(2 * time.Millisecond)
	}
	g.rec.linef("worker %s, connection %d: runs attempt %s", c.Worker.ID, a.Conn, a.AttemptID())
	return standin.OK(bodyFor(a.AttemptID()))(c, a)
}

// runForeignAnswer checks MIXED while workers send additional bytes after complete responses.
func runForeignAnswer(w *world, trouble bool) (int, error) {
	w.putConfig(plainRoute("r-status", statusPrefix, "idempotent", 1200*time.Millisecond, 150*time.Millisecond, 2))
	start := time.Now()
	for i, zone := range zones {
		k, err := w.addWorker(fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return 0, err
		}
		g := &garbling{rec: w.rec, pending: map[int]bool{}}
		if trouble && i < 2 {
			g.from, g.until = start.Add(foreignFrom), start.Add(foreignUntil)
		}
		k.SetReply(g.reply)
	}
	for _, zone := range zones {
		if _, err := w.addDaemon(zone); err != nil {
			return 0, err
		}
	}
	if err := w.awaitReady(statusPrefix + "ready"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	broken, sent, good := 0, 0, 0
	var clients sync.WaitGroup
	for i := range foreignClients {
		d := w.daemons[i%len(w.daemons)]
		clients.Go(func() {
			b, s, ok := askStatus(w, d, start.Add(foreignLength))
			mu.Lock()
			defer mu.Unlock()
			broken, sent, good = broken+b, sent+s, good+ok
		})
	}
	clients.Wait()
	w.rec.linef("requests sent: %d, whole answers of their own: %d", sent, good)
	if good == 0 {
		return 0, fmt.Errorf("nothing was served")
	}
	return broken, nil
}

// askStatus sends requests over kept connections until the end, and checks each answer. It returns how many answers break
// the rule, how many requests were sent, and how many got the worker's whole answer.
func askStatus(w *world, d *daemon, end time.Time) (broken, sent, good int) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for time.Now().Before(end) {
		var err error
		if c == nil {
			if c, err = dialClient(d.callers); err != nil {
				time.Sleep(pollInterval)
				continue
			}
		}
		id := newAttemptID()
		a, err := c.do(http.MethodGet, statusPrefix+"fee?id="+id, id, foreignDeadline)
		sent++
		switch {
		case err != nil:
			w.rec.linef("client at %s: attempt %s: %v", d.name, id, err)
		case a.status >= 200 && a.status < 300 && (a.seal == "" || a.attemptID != id || string(a.body) != bodyFor(id)):
			broken++
			w.rec.linef("BROKEN client at %s: attempt %s: status %d, Server-Seal %q, Attempt-Id %q, body %q", d.name, id, a.status, a.seal, a.attemptID, a.body)
		case a.status >= 200 && a.status < 300:
			good++
			w.rec.linef("client at %s: attempt %s: status %d, its own whole answer", d.name, id, a.status)
		default:
			w.rec.linef("client at %s: attempt %s: status %d", d.name, id, a.status)
		}
		if err != nil || a.closes {
			c.close()
			c = nil
		}
		time.Sleep(foreignPause)
	}
	return broken, sent, good
}
