package claim_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// encode returns the stored form of a shard.
func encode(s claim.Shard) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// simulation runs two instances, one store and one upstream service in virtual time. Rapid draws whether a
// message is delivered, delayed or lost.
type simulation struct {
	t             *rapid.T
	now           decide.Instant
	limits        claim.Limits
	instances     []*instance
	stored        claim.Shard
	version       uint64
	delayedWrites []claim.Put // writes in flight whose sender no longer waits for a response
	runsByKey     map[string]int
	ranTokens     map[claim.Token]bool
	outcomes      map[string]claim.Outcome // by key: the outcome of its run
	tokens        int
	unconditional bool // the store ignores the writes' conditions
}

// instance is one instance's Committer with the operations submitted to it.
type instance struct {
	committer *claim.Committer
	effects   claim.Effects // the read or write in flight
	submitted map[claim.OpID]claim.Op
}

// newSimulation returns a simulation with an empty store.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, limits: claim.DefaultLimits(), version: 1,
		runsByKey: map[string]int{}, ranTokens: map[claim.Token]bool{}, outcomes: map[string]claim.Outcome{},
	}
	s.instances = []*instance{s.newInstance(), s.newInstance()}
	return s
}

// newInstance returns an instance that has just started.
func (s *simulation) newInstance() *instance {
	return &instance{committer: claim.NewCommitter(s.limits), submitted: map[claim.OpID]claim.Op{}}
}

// wall returns the virtual wall-clock time.
func (s *simulation) wall() claim.WallTime { return now + claim.WallTime(s.now/1e6) }

// pickInstance draws an instance.
func (s *simulation) pickInstance() *instance {
	return s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(s.t, "entry")]
}

// handleEffects keeps a read or write for a later storeCall and handles the responses.
func (s *simulation) handleEffects(inst *instance, effects claim.Effects) {
	if effects.Read || effects.Put != nil {
		inst.effects = effects
	}
	committer := inst.committer
	for _, r := range effects.Responses {
		if inst.committer == committer { // an instance that crashed meanwhile handles no more responses
			s.handleResponse(inst, inst.submitted[r.ID], r.Result)
		}
	}
}

// submit submits an operation to an instance's Committer and handles the effects.
func (s *simulation) submit(inst *instance, op claim.Op) {
	id, effects := inst.committer.Submit(op, s.now, s.wall())
	inst.submitted[id] = op
	s.handleEffects(inst, effects)
}

// handleResponse dispatches the request of a granted claim. It fails the test if a replayed outcome differs from the
// recorded one, or if a request that ran is reported as not run.
func (s *simulation) handleResponse(inst *instance, op claim.Op, r claim.Result) {
	if op.Kind != claim.Claim {
		return
	}
	switch {
	case r.Verdict == claim.Granted:
		s.dispatch(inst, op)
	case r.Verdict == claim.Replay:
		if string(r.Outcome.Body) != string(s.outcomes[op.Key].Body) {
			s.t.Fatalf("replayed %s, ran as %s", r.Outcome.Body, s.outcomes[op.Key].Body)
		}
	case r.Fault().Run == fault.RunNo && s.ranTokens[op.Token]:
		s.t.Fatalf("request %s was reported as not run, but it ran", op.Token)
	}
}

// dispatch sends the request of a granted claim to the service. The service runs or refuses it, its response is
// lost, or the instance crashes before the response.
func (s *simulation) dispatch(inst *instance, op claim.Op) {
	switch rapid.SampledFrom([]string{"runs", "answer lost", "not started", "entry dies"}).Draw(s.t, "service") {
	case "runs":
		s.run(op)
		op.Kind, op.Outcome = claim.Record, s.outcomes[op.Key]
	case "answer lost":
		s.run(op)
		body := []byte("unknown " + string(op.Token))
		s.outcomes[op.Key] = claim.Outcome{Run: fault.RunUnknown, Status: 502, Body: body}
		op.Kind, op.Outcome = claim.Record, s.outcomes[op.Key]
	case "not started":
		op.Kind = claim.Withdraw
	default:
		s.run(op)
		s.crash(inst)
		return
	}
	s.submit(inst, op)
}

// run runs a request on the service. It fails the test if the key has run before.
func (s *simulation) run(op claim.Op) {
	s.runsByKey[op.Key]++
	s.ranTokens[op.Token] = true
	s.outcomes[op.Key] = claim.Outcome{Run: fault.RunYes, Status: 200, Body: []byte("ran " + string(op.Token))}
	if s.runsByKey[op.Key] > 1 {
		s.t.Fatalf("%s ran %d times", op.Key, s.runsByKey[op.Key])
	}
}

// crash restarts an instance. A write that it had in flight may still take effect.
func (s *simulation) crash(inst *instance) {
	if inst.effects.Put != nil {
		s.delayedWrites = append(s.delayedWrites, *inst.effects.Put)
	}
	*inst = *s.newInstance()
}

