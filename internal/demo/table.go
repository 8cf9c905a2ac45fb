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

// lengthClasses are the prompt length classes of the table, with their upper limits in tokens.
var lengthClasses = []struct {
	name string
	max  int
}{
	{"1k-4k", 4_000}, {"4k-32k", 32_000}, {"32k-100k", 100_000}, {"over 100k", maxPromptTokens + 1},
}

// maxFirstTokenMs limits the recorded first-token times, in milliseconds. It is ten times the timeout of a prompt.
const maxFirstTokenMs = 600_000

// row holds the results of one length class in one phase.
type row struct {
	sent, completed int
	firstToken      *hdrhistogram.Histogram // first-token times of completed answers in milliseconds
}

// printTable prints the first-token times by prompt length, then the number of refusals and failures by kind, then the
// number of bookings by outcome.
func printTable(out io.Writer, title string, samples []sample) error {
	rows := make([]row, len(lengthClasses))
	for i := range rows {
		rows[i].firstToken = hdrhistogram.New(1, maxFirstTokenMs, 3)
	}
	kinds, bookings := map[string]int{}, map[string]int{}
	for _, s := range samples {
		if s.result.Kind != "" {
			kinds[s.result.Kind+" (run: "+s.result.Run+")"]++
		}
		if s.request.Model == "" {
			bookings[bookingOutcome(s)]++
			continue
		}
		r := &rows[classOf(wire.TokenCount(len(s.request.Prompt)))]
		r.sent++
		if s.result.OK() {
			r.completed++
			if err := r.firstToken.RecordValue(min(s.result.FirstToken.Milliseconds(), maxFirstTokenMs)); err != nil {
				return fmt.Errorf("record first-token time: %w", err)
			}
		}
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tsent\twhole\tp50 ms\tp95 ms\tp99 ms\t\n", title)
	for i, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", lengthClasses[i].name, r.sent, r.completed,
			r.firstToken.ValueAtQuantile(50), r.firstToken.ValueAtQuantile(95), r.firstToken.ValueAtQuantile(99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	printCounts(out, "refused or failed", kinds)
	printCounts(out, "bookings", bookings)
	_, err := fmt.Fprintln(out)
	return err
}

// classOf returns the index of the length class of a prompt.
func classOf(tokens int) int {
	for i, c := range lengthClasses {
		if tokens <= c.max {
			return i
		}
	}
	return len(lengthClasses) - 1
}

// bookingOutcome returns the outcome under which a booking is counted.
func bookingOutcome(s sample) string {
	if s.result.OK() {
		return "confirmed"
	}
	return "answered run: " + s.result.Run
}

// printCounts prints the counts in one line, sorted by name.
func printCounts(out io.Writer, title string, n map[string]int) {
	fmt.Fprintf(out, "  %s:", title)
	if len(n) == 0 {
		fmt.Fprint(out, " none")
	}
	for _, k := range slices.Sorted(maps.Keys(n)) {
		fmt.Fprintf(out, " %s %d;", k, n[k])
	}
	fmt.Fprintln(out)
}
