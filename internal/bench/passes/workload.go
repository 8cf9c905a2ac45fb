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

// Job is a prompt on its way through the model.
type Job struct {
	dispatch.Job
	kind    string
	on      *engine
	parts   int // still to be read
	events  int // still to be written
	first   float64
	last    float64
	maxGap  float64
	refused bool
	done    bool
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
	return j.done && j.first <= ms(j.Aim) && j.maxGap <= float64(j.MaxGap)/float64(time.Millisecond)
}

// worth is what a prompt counts against others of its kind: more with its size, four times the mean at most.
func (j *Job) worth(mean float64) float64 { return min(4, 0.3+0.7*float64(j.Prompt)/mean) }

func at(ms float64) decide.Instant { return decide.Instant(ms * float64(time.Millisecond)) }

func ms(t decide.Instant) float64 { return float64(t) / float64(time.Millisecond) }

// class is a kind of prompt: sizes lognormal, arrivals at random. Times in ms.
type class struct {
	name         string
	mean, spread float64 // tokens
	most         float64
	events       int
	aim, gap     float64
	patience     float64
	perS         float64
}

// eventTokens is the length of an event.
const eventTokens = 46

// classes are the kinds of the first small deployment.
var classes = []class{
	{"short", 4960, 0.9, 23800, 35, 300, 200, 2000, 46.1},
	{"medium", 45000, 0.5, 110000, 21, 1500, 500, 6000, 3.34},
	{"long", 210000, 0.55, million, 17, 3000, 800, 12000, 1.38},
}

// Kinds names the kinds of prompts.
func Kinds() []string {
	var all []string
	for _, c := range classes {
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

// job draws a prompt of a class.
func (c *class) job(r *rand.Rand, n int, now float64) *Job {
	tokens := min(c.most, c.mean*math.Exp(c.spread*r.NormFloat64()-c.spread*c.spread/2))
	return &Job{kind: c.name, events: c.events, Job: dispatch.Job{
		ID: fleet.RequestID(fmt.Sprintf("%s-%d", c.name, n)), Entry: fleet.InstanceID(fmt.Sprint("entry-", r.IntN(entries))),
		From: domain, Prompt: int(tokens), Output: c.events * eventTokens,
		Arrived: at(now), Aim: at(now + c.aim), Patience: at(now + c.patience), Deadline: at(now + deadline),
		MaxGap: time.Duration(c.gap * float64(time.Millisecond)),
	}}
}

const (
	// entries is how many instances callers' prompts come to.
	entries = 6
	domain  = "a"
	// deadline is the longest that a caller waits, in ms.
	deadline = 15_000
)
