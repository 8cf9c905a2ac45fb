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

// Profile describes one of the users' deployments.
type Profile struct {
	Name             string
	Region           string
	Domains          []string
	Model            string   // the assistant's model
	Service          string   // name of the plain service
	EnginesPerDomain int      // about twenty engines in all failure domains together
	ServiceInstances int      // of the plain service
	Workspaces       []string // drawn with equal weights; a repeated one gets more requests
	Routing          string   // settings.profile
}

// profiles holds the profiles of the demo by name.
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
	minPromptTokens      = 1_000
	longPromptTokens     = 100_000
	maxPromptTokens      = 1_000_000
	promptsPerLongPrompt = 50 // on average one prompt in so many has more than longPromptTokens
)

// requestsPerCommand is the number of requests of which one is a call of the plain service.
const requestsPerCommand = 4

// workload generates the requests of a run from a seed.
type workload struct {
	profile Profile
	rng     *rand.Rand
	count   int
}

func newWorkload(p Profile, seed uint64) *workload {
	return &workload{profile: p, rng: rand.New(rand.NewPCG(seed, seed))}
}

// nextRequest returns the next request: a prompt, or a booking in every requestsPerCommand-th request.
func (w *workload) nextRequest() caller.Request {
	w.count++
	q := caller.Request{
		ID:        fmt.Sprintf("demo-%d", w.count),
		Workspace: w.profile.Workspaces[w.rng.IntN(len(w.profile.Workspaces))],
		Timeout:   time.Minute,
	}
	if w.count%requestsPerCommand == 0 {
		return w.booking(q)
	}
	q.Model = w.profile.Model
	q.Prompt = w.prompt(w.promptTokens())
	q.MaxTokens = 20 + w.rng.IntN(180)
	q.Stream = w.rng.IntN(4) > 0
	return q
}

// promptTokens draws a prompt length in tokens: on average one prompt in fifty is long. Short lengths are more frequent
// in both ranges.
func (w *workload) promptTokens() int {
	low, high := float64(minPromptTokens), float64(longPromptTokens)
	if w.rng.IntN(promptsPerLongPrompt) == 0 {
		low, high = longPromptTokens, maxPromptTokens
	}
	u := w.rng.Float64()
	return int(low * math.Pow(high/low, u*u))
}

// prompt returns a prompt of n tokens about one of eight logs. Prompts about the same log share a prefix.
func (w *workload) prompt(n int) string {
	topic := w.rng.IntN(8)
	var b strings.Builder
	b.Grow(n * wire.BytesPerToken)
	for i := 0; b.Len() < n*wire.BytesPerToken; i++ {
		fmt.Fprintf(&b, "log %d line %d; ", topic, i)
	}
	return b.String()[:n*wire.BytesPerToken]
}

// booking completes q as a call of the plain service. On average half of the calls have an idempotency key; the others
// are declared not idempotent.
func (w *workload) booking(q caller.Request) caller.Request {
	q.Method = "POST"
	q.Path = "/services/" + w.profile.Service + "/bookings"
	q.Body = fmt.Sprintf(`{"hut":"hut-%d","day":"2027-01-%02d"}`, w.count, 1+w.count%28)
	q.Timeout = 10 * time.Second
	if w.rng.IntN(2) == 0 {
		q.IdempotencyKey = "key-" + q.ID
	} else {
		q.Idempotent = "false"
	}
	return q
}
