package passes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Workload is a deployment's engines and the prompts that come to them.
type Workload struct {
	Name        string
	Model       dispatch.Model
	Engines     int
	EventTokens int // of an event
	classes     []class
}

// class is a kind of prompt: sizes lognormal, arrivals at random. Times in ms.
type class struct {
	name         string
	mean, spread float64 // tokens
	most         float64
	events       int
	aim, gap     float64
	patience     float64
	deadline     float64
	perS         float64
	worth        float64 // of a prompt of the mean size that is answered in time; lateShare of it later
}

// lateShare is what an answer that comes late is worth.
const lateShare = 0.25

// The users' small deployments, as their pages state them; times in ms.
var (
	Coteau = Workload{
		Name: "coteau", Engines: 21, EventTokens: 46,
		Model: dispatch.Model{
			Slots: 16, KVCacheTokens: 450_000, StepsPerPass: 46, StepMs: 0.925, PerDecodeMs: 0.00483, Per1000ContextMs: 0.00254, PrefillTokensPerMs: 256,
			MsPerMillionPairs: 0.0917, ChunkTokens: 2048,
		},
		classes: []class{
			{"short", 4960, 0.9, 23_800, 35, 300, 200, 2000, 10_000, 46.1, 1.3},
			{"medium", 45_000, 0.5, 110_000, 21, 1500, 500, 6000, 10_000, 3.34, 3.1},
			{"long", 210_000, 0.55, million, 17, 3000, 800, 12_000, 15_000, 1.38, 22},
		},
	}
	Kivufix = Workload{
		Name: "kivufix", Engines: 23, EventTokens: 43,
		Model: dispatch.Model{
			Slots: 16, KVCacheTokens: 232_000, StepsPerPass: 43, StepMs: 1.02, PerDecodeMs: 0.00226, Per1000ContextMs: 0.00431, PrefillTokensPerMs: 206,
			MsPerMillionPairs: 0.138, ChunkTokens: 2048,
		},
		classes: []class{
			{"short", 4960, 0.9, 23_800, 32, 300, 250, 2000, 10_000, 49, 1.3},
			{"medium", 45_000, 0.5, 110_000, 19, 1500, 600, 6000, 10_000, 2.67, 3.9},
			{"long", 133_000, 0.55, 600_000, 16, 2500, 1000, 10_000, 15_000, 2.24, 15},
		},
	}
)

// CoteauLarge is a deployment of hundreds of machines, as its users' page states it.
var CoteauLarge = Workload{
	Name: "coteau-large", Engines: 172, EventTokens: 73,
	Model: dispatch.Model{
		Slots: 10, KVCacheTokens: 450_000, StepsPerPass: 73, StepMs: 0.925, PerDecodeMs: 0.00483, Per1000ContextMs: 0.00254, PrefillTokensPerMs: 256,
		MsPerMillionPairs: 0.0917, ChunkTokens: 2048,
	},
	classes: []class{
		{"short", 4960, 0.9, 23_800, 24, 300, 250, 2000, 10_000, 249, 1.4},
		{"medium", 45_000, 0.5, 110_000, 15, 1500, 600, 6000, 10_000, 26.6, 2.3},
		{"long", 300_000, 0.55, million, 12, 4000, 1000, 16_000, 15_000, 6.1, 26},
	},
}

// CoteauShifted is Coteau's later work: fewer and slower engines, on which the pairs rule a long read.
var CoteauShifted = Workload{
	Name: "coteau-shifted", Engines: 45, EventTokens: 38,
	Model: dispatch.Model{
		Slots: 12, KVCacheTokens: 405_000, StepsPerPass: 38, StepMs: 1.31, PerDecodeMs: 0.000917, Per1000ContextMs: 0.00213, PrefillTokensPerMs: 154,
		MsPerMillionPairs: 0.162, ChunkTokens: 2048,
	},
	classes: []class{
		{"short", 4960, 0.9, 23_800, 36, 300, 250, 2000, 10_000, 53.5, 1.3},
		{"medium", 45_000, 0.5, 110_000, 21, 1500, 600, 6000, 10_000, 6.51, 3.3},
		{"long", 260_000, 0.55, 900_000, 18, 4000, 1000, 15_000, 15_000, 0.937, 34},
	},
}

// Workloads lists them.
var Workloads = []*Workload{&Coteau, &Kivufix, &CoteauLarge, &CoteauShifted}

// Kinds names the kinds of prompts.
func (w *Workload) ClassNames() []string {
	var all []string
	for _, c := range w.classes {
		all = append(all, c.name)
	}
	return all
}

// flipEvery is how long a mix lasts, in ms.
const flipEvery = 10_000

// flips is a mix that turns over every ten seconds: long prompts times 2.7 with short ones times 0.36, then short
// ones times 2.4 with hardly a long one.
func flips(now float64) []float64 {
	if int(now/flipEvery)%2 == 0 {
		return []float64{0.36, 1.3, 2.7}
	}
	return []float64{2.4, 0.5, 0.05}
}

// Job is a prompt on its way through the model. Its id and times as the policy knows them are those of its
// caller's last attempt.
type Job struct {
	dispatch.Job
	class   *class
	name    string  // of its caller's prompt, across its attempts
	came    float64 // ms; its caller's first attempt
	on      *engine
	with    []*engine // that read parts
	parts   int       // still to be read
	events  int       // still to be written
	first   float64
	last    float64
	maxGap  float64
	tries   int // attempts that ended without an answer
	writing bool
	done    bool
	refused bool
}

// event takes an event of the answer.
func (j *Job) event(now float64) {
	j.maxGap = max(j.maxGap, now-j.last)
	j.last = now
	j.events--
	j.done = j.events == 0
}

// onTime tells whether the caller got all events, the first in its aim and none after too long a pause.
func (j *Job) onTime() bool {
	return j.done && j.first <= j.came+j.class.aim && j.maxGap <= j.class.gap
}

// worth is what a prompt counts: more with its size, four times the mean of its kind at most.
func (j *Job) worth() float64 {
	return j.class.worth * min(4, 0.3+0.7*float64(j.PromptTokens)/j.class.mean)
}

// earned is what its answer counts.
func (j *Job) earned() float64 {
	switch {
	case j.onTime():
		return j.worth()
	case j.done && j.last <= j.came+j.class.deadline:
		return j.worth() * lateShare
	default:
		return 0
	}
}

func at(ms float64) decide.Instant { return decide.Instant(ms * float64(time.Millisecond)) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// job draws a prompt of a class.
func (w *Workload) job(r *rand.Rand, c *class, n int, now float64) *Job {
	tokens := min(c.most, c.mean*math.Exp(c.spread*r.NormFloat64()-c.spread*c.spread/2))
	id := fmt.Sprintf("%s-%d", c.name, n)
	j := &Job{class: c, name: id, came: now, events: c.events, Job: dispatch.Job{
		ID: fleet.RequestID(id), Instance: fleet.InstanceID(fmt.Sprint("entry-", r.IntN(entries))),
		Domain: domain, PromptTokens: int(tokens), MaxOutputTokens: c.events * w.EventTokens, MaxGap: fromMs(c.gap),
	}}
	j.arrive(now)
	return j
}

// arrive sets the times of an attempt that comes now: entries know nothing of those before it.
func (j *Job) arrive(now float64) {
	c := j.class
	j.Arrived, j.FirstEventTarget, j.FirstEventDeadline = at(now), at(now+c.aim), at(min(now+c.patience, j.came+c.deadline))
	j.Deadline = at(j.came + c.deadline)
}

const (
	// entries is how many instances callers' prompts come to.
	entries = 6
	domain  = "a"
)
