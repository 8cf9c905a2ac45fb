package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// The simulation plays a fleet in steps of virtual time. Its upstreams hold several requests each; one that begins to answer a
// request with a bad part ends, and another one stands in its place later.
const (
	simStart     = decide.Instant(time.Hour)
	simStep      = 10 * time.Millisecond
	simLength    = 20 * time.Second
	simBadFrom   = 2 * time.Second // bad requests come, and upstreams end by themselves, from then on
	simUpstreams = 12
	simSlots     = 16
	simRestart   = 2 * time.Second
	simWindow    = 3 * time.Second // after which bad requests count, from the fifth end on
	simPatience  = 5 * time.Second
)

// simRequest is a request of a simulation.
type simRequest struct {
	id       fleet.RequestID
	keys     []Key
	bad      Key // the bad part that it bears; 0: none
	arrived  decide.Instant
	began    decide.Instant // when the answer begins
	ends     decide.Instant // when the answer is complete
	writing  bool
	alone    bool
	attempts int
	group    string // requests that are counted together
	stream   simStream
	resumed  bool
	served   bool
}

// simUpstream is an upstream of a simulation.
type simUpstream struct {
	process fleet.Process
	upAt    decide.Instant
	runs    []*simRequest
}

// simStream is a stream of requests of one kind.
type simStream struct {
	perSecond float64
	parts     []Key
	bad       Key
	from      time.Duration
	group     string
	content   Key           // of all its requests; 0: no two are alike
	badAfter  time.Duration // how long upstreams answer bad requests before they end
	lasts     time.Duration // how long answers take at the most, and half of it at least; 0: up to 1.5 s
	soundFor  time.Duration // requests that are sent earlier than that in a play are sound
}

// sim is a simulation.
type sim struct {
	rand      *rand.Rand
	table     *Table
	now       decide.Instant
	upstreams []*simUpstream
	queue     []*simRequest
	all       []*simRequest
	streams   []simStream
	crashes   float64 // upstreams that end by themselves, a second
	unguarded bool    // every request is sent
	packed    bool    // requests are sent to the fullest upstream
	length    time.Duration
	drain     time.Duration // at the end; requests that arrive then don't count
	count     int
	verdicts  int
	badTries  int // bad requests that try whether a verdict still holds
	badSends  map[Key][]decide.Instant
	badEnds   map[Key][]decide.Instant
	sent      map[string]int // by group, of requests that arrived in the second half
	served    map[string]int
}

// newSim returns a simulation of streams.
func newSim(seed uint64, crashes float64, streams ...simStream) *sim {
	s := &sim{
		length: simLength, rand: rand.New(rand.NewPCG(seed, 0)), table: New(), now: simStart, streams: streams, crashes: crashes,
		badSends: map[Key][]decide.Instant{}, badEnds: map[Key][]decide.Instant{}, sent: map[string]int{}, served: map[string]int{},
	}
	for range simUpstreams {
		s.upstreams = append(s.upstreams, &simUpstream{process: s.newProcess()})
	}
	return s
}

func (s *sim) newProcess() fleet.Process {
	s.count++
	return fleet.Process{ID: fleet.UpstreamID(fmt.Sprint("u", s.count))}
}

// chance reports whether something happens in this step that happens some times a second.
func (s *sim) chance(perSecond float64) bool { return s.rand.Float64() < perSecond*simStep.Seconds() }

// between returns a random duration.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// run plays the simulation.
func (s *sim) run() {
	start := s.now
	for ; s.now.Sub(start) < s.length; s.now = s.now.Add(simStep) {
		for _, st := range s.streams {
			if s.now.Sub(start) >= st.from && s.chance(st.perSecond) {
				s.arrive(st, s.now.Sub(start) >= s.length/2 && s.now.Sub(start) < s.length-s.drain)
			}
		}
		s.table.Advance(s.now)
		s.place()
		for _, u := range s.upstreams {
			s.work(u)
		}
		if s.now.Sub(start) >= simBadFrom && s.chance(s.crashes) {
			s.end(s.upstreams[s.rand.IntN(len(s.upstreams))])
		}
		for _, v := range s.table.TakeChanges() {
			if !v.OnTrial() {
				s.verdicts++
			}
		}
	}
}

// arrive queues a request of a stream.
func (s *sim) arrive(st simStream, counted bool) {
	s.count++
	r := &simRequest{
		id: fleet.RequestID(fmt.Sprint(s.count)), keys: append([]Key{Key(1_000_000 + s.count)}, st.parts...), bad: st.bad, arrived: s.now, group: st.group, stream: st,
	}
	if st.content != 0 {
		r.keys[0] = st.content
	}
	if counted {
		s.sent[st.group]++
	} else {
		r.group = ""
	}
	s.queue, s.all = append(s.queue, r), append(s.all, r)
}

