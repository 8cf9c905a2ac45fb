package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// classes are the length classes of the table, by their upper bound in tokens.
var classes = []struct {
	name string
	max  int
}{
	{"1k-4k", 4_000}, {"4k-32k", 32_000}, {"32k-100k", 100_000}, {"over 100k", maxTokens + 1},
}

const maxMs = 600_000

// row collects one class of one phase.
type row struct {
	sent, whole int
	first       *hdrhistogram.Histogram // milliseconds
}

// table prints first-token time by prompt length, then refusals and failures by kind, then bookings.
func table(out io.Writer, title string, samples []sample) error {
	rows := make([]row, len(classes))
	for i := range rows {
		rows[i].first = hdrhistogram.New(1, maxMs, 3)
	}
	kinds, bookings := map[string]int{}, map[string]int{}
	for _, s := range samples {
		if s.r.Kind != "" {
			kinds[s.r.Kind+" (run: "+s.r.Run+")"]++
		}
		if s.q.Model == "" {
			bookings[bookingOutcome(s)]++
			continue
		}
		r := &rows[classOf(wire.TokenCount(len(s.q.Prompt)))]
		r.sent++
		if s.r.OK() {
			r.whole++
			if err := r.first.RecordValue(min(s.r.FirstToken.Milliseconds(), maxMs)); err != nil {
				return fmt.Errorf("record first-token time: %w", err)
			}
		}
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tsent\twhole\tp50 ms\tp95 ms\tp99 ms\t\n", title)
	for i, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", classes[i].name, r.sent, r.whole,
			r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(95), r.first.ValueAtQuantile(99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	counts(out, "refused or failed", kinds)
	counts(out, "bookings", bookings)
	_, err := fmt.Fprintln(out)
	return err
}

func classOf(tokens int) int {
	for i, c := range classes {
		if tokens <= c.max {
			return i
		}
	}
	return len(classes) - 1
}

func bookingOutcome(s sample) string {
	if s.r.OK() {
		return "confirmed"
	}
	return "answered run: " + s.r.Run
}

func counts(out io.Writer, title string, n map[string]int) {
	fmt.Fprintf(out, "  %s:", title)
	if len(n) == 0 {
		fmt.Fprint(out, " none")
	}
	for _, k := range slices.Sorted(maps.Keys(n)) {
		fmt.Fprintf(out, " %s %d;", k, n[k])
	}
	fmt.Fprintln(out)
}
