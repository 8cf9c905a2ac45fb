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

// Deployment is the service of one group of users, with the figures that they state.
type Deployment struct {
	Name        string
	Profile     string // name of the routing profile
	Engines     int
	Domains     []string
	Workspaces  []WorkspaceShare
	RepeatShare float64 // share of the long prompts that are over a recurring document
}

// WorkspaceShare is a workspace and its share of the traffic.
type WorkspaceShare struct {
	Name         fleet.WorkspaceID
	TrafficShare float64
}

// tenWorkspaces are ten workspaces, a few of them large.
var tenWorkspaces = []WorkspaceShare{
	{"w0", 0.30}, {"w1", 0.20}, {"w2", 0.15}, {"w3", 0.05}, {"w4", 0.05},
	{"w5", 0.05}, {"w6", 0.05}, {"w7", 0.05}, {"w8", 0.05}, {"w9", 0.05},
}

// Coteau and ASRQ are the two deployments.
var (
	Coteau = Deployment{"coteau", "short_first", 20, []string{"north-ice", "mid-ice", "south-ice"}, tenWorkspaces, 0.2}
	ASRQ   = Deployment{"asrq", "long_first", 20, []string{"poa-a", "poa-b", "poa-c"}, tenWorkspaces, 0.3}
)

// The mix of prompts. Lengths, in tokens, are log-uniform within a range, and one prompt in fifty is long.
const (
	longPromptShare       = 0.02
	minPromptTokens       = 1_000
	maxPromptTokens       = 1_000_000
	minAnswerTokens       = 50
	maxAnswerTokens       = 350
	sharedPrefixBlocks    = 2   // leading blocks that prompts of a workspace share
	sharedPrefixShare     = 0.5 // share of the short prompts that begin with them
	documentsPerWorkspace = 16  // documents that recur in a workspace's prompts
	maxAnswerRatio        = 1.5 // tokens that callers allow for each token of the answer

	// groupOverhead is the additional work of a group's engines for the exchange of KV cache, as a share of their
	// work.
	groupOverhead = 0.25
)

// classTimeouts are the callers' timeouts for the whole answer, by class.
var classTimeouts = [cost.ClassCount]time.Duration{
	cost.Short: 20 * time.Second, cost.Medium: 40 * time.Second,
	cost.Long: 120 * time.Second, cost.Group: 180 * time.Second,
}

// arrival is one caller's request as it arrives.
type arrival struct {
	at           decide.Instant
	workspace    fleet.WorkspaceID
	prompt       cost.Prompt
	answerTokens int // length of the answer
	class        cost.Class
	deadline     decide.Instant
	instance     int // index of the instance that receives it
}

// workload generates the arrivals of a deployment for a load and a span. Runs with and without long prompts have the
// same short prompts at the same instants.
type workload struct {
	deployment *Deployment
	model      EngineModel
	instances  int
	rng        *rand.Rand
	hashCount  uint64          // number of the last new block hash
	seen       map[uint64]bool // blocks that engineTime has met
}

// hashMultiplier spreads consecutive block numbers over the range of hashes.
const hashMultiplier = 0x9e3779b97f4a7c15

func newWorkload(d *Deployment, model EngineModel, instances int, seed uint64) *workload {
	return &workload{d, model, instances, rand.New(rand.NewPCG(seed, 1)), 1, map[uint64]bool{}}
}

// generate returns the arrivals of a run. Load 1.0 is the work that keeps all engines busy for the whole span if each
// repeated block is computed only once. The instants are stretched so that the load is exact.
func (w *workload) generate(load float64, span time.Duration) []arrival {
	rate := load * float64(w.deployment.Engines) / w.meanEngineTime().Seconds() // requests per second
	var arrivals []arrival
	var work time.Duration
	at := decide.Instant(0)
	for at.Sub(0) < span {
		at = at.Add(time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)))
		arrivals = append(arrivals, w.drawArrival(at))
		work += w.engineTime(&arrivals[len(arrivals)-1])
	}
	stretch := work.Seconds() / (load * float64(w.deployment.Engines) * at.Sub(0).Seconds())
	for i := range arrivals {
		arrivals[i].at = decide.Instant(float64(arrivals[i].at) * stretch)
		arrivals[i].deadline = arrivals[i].at.Add(classTimeouts[arrivals[i].class])
	}
	return arrivals
}

