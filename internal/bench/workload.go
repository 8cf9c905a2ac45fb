package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Deployment is one of the users' services, by their brief.
type Deployment struct {
	Name        string
	Profile     string // of the settings that they would choose
	Engines     int
	Domains     []string
	Workspaces  []WorkspaceShare
	RepeatShare float64 // share of long prompts that ask again over a document asked about before
}

// Share is a workspace and its part of the traffic.
type WorkspaceShare struct {
	Name         fleet.WorkspaceID
	TrafficShare float64
}

// tenWorkspaces is "about ten, a few of them large".
var tenWorkspaces = []WorkspaceShare{
	{"w0", 0.30}, {"w1", 0.20}, {"w2", 0.15}, {"w3", 0.05}, {"w4", 0.05},
	{"w5", 0.05}, {"w6", 0.05}, {"w7", 0.05}, {"w8", 0.05}, {"w9", 0.05},
}

// Coteau and ASRQ are the brief's two deployments.
var (
	Coteau = Deployment{"coteau", "short_first", 20, []string{"north-ice", "mid-ice", "south-ice"}, tenWorkspaces, 0.2}
	ASRQ   = Deployment{"asrq", "long_first", 20, []string{"poa-a", "poa-b", "poa-c"}, tenWorkspaces, 0.3}
)

// The mix of prompts: lengths are log-uniform within a range, one in fifty is long.
const (
	longShare   = 0.02
	minPrompt   = 1_000
	maxPrompt   = 1_000_000
	minAnswer   = 50
	maxAnswer   = 350
	headBlocks  = 2   // blocks that prompts of a workspace begin with
	headShare   = 0.5 // share of prompts that begin with them
	documents   = 16  // documents that a workspace asks about again
	answerSlack = 1.5 // most tokens that callers allow, for each that comes

	// groupOverhead is what engines of a group lose by exchanging KV cache, as a share of their work.
	groupOverhead = 0.25
)

// timeouts of callers, by class, for the whole answer.
var timeouts = [cost.ClassCount]time.Duration{
	cost.Short: 20 * time.Second, cost.Medium: 40 * time.Second,
	cost.Long: 120 * time.Second, cost.Group: 180 * time.Second,
}

// arrival is one caller's request.
type arrival struct {
	at        decide.Instant
	workspace fleet.WorkspaceID
	prompt    cost.Prompt
	answer    int // tokens that come
	class     cost.Class
	deadline  decide.Instant
	entry     int
}

// workload makes a deployment's arrivals for a load and a time. The short prompts are the same, at the
// same instants, with and without the long ones.
type workload struct {
	deployment *Deployment
	model      EngineModel
	entries    int
	rng        *rand.Rand
	fresh      uint64 // next unused block hash
	seen       map[uint64]bool
}

const hashMix = 0x9e3779b97f4a7c15

func newWorkload(d *Deployment, model EngineModel, entries int, seed uint64) *workload {
	return &workload{d, model, entries, rand.New(rand.NewPCG(seed, 1)), 1, map[uint64]bool{}}
}

// make gives the arrivals of a run. Load 1.0 is the work, each repeated block computed just once, that
// keeps all engines busy for the whole span; the instants are stretched until that is exact.
func (w *workload) make(load float64, span time.Duration) []arrival {
	rate := load * float64(w.deployment.Engines) / w.meanWork().Seconds() // requests a second
	var list []arrival
	var work time.Duration
	at := decide.Instant(0)
	for at.Sub(0) < span {
		at = at.Add(time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)))
		list = append(list, w.one(at))
		work += w.work(&list[len(list)-1])
	}
	stretch := work.Seconds() / (load * float64(w.deployment.Engines) * at.Sub(0).Seconds())
	for i := range list {
		list[i].at = decide.Instant(float64(list[i].at) * stretch)
		list[i].deadline = list[i].at.Add(timeouts[list[i].class])
	}
	return list
}

// meanWork measures the mean engine time of a request over a sample, on a workload of its own.
func (w *workload) meanWork() time.Duration {
	const sample = 20_000
	probe := newWorkload(w.deployment, w.model, w.entries, 99)
	var sum time.Duration
	for range sample {
		a := probe.one(0)
		sum += probe.work(&a)
	}
	return sum / sample
}

// work is the engine time of a request where every block seen before is cached.
func (w *workload) work(a *arrival) time.Duration {
	tokens := a.prompt.Tokens
	if a.class == cost.Group {
		tokens += int(float64(tokens) * groupOverhead) // and nothing of it is cached
		return w.model.prefillTime(tokens) + time.Duration(a.answer)*w.model.PerDecode
	}
	for _, hash := range a.prompt.Blocks {
		if !w.seen[hash] {
			w.seen[hash] = true
			continue
		}
		tokens -= wire.BlockTokens
	}
	return w.model.prefillTime(max(tokens, 1)) + time.Duration(a.answer)*w.model.PerDecode
}

func (w *workload) one(at decide.Instant) arrival {
	space := w.space()
	a := arrival{
		at: at, workspace: w.deployment.Workspaces[space].Name,
		answer: minAnswer + w.rng.IntN(maxAnswer-minAnswer), entry: w.rng.IntN(w.entries),
	}
	if w.rng.Float64() < longShare {
		w.long(&a, space)
	} else {
		w.short(&a, space)
	}
	a.prompt.MaxAnswerTokens = int(float64(a.answer) * answerSlack)
	a.class = cost.ClassOf(a.prompt.Tokens, a.prompt.MaxAnswerTokens, w.model.KVCacheTokens)
	a.deadline = at.Add(timeouts[a.class])
	return a
}

func (w *workload) space() int {
	x := w.rng.Float64()
	for i, s := range w.deployment.Workspaces {
		if x -= s.TrafficShare; x < 0 {
			return i
		}
	}
	return 0
}

func logUniform(rng *rand.Rand, from, to float64) int {
	return int(from * math.Pow(to/from, rng.Float64()))
}

func (w *workload) short(a *arrival, space int) {
	a.prompt.Tokens = logUniform(w.rng, minPrompt, cost.LongMin)
	blocks := a.prompt.Tokens / wire.BlockTokens
	head := 0
	if w.rng.Float64() < headShare {
		head = min(headBlocks, blocks)
	}
	for i := range blocks {
		if i < head {
			a.prompt.Blocks = append(a.prompt.Blocks, uint64(space*headBlocks+i+1)*hashMix)
			continue
		}
		a.prompt.Blocks = append(a.prompt.Blocks, w.unused())
	}
}

func (w *workload) unused() uint64 {
	w.fresh++
	return (w.fresh + 1<<20) * hashMix
}

// long makes a prompt over a whole document, at times one that was asked about before.
func (w *workload) long(a *arrival, space int) {
	if w.rng.Float64() < w.deployment.RepeatShare {
		w.document(a, uint64(space*documents+w.rng.IntN(documents)))
		return
	}
	a.prompt.Tokens = logUniform(w.rng, cost.LongMin, maxPrompt)
	for range a.prompt.Tokens / wire.BlockTokens {
		a.prompt.Blocks = append(a.prompt.Blocks, w.unused())
	}
}

// document gives the prompt over a document that the workspace keeps asking about: its own number fixes
// its length and blocks, and the question at the end differs.
func (w *workload) document(a *arrival, number uint64) {
	rng := rand.New(rand.NewPCG(number, 2))
	length := logUniform(rng, cost.LongMin, maxPrompt)
	a.prompt.Tokens = length
	for i := range uint64(length / wire.BlockTokens) {
		a.prompt.Blocks = append(a.prompt.Blocks, (number<<32|i|1<<60)*hashMix)
	}
}