// applyWrite applies a write to the store and reports whether its condition held.
func (s *simulation) applyWrite(p claim.Put) bool {
	if p.IfVersion != s.version && !s.unconditional {
		return false
	}
	s.stored, s.version = p.Shard, s.version+1
	return true
}

// request submits a claim for one of three keys to an instance.
func (s *simulation) request(*rapid.T) {
	s.tokens++
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "key")
	s.submit(s.pickInstance(), claim.Op{
		Kind: claim.Claim, Key: claim.FullKey("ws", key), Fingerprint: key,
		Token: claim.Token(fmt.Sprint("t", s.tokens)), Deadline: s.wall().Add(5 * time.Second),
	})
}

// storeCall completes the read or write that an instance has in flight, or loses its request or response.
func (s *simulation) storeCall(*rapid.T) {
	inst := s.pickInstance()
	effects := inst.effects
	inst.effects = claim.Effects{}
	lost := rapid.SampledFrom([]string{"", "", "", "answer", "request", "late", "down"}).Draw(s.t, "lost")
	switch {
	case effects.Read:
		s.handleEffects(inst, inst.committer.OnRead(s.stored, s.version, lost == "", s.now, s.wall()))
	case effects.Put != nil:
		s.handleEffects(inst, inst.committer.OnWrite(s.deliverWrite(*effects.Put, lost), s.version, s.now, s.wall()))
	}
}

// deliverWrite delivers a write unless it is lost, and returns the outcome that the instance sees.
func (s *simulation) deliverWrite(p claim.Put, lost string) claim.WriteOutcome {
	switch lost {
	case "down":
		return claim.WriteNotSent
	case "request":
		return claim.WriteUnknown
	case "late":
		s.delayedWrites = append(s.delayedWrites, p)
		return claim.WriteUnknown
	}
	applied := s.applyWrite(p)
	switch {
	case lost == "answer":
		return claim.WriteUnknown
	case applied:
		return claim.WriteApplied
	default:
		return claim.WriteConflict
	}
}

// delayedWrite delivers a write whose sender no longer waits for a response.
func (s *simulation) delayedWrite(*rapid.T) {
	if len(s.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.delayedWrites)-1).Draw(s.t, "late")
	p := s.delayedWrites[i]
	s.delayedWrites = slices.Delete(s.delayedWrites, i, i+1)
	s.applyWrite(p)
}

// cancelOne cancels a claim of an instance.
func (s *simulation) cancelOne(*rapid.T) {
	inst := s.pickInstance()
	for id := claim.OpID(1); int(id) <= len(inst.submitted); id++ {
		if inst.submitted[id].Kind == claim.Claim && rapid.Bool().Draw(s.t, "give up") {
			s.handleEffects(inst, inst.committer.Cancel(id, s.now, s.wall()))
			return
		}
	}
}

// tick advances the virtual time and calls an instance's Tick.
func (s *simulation) tick(*rapid.T) {
	steps := []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, time.Minute, 25 * time.Hour}
	s.now = s.now.Add(rapid.SampledFrom(steps).Draw(s.t, "time"))
	inst := s.pickInstance()
	s.handleEffects(inst, inst.committer.Tick(s.now, s.wall()))
}

// actions returns the actions among which rapid draws each step.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": s.request, "store": s.storeCall, "store 2": s.storeCall, "store 3": s.storeCall, "late write": s.delayedWrite,
		"give up": s.cancelOne, "tick": s.tick,
		"crash": func(*rapid.T) { s.crash(s.pickInstance()) },
	}
}

// Guards against running a request twice when a message is lost or an instance crashes between claim, write,
// dispatch, response and record, and the client repeats the request through another instance. Checks over drawn
// interleavings that no key runs twice, that no request that ran is reported as not run, and that a recorded
// outcome is replayed unchanged.
func TestAtMostOnceOverInterleavings(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "4000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newSimulation(t).actions()) })
}

// Checks that one of two concurrent claims is granted if the store checks the writes' conditions, and both if it
// doesn't. The guarantee rests on the conditional update.
func TestConditionalUpdateCarriesThePromise(t *testing.T) {
	for _, conditional := range []bool{false, true} {
		granted := 0
		stored, version := claim.Shard{}, uint64(1)
		var committers []*claim.Committer
		var puts []*claim.Put
		for i := range 2 {
			c := claim.NewCommitter(claim.DefaultLimits())
			c.Submit(op(claim.Claim, claim.Token(fmt.Sprint("t", i))), 0, now)
			committers, puts = append(committers, c), append(puts, c.OnRead(stored, version, true, 1, now).Put)
		}
		for i, c := range committers {
			outcome := claim.WriteConflict
			if puts[i].IfVersion == version || !conditional {
				version, outcome = version+1, claim.WriteApplied
			}
			for _, r := range c.OnWrite(outcome, version, 2, now).Responses {
				if r.Result.Verdict == claim.Granted {
					granted++
				}
			}
		}
		want := map[bool]int{false: 2, true: 1}[conditional]
		if granted != want {
			t.Fatalf("conditional updates %v: %d grants, want %d", conditional, granted, want)
		}
	}
}