// meanEngineTime returns the mean engine time of a request over a sample from a separate workload.
func (w *workload) meanEngineTime() time.Duration {
	const sample = 20_000
	probe := newWorkload(w.deployment, w.model, w.instances, 99)
	var sum time.Duration
	for range sample {
		a := probe.drawArrival(0)
		sum += probe.engineTime(&a)
	}
	return sum / sample
}

// engineTime returns the engine time of a request if all blocks of earlier requests are cached, and adds its blocks to
// the cached ones.
func (w *workload) engineTime(a *arrival) time.Duration {
	tokens := a.prompt.Tokens
	if a.class == cost.Group {
		tokens += int(float64(tokens) * groupOverhead) // groups use no cached blocks
		return w.model.prefillTime(tokens) + time.Duration(a.answerTokens)*w.model.PerDecode
	}
	for _, hash := range a.prompt.Blocks {
		if !w.seen[hash] {
			w.seen[hash] = true
			continue
		}
		tokens -= wire.BlockTokens
	}
	return w.model.prefillTime(max(tokens, 1)) + time.Duration(a.answerTokens)*w.model.PerDecode
}

// drawArrival draws a request that arrives at the given instant.
func (w *workload) drawArrival(at decide.Instant) arrival {
	workspace := w.drawWorkspace()
	a := arrival{
		at: at, workspace: w.deployment.Workspaces[workspace].Name,
		answerTokens: minAnswerTokens + w.rng.IntN(maxAnswerTokens-minAnswerTokens), instance: w.rng.IntN(w.instances),
	}
	if w.rng.Float64() < longPromptShare {
		w.drawLong(&a, workspace)
	} else {
		w.drawShort(&a, workspace)
	}
	a.prompt.MaxOutputTokens = int(float64(a.answerTokens) * maxAnswerRatio)
	a.class = cost.ClassOf(a.prompt.Tokens, a.prompt.MaxOutputTokens, w.model.KVCacheTokens)
	a.deadline = at.Add(classTimeouts[a.class])
	return a
}

// drawWorkspace draws the index of a workspace by the shares of the traffic.
func (w *workload) drawWorkspace() int {
	x := w.rng.Float64()
	for i, s := range w.deployment.Workspaces {
		if x -= s.TrafficShare; x < 0 {
			return i
		}
	}
	return 0
}

// logUniform draws a number between from and to whose logarithm is uniformly distributed.
func logUniform(rng *rand.Rand, from, to float64) int {
	return int(from * math.Pow(to/from, rng.Float64()))
}

// drawShort draws a prompt shorter than a long one, which may begin with the workspace's shared blocks.
func (w *workload) drawShort(a *arrival, workspace int) {
	a.prompt.Tokens = logUniform(w.rng, minPromptTokens, cost.LongMin)
	blocks := a.prompt.Tokens / wire.BlockTokens
	shared := 0
	if w.rng.Float64() < sharedPrefixShare {
		shared = min(sharedPrefixBlocks, blocks)
	}
	for i := range blocks {
		if i < shared {
			a.prompt.Blocks = append(a.prompt.Blocks, uint64(workspace*sharedPrefixBlocks+i+1)*hashMultiplier)
			continue
		}
		a.prompt.Blocks = append(a.prompt.Blocks, w.newBlockHash())
	}
}

// newBlockHash returns the hash of a block that occurs in no other prompt.
func (w *workload) newBlockHash() uint64 {
	w.hashCount++
	return (w.hashCount + 1<<20) * hashMultiplier
}

// drawLong draws a prompt over a whole document, which may be one of the workspace's recurring documents.
func (w *workload) drawLong(a *arrival, workspace int) {
	if w.rng.Float64() < w.deployment.RepeatShare {
		w.repeatDocument(a, uint64(workspace*documentsPerWorkspace+w.rng.IntN(documentsPerWorkspace)))
		return
	}
	a.prompt.Tokens = logUniform(w.rng, cost.LongMin, maxPromptTokens)
	for range a.prompt.Tokens / wire.BlockTokens {
		a.prompt.Blocks = append(a.prompt.Blocks, w.newBlockHash())
	}
}

// repeatDocument sets the prompt to a recurring document. The document's number determines its length and blocks. The
// question after it differs and is not modeled as blocks.
func (w *workload) repeatDocument(a *arrival, number uint64) {
	rng := rand.New(rand.NewPCG(number, 2))
	length := logUniform(rng, cost.LongMin, maxPromptTokens)
	a.prompt.Tokens = length
	for i := range uint64(length / wire.BlockTokens) {
		a.prompt.Blocks = append(a.prompt.Blocks, (number<<32|i|1<<60)*hashMultiplier)
	}
}
