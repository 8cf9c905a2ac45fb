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

func encode(s claim.Shard) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// world is two entries, one store and one service in virtual time. Every message is delivered, delayed or
// lost as rapid draws it.
type world struct {
	t       *rapid.T
	now     decide.Instant
	limits  claim.Limits
	entries []*entry
	stored  claim.Shard
	version uint64
	late    []claim.Put // writes that are still on their way although their sender gave up on them
	runs    map[string]int
	ran     map[claim.Token]bool
	first   map[string]claim.Outcome // what the one run of a key gave
	tokens  int
	unsafe  bool // the guard is switched off
}

type entry struct {
	c       *claim.Committer
	effects claim.Effects
	asked   map[claim.OpID]claim.Op
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, limits: claim.DefaultLimits(), version: 1,
		runs: map[string]int{}, ran: map[claim.Token]bool{}, first: map[string]claim.Outcome{},
	}
	w.entries = []*entry{w.boot(), w.boot()}
	return w
}

func (w *world) boot() *entry {
	return &entry{c: claim.NewCommitter(w.limits), asked: map[claim.OpID]claim.Op{}}
}

func (w *world) wall() claim.WallTime { return now + claim.WallTime(w.now/1e6) }

func (w *world) pick() *entry {
	return w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")]
}

// take keeps the effects for later and works the answers off.
func (w *world) take(e *entry, effects claim.Effects) {
	if effects.Read || effects.Put != nil {
		e.effects = effects
	}
	life := e.c
	for _, a := range effects.Responses {
		if e.c == life { // a dead entry takes no answers
			w.answered(e, e.asked[a.ID], a.Result)
		}
	}
}

func (w *world) submit(e *entry, op claim.Op) {
	id, effects := e.c.Submit(op, w.now, w.wall())
	e.asked[id] = op
	w.take(e, effects)
}

func (w *world) answered(e *entry, op claim.Op, r claim.Result) {
	if op.Kind != claim.Claim {
		return
	}
	switch {
	case r.Verdict == claim.Granted:
		w.dispatch(e, op)
	case r.Verdict == claim.Replay:
		if string(r.Outcome.Body) != string(w.first[op.Key].Body) {
			w.t.Fatalf("replayed %s, ran as %s", r.Outcome.Body, w.first[op.Key].Body)
		}
	case r.Fault().Run == fault.RunNo && w.ran[op.Token]:
		w.t.Fatalf("said not run of %s, which ran", op.Token)
	}
}

// dispatch sends the request to the service, which runs it or refuses it; its answer may be lost.
func (w *world) dispatch(e *entry, op claim.Op) {
	switch rapid.SampledFrom([]string{"runs", "answer lost", "not started", "entry dies"}).Draw(w.t, "service") {
	case "runs":
		w.run(op)
		op.Kind, op.Outcome = claim.Record, w.first[op.Key]
	case "answer lost":
		w.run(op)
		body := []byte("unknown " + string(op.Token))
		w.first[op.Key] = claim.Outcome{Run: fault.RunUnknown, Status: 502, Body: body}
		op.Kind, op.Outcome = claim.Record, w.first[op.Key]
	case "not started":
		op.Kind = claim.Withdraw
	default:
		w.run(op)
		w.crash(e)
		return
	}
	w.submit(e, op)
}

func (w *world) run(op claim.Op) {
	w.runs[op.Key]++
	w.ran[op.Token] = true
	w.first[op.Key] = claim.Outcome{Run: fault.RunYes, Status: 200, Body: []byte("ran " + string(op.Token))}
	if w.runs[op.Key] > 1 {
		w.t.Fatalf("%s ran %d times", op.Key, w.runs[op.Key])
	}
}

// crash replaces an entry; a write that it had sent may land later.
func (w *world) crash(e *entry) {
	if e.effects.Put != nil {
		w.late = append(w.late, *e.effects.Put)
	}
	*e = *w.boot()
}

func (w *world) land(p claim.Put) bool {
	if p.IfVersion != w.version && !w.unsafe {
		return false
	}
	w.stored, w.version = p.Shard, w.version+1
	return true
}