// place sends the requests that may be sent.
func (s *sim) place() {
	s.queue = slices.DeleteFunc(s.queue, func(r *simRequest) bool {
		status, _ := s.table.Check(s.now, Request{Keys: r.keys})
		if status > Alone && !s.unguarded {
			return status == Held || s.now.Sub(r.arrived) > simPatience
		}
		u := s.upstreams[s.rand.IntN(len(s.upstreams))]
		if s.packed {
			u = s.fullest(status)
		}
		if u == nil || !s.mayTake(u, status) {
			return false
		}
		if r.bad = r.stream.bad; s.now.Sub(simStart) < r.stream.soundFor {
			r.bad = 0
		}
		r.alone = status == Alone
		r.attempts++
		_, isTry := s.table.HeldBack(s.now, r.keys, "")
		s.table.Start(s.now, r.id, Request{Keys: r.keys, Resumed: r.resumed})
		if r.bad != 0 && isTry {
			s.badTries++
		} else if r.bad != 0 {
			s.badSends[r.bad] = append(s.badSends[r.bad], s.now)
		}
		r.writing, r.began = false, s.now.Add(s.between(40*time.Millisecond, 200*time.Millisecond))
		switch st := r.stream; {
		case r.bad != 0 && st.badAfter > 0:
			r.ends = r.began.Add(st.badAfter + time.Second)
		case st.lasts > 0:
			r.ends = r.began.Add(s.between(st.lasts/2, st.lasts))
		default:
			r.ends = r.began.Add(s.between(100*time.Millisecond, 1500*time.Millisecond))
		}
		if len(u.runs) == 0 {
			s.table.AddBusy(1)
		}
		u.runs = append(u.runs, r)
		return true
	})
}

// mayTake reports whether a request may be sent to an upstream.
func (s *sim) mayTake(u *simUpstream, status Status) bool {
	if s.now < u.upAt || len(u.runs) >= simSlots {
		return false
	}
	return s.unguarded || !slices.ContainsFunc(u.runs, func(o *simRequest) bool {
		return s.unproven(o) && (o.alone || status == Alone) || o.alone && status == Alone
	})
}

// fullest returns the upstream with the most requests to which one may be sent, nil if there is none.
func (s *sim) fullest(status Status) (fullest *simUpstream) {
	for _, u := range s.upstreams {
		if s.mayTake(u, status) && (fullest == nil || len(u.runs) > len(fullest.runs)) {
			fullest = u
		}
	}
	return fullest
}

// unproven reports whether it isn't known yet that a request's upstream survives it.
func (s *sim) unproven(r *simRequest) bool { return !r.writing || s.now.Sub(r.began) < ProvenAfter }

// work lets an upstream answer its requests.
func (s *sim) work(u *simUpstream) {
	for _, r := range slices.Clone(u.runs) {
		switch {
		case s.now >= r.began.Add(r.stream.badAfter) && r.bad != 0:
			s.badEnds[r.bad] = append(s.badEnds[r.bad], s.now)
			s.end(u)
			return
		case s.now >= r.ends:
			s.table.Served(s.now, r.id)
			s.served[r.group]++
			r.served = true
			if u.runs = slices.DeleteFunc(u.runs, func(o *simRequest) bool { return o == r }); len(u.runs) == 0 {
				s.table.AddBusy(-1)
			}
		case s.now >= r.began && !r.writing:
			r.writing = true
			s.table.Began(s.now, r.id)
		}
	}
}

// end ends an upstream. Its requests report that in any order, and are sent once more.
func (s *sim) end(u *simUpstream) {
	if s.now < u.upAt {
		return
	}
	s.rand.Shuffle(len(u.runs), func(i, j int) { u.runs[i], u.runs[j] = u.runs[j], u.runs[i] })
	for _, r := range u.runs {
		if s.unproven(r) {
			s.table.Ended(s.now, r.id, u.process)
		} else {
			s.table.EndedLate(s.now, r.id, u.process)
		}
		if r.attempts < 2 {
			r.resumed = r.resumed || r.writing
			s.queue = append(s.queue, r)
		}
	}
	if len(u.runs) > 0 {
		s.table.AddBusy(-1)
	}
	u.runs, u.process, u.upAt = nil, s.newProcess(), s.now.Add(simRestart)
}

// late returns the bad requests with a part that were sent later than allowed after the fifth end.
func (s *sim) late(bad Key) (late int) { return s.lateAfter(bad, 5) }

