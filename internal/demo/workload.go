package demo

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Profile is one of the users' deployments, as the brief gives them.
type Profile struct {
	Name             string
	Region           string
	Domains          []string
	Model            string // the assistant's model
	Service          string // the plain service beside it
	EnginesPerDomain int    // engines in each failure domain; about twenty in all
	ServiceInstances int
	Workspaces       []string
	Routing          string // settings.profile
}

// Profiles of the demo.
var profiles = map[string]Profile{
	"coteau": {
		Name: "coteau", Region: "sask-plains", Domains: []string{"north-ice", "mid-ice", "south-ice"},
		Model: "guidebot", Service: "bookdesk", EnginesPerDomain: 7, ServiceInstances: 3, Routing: "short_first",
		Workspaces: []string{"anglers", "anglers", "anglers", "guides", "guides", "safety", "day", "evening", "rental", "lodge-1", "lodge-2", "lodge-3"},
	},
	"asrq": {
		Name: "asrq", Region: "sul-poa", Domains: []string{"poa-a", "poa-b", "poa-c"},
		Model: "damask-modelo", Service: "portal-dossie", EnginesPerDomain: 7, ServiceInstances: 3, Routing: "long_first",
		Workspaces: []string{"dossiers", "dossiers", "dossiers", "identity", "identity", "status", "tannery-1", "tannery-2", "dyes", "export", "fees", "review"},
	},
}

// Prompt lengths in tokens.
const (
	minTokens  = 1_000
	longTokens = 100_000
	maxTokens  = 1_000_000
	longOneIn  = 50 // one prompt in so many is over longTokens
)

// commandOneIn is the share of plain-service calls: one request in so many.
const commandOneIn = 4

// workload makes the requests of a run from a seed.
type workload struct {
	p    Profile
	rng  *rand.Rand
	next int
}

func newWorkload(p Profile, seed uint64) *workload {
	return &workload{p: p, rng: rand.New(rand.NewPCG(seed, seed))}
}

// request makes the next request.
func (w *workload) request() caller.Request {
	w.next++
	q := caller.Request{
		ID:        fmt.Sprintf("demo-%d", w.next),
		Workspace: w.p.Workspaces[w.rng.IntN(len(w.p.Workspaces))],
		Timeout:   time.Minute,
	}
	if w.next%commandOneIn == 0 {
		return w.booking(q)
	}
	q.Model = w.p.Model
	q.Prompt = w.text(w.tokens())
	q.MaxTokens = 20 + w.rng.IntN(180)
	q.Stream = w.rng.IntN(4) > 0
	return q
}

// tokens draws a prompt length: one in fifty is long, the others lean to the short end.
func (w *workload) tokens() int {
	low, high := float64(minTokens), float64(longTokens)
	if w.rng.IntN(longOneIn) == 0 {
		low, high = longTokens, maxTokens
	}
	u := w.rng.Float64()
	return int(low * math.Pow(high/low, u*u))
}

// text is a prompt of n tokens. Prompts of one workload share beginnings, as questions over the same log
// do.
func (w *workload) text(n int) string {
	topic := w.rng.IntN(8)
	var b strings.Builder
	b.Grow(n * wire.BytesPerToken)
	for i := 0; b.Len() < n*wire.BytesPerToken; i++ {
		fmt.Fprintf(&b, "log %d line %d; ", topic, i)
	}
	return b.String()[:n*wire.BytesPerToken]
}

// booking makes a call of the plain service: half of them with a key, half with the mark alone.
func (w *workload) booking(q caller.Request) caller.Request {
	q.Method = "POST"
	q.Path = "/services/" + w.p.Service + "/bookings"
	q.Body = fmt.Sprintf(`{"hut":"hut-%d","day":"2027-01-%02d"}`, w.next, 1+w.next%28)
	q.Timeout = 10 * time.Second
	if w.rng.IntN(2) == 0 {
		q.IdempotencyKey = "key-" + q.ID
	} else {
		q.Idempotent = "false"
	}
	return q
}