func (w *world) request(*rapid.T) {
	w.tokens++
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "key")
	w.submit(w.pick(), claim.Op{
		Kind: claim.Claim, Key: claim.FullKey("ws", key), Fingerprint: key,
		Token: claim.Token(fmt.Sprint("t", w.tokens)), Deadline: w.wall().Add(5 * time.Second),
	})
}

// store answers the entry's read or write, or loses it in one of the ways it can be lost.
func (w *world) store(*rapid.T) {
	e := w.pick()
	effects := e.effects
	e.effects = claim.Effects{}
	lost := rapid.SampledFrom([]string{"", "", "", "answer", "request", "late", "down"}).Draw(w.t, "lost")
	switch {
	case effects.Read:
		w.take(e, e.c.OnRead(w.stored, w.version, lost == "", w.now, w.wall()))
	case effects.Put != nil:
		w.take(e, e.c.OnWrite(w.write(*effects.Put, lost), w.version, w.now, w.wall()))
	}
}

func (w *world) write(p claim.Put, lost string) claim.WriteOutcome {
	switch lost {
	case "down":
		return claim.WriteNotSent
	case "request":
		return claim.WriteUnknown
	case "late":
		w.late = append(w.late, p)
		return claim.WriteUnknown
	}
	done := w.land(p)
	switch {
	case lost == "answer":
		return claim.WriteUnknown
	case done:
		return claim.WriteApplied
	default:
		return claim.WriteConflict
	}
}

func (w *world) deliverLate(*rapid.T) {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
	p := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	w.land(p)
}

func (w *world) giveUp(*rapid.T) {
	e := w.pick()
	for id := claim.OpID(1); int(id) <= len(e.asked); id++ {
		if e.asked[id].Kind == claim.Claim && rapid.Bool().Draw(w.t, "give up") {
			w.take(e, e.c.Cancel(id, w.now, w.wall()))
			return
		}
	}
}

func (w *world) tick(*rapid.T) {
	steps := []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, time.Minute, 25 * time.Hour}
	w.now = w.now.Add(rapid.SampledFrom(steps).Draw(w.t, "time"))
	e := w.pick()
	w.take(e, e.c.Tick(w.now, w.wall()))
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": w.request, "store": w.store, "store 2": w.store, "store 3": w.store, "late write": w.deliverLate,
		"give up": w.giveUp, "tick": w.tick,
		"crash": func(*rapid.T) { w.crash(w.pick()) },
	}
}

// A guest books a hut; the answer is lost, the client repeats through another entry, and the family pays
// twice. Somewhere between claim, write, dispatch, answer and record a message was lost or an entry died.
// Over drawn interleavings: no key runs twice, "not run" is never said of what ran, and a recorded
// outcome comes back unchanged.
func TestAtMostOnceOverInterleavings(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "4000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newWorld(t).actions()) })
}

// The same two entries with and without the store's condition: without it both claims are granted, so
// the condition is what carries the promise.
func TestConditionalUpdateCarriesThePromise(t *testing.T) {
	for _, guard := range []bool{false, true} {
		granted := 0
		stored, version := claim.Shard{}, uint64(1)
		var entries []*claim.Committer
		var puts []*claim.Put
		for i := range 2 {
			c := claim.NewCommitter(claim.DefaultLimits())
			c.Submit(op(claim.Claim, claim.Token(fmt.Sprint("t", i))), 0, now)
			entries, puts = append(entries, c), append(puts, c.OnRead(stored, version, true, 1, now).Put)
		}
		for i, c := range entries {
			written := claim.WriteConflict
			if puts[i].IfVersion == version || !guard {
				version, written = version+1, claim.WriteApplied
			}
			for _, a := range c.OnWrite(written, version, 2, now).Responses {
				if a.Result.Verdict == claim.Granted {
					granted++
				}
			}
		}
		want := map[bool]int{false: 2, true: 1}[guard]
		if granted != want {
			t.Fatalf("guard %v: %d grants, want %d", guard, granted, want)
		}
	}
}