// lateAfter returns the bad requests of one cause that were sent later than simWindow after an end under them, counted from 1.
func (s *sim) lateAfter(bad Key, end int) (late int) {
	ends := s.badEnds[bad]
	if len(ends) < end {
		return 0
	}
	for _, at := range s.badSends[bad] {
		if at.Sub(ends[end-1]) > simWindow {
			late++
		}
	}
	return late
}

// servedAfter returns how many requests of a stream were sent, and served, that arrived later than twice simWindow after the fifth
// end under bad requests, or the last if there are fewer, and before the drain.
func (s *sim) servedAfter(bad Key, group string) (sent, served int) {
	ends := s.badEnds[bad]
	if len(ends) == 0 {
		return 0, 0
	}
	from := ends[min(5, len(ends))-1].Add(2 * simWindow)
	for _, r := range s.all {
		if r.stream.group == group && r.arrived >= from && r.arrived < s.now.Add(-s.drain) {
			sent++
			if r.served {
				served++
			}
		}
	}
	return sent, served
}

// simSeeds is how many seeds each play has.
const simSeeds = 60

// Guards against bad parts that aren't found among requests that share their other parts, in any mix, while upstreams end by
// themselves as well, and against sound requests that are held back with them.
func TestBadPartsAreFoundInAnyMix(t *testing.T) {
	const shared, rare, other, bad, bad2, bad3 = 1, 2, 3, 11, 12, 13
	sound := []simStream{
		{perSecond: 20, parts: []Key{shared}, group: "shared"}, {perSecond: 10, parts: []Key{other}, group: "other"},
		{perSecond: 2, parts: []Key{rare}, from: simBadFrom, group: "rare"},
	}
	badStream := func(perSecond float64, bad Key, parts ...Key) simStream {
		return simStream{perSecond: perSecond, parts: append(parts, bad), bad: bad, from: simBadFrom, group: "bad"}
	}
	for name, c := range map[string]struct {
		crashes float64
		bad     []simStream
	}{
		"beside a shared part":        {0, []simStream{badStream(8, bad, shared)}},
		"beside a rare part":          {0, []simStream{badStream(8, bad, rare)}},
		"rarely":                      {0, []simStream{badStream(0.7, bad, rare)}},
		"alone":                       {0, []simStream{badStream(8, bad)}},
		"two":                         {0, []simStream{badStream(4, bad, shared), badStream(4, bad2, shared)}},
		"two beside a rare part":      {0, []simStream{badStream(4, bad, rare), badStream(4, bad2, rare)}},
		"three beside different ones": {0, []simStream{badStream(4, bad, rare), badStream(4, bad2, shared), badStream(2, bad3, other, rare)}},
		"beside crashes":              {2, []simStream{badStream(8, bad, rare)}},
		"many at once":                {0, []simStream{badStream(60, bad, shared)}},
	} {
		for seed := range uint64(simSeeds) {
			s := newSim(seed, c.crashes, slices.Concat(sound, c.bad)...)
			s.run()
			for _, k := range []Key{bad, bad2, bad3} {
				if late := s.late(k); late > 3 {
					t.Errorf("%s, seed %d: %d sends with part %d late, %d upstreams ended", name, seed, late, k, len(s.badEnds[k]))
				}
			}
			for _, group := range []string{"shared", "other", "rare"} {
				if 2*s.served[group] < s.sent[group] {
					t.Errorf("%s, seed %d: %d of %d requests of %q served", name, seed, s.served[group], s.sent[group], group)
				}
			}
		}
	}
}

// Guards against requests that are held back, or that wait, because upstreams end by themselves.
func TestEndsByThemselvesHoldNothingBack(t *testing.T) {
	played := func(unguarded bool) (served int) {
		for seed := range uint64(simSeeds) {
			s := newSim(seed, 5, simStream{perSecond: 20, parts: []Key{1}, group: "many"}, simStream{perSecond: 2, parts: []Key{2}, group: "few"})
			s.unguarded = unguarded
			s.run()
			for _, part := range []Key{1, 2} {
				if status, _ := s.table.Check(s.now, Request{Keys: []Key{0, part}}); status == Held {
					t.Errorf("seed %d: requests with part %d are held back", seed, part)
				}
			}
			served += s.served["few"]
		}
		return served
	}
	guarded, unguarded := played(false), played(true)
	t.Logf("%d of the few requests served, %d without a table", guarded, unguarded)
	if 10*guarded < 9*unguarded {
		t.Errorf("%d of the few requests served, %d without a table", guarded, unguarded)
	}
}
