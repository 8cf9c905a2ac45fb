package stream_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// part returns the part with the tokens from..to-1 of answer a; finish is its finish reason.
func part(from, to int, finish string) wire.Part {
	p := wire.Part{ID: "a", Offset: from, Tokens: to - from, FinishReason: finish}
	for i := from; i < to; i++ {
		p.Text += fmt.Sprint(i, " ")
	}
	return p
}

func TestAddReturnsTheDropReason(t *testing.T) {
	foreign, empty := part(4, 6, ""), wire.Part{ID: "a", Offset: 4, Text: "x"}
	foreign.ID = "b"
	rows := []struct {
		name    string
		attempt int
		p       wire.Part
		drop    stream.DropReason
		next    int
	}{
		{"next", 2, part(4, 6, ""), stream.Delivered, 6},
		{"foreign", 2, foreign, stream.Foreign, 4},
		{"earlier attempt", 1, part(4, 6, ""), stream.StaleAttempt, 4},
		{"duplicate", 2, part(2, 4, ""), stream.Duplicate, 4},
		{"overlapping", 2, part(3, 5, ""), stream.Overlap, 4},
		{"ahead", 2, part(5, 6, ""), stream.Ahead, 4},
		{"text without tokens", 2, empty, stream.Malformed, 4},
		{"negative offset", 2, wire.Part{ID: "a", Offset: -1, Tokens: 1}, stream.Malformed, 4},
		{"end mark without tokens", 2, part(4, 4, "stop"), stream.Delivered, 4},
		{"duplicate of an earlier end mark", 2, part(3, 3, "stop"), stream.Duplicate, 4},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			a := stream.NewAssembly("a")
			a.BeginAttempt(1)
			_, drop := a.Add(1, part(0, 4, ""))
			is.Equal(drop, stream.Delivered)
			a.BeginAttempt(2)
			out, drop := a.Add(row.attempt, row.p)
			is.Equal(drop, row.drop)
			is.Equal(len(out) > 0, drop == stream.Delivered)
			is.Equal(a.NextToken(), row.next)
			is.Equal(a.Complete(), row.drop == stream.Delivered && row.p.FinishReason != "")
			is.True(drop.String() != "")
		})
	}
}

// If two parts arrive in swapped order, the first to arrive is held until the missing one arrives. Dropping it would
// require a resume.
func TestSwappedPartsAreDeliveredInOrder(t *testing.T) {
	is := is.New(t)
	a := stream.NewAssembly("a")
	a.BeginAttempt(1)
	out, _ := a.Add(1, part(2, 4, "stop"))
	is.Equal(len(out), 0)
	is.True(a.HasHeldParts())
	is.True(!a.Complete()) // a held end mark does not complete the answer
	out, _ = a.Add(1, part(0, 2, ""))
	is.Equal(out, []wire.Part{part(0, 2, ""), part(2, 4, "stop")})
	is.True(a.Complete())
	_, drop := a.Add(1, part(4, 5, ""))
	is.Equal(drop, stream.AfterEnd)
}

func TestNumberOfHeldPartsIsBounded(t *testing.T) {
	is := is.New(t)
	a := stream.NewAssembly("a")
	a.BeginAttempt(1)
	overflow := 0
	for i := range 100 {
		if _, drop := a.Add(1, part(i+1, i+2, "")); drop == stream.Overflow {
			overflow++
		}
	}
	is.Equal(overflow, 36)
	a.BeginAttempt(2) // held parts of a failed dispatch are not mixed with those of the next one
	is.True(!a.HasHeldParts())
}

// Engines duplicate, swap, delay and lose parts, mix in parts of other answers, and end without an end mark. Whatever
// arrives, the caller reads a prefix of its own answer, each token once; with the end mark, it reads all of the answer.
func TestAnyArrivalGivesAPrefix(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "13", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		complete := part(0, length, "").Text
		a := stream.NewAssembly("a")
		var got strings.Builder
		for attempt := 1; attempt <= 4 && !a.Complete(); attempt++ {
			a.BeginAttempt(attempt)
			for _, m := range faultyArrivals(t, a.NextToken(), length, attempt) {
				out, _ := a.Add(m.attempt, m.p)
				for _, p := range out {
					got.WriteString(p.Text)
				}
			}
		}
		if !strings.HasPrefix(complete, got.String()) {
			t.Fatalf("delivered %q, which is no prefix of %q", got.String(), complete)
		}
		if a.Complete() && got.String() != complete {
			t.Fatalf("completed with %q instead of %q", got.String(), complete)
		}
	})
}

// arrival is a part that arrives on the stream of an attempt.
type arrival struct {
	attempt int
	p       wire.Part
}

// faultyArrivals returns the arrivals of an attempt that begins at token from, changed by random faults.
func faultyArrivals(t *rapid.T, from, length, attempt int) []arrival {
	var all []arrival
	for at := from; at < length; {
		to := min(length, at+rapid.IntRange(1, 3).Draw(t, "tokens"))
		finish := ""
		if to == length {
			finish = "stop"
		}
		all = append(all, arrival{attempt, part(at, to, finish)})
		at = to
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		if len(all) == 0 {
			break
		}
		i := rapid.IntRange(0, len(all)-1).Draw(t, "at")
		j := rapid.IntRange(0, len(all)-1).Draw(t, "to")
		switch rapid.SampledFrom([]string{"swap", "double", "lose", "cut", "foreign", "late"}).Draw(t, "fault") {
		case "swap":
			all[i], all[j] = all[j], all[i]
		case "double":
			all = slices.Insert(all, j, all[i])
		case "lose":
			all = slices.Delete(all, i, i+1)
		case "cut":
			all = all[:i]
		case "foreign":
			all[i].p.ID, all[i].p.Text = "b", "not yours"
		case "late":
			all[i].attempt, all[i].p.Text = attempt-1, "too late"
		}
	}
	return all
}

// FuzzAssembly checks, for three arbitrary parts, that the delivered ones belong to the answer and follow each other
// without a gap.
func FuzzAssembly(f *testing.F) {
	f.Add("a", 0, 2, "x", "", "a", 2, 1, "y", "stop")
	f.Add("a", 2, 1, "y", "stop", "a", 0, 2, "x", "")
	f.Add("b", -1, 1<<62, "", "error", "a", 1<<62, 1<<62, "", "stop")
	f.Fuzz(func(t *testing.T, id1 string, o1, n1 int, t1, f1, id2 string, o2, n2 int, t2, f2 string) {
		a := stream.NewAssembly("a")
		a.BeginAttempt(1)
		next := 0
		for _, p := range []wire.Part{
			{ID: id1, Offset: o1, Tokens: n1, Text: t1, FinishReason: f1},
			{ID: id2, Offset: o2, Tokens: n2, Text: t2, FinishReason: f2},
			{ID: id1, Offset: o1, Tokens: n1, Text: t1, FinishReason: f1},
		} {
			out, _ := a.Add(1, p)
			for _, d := range out {
				if d.ID != "a" || d.Offset != next || d.Tokens < 0 {
					t.Fatalf("delivered %+v, the next token is %d", d, next)
				}
				next += d.Tokens
			}
			if next != a.NextToken() {
				t.Fatalf("NextToken is %d after %d delivered tokens", a.NextToken(), next)
			}
		}
	})
}
