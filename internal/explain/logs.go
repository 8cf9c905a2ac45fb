package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// RequestLines includes state changes that an instance logged from contextBefore ahead of the request's first line
	// to contextAfter its last line. Instances react to a change within seconds, and a cause that is detected late is
	// logged soon after the request.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
	// maxLineBytes is the maximum size of one log line; longer lines are skipped.
	maxLineBytes = 1 << 20
)

// Line is one line of an instance's log.
type Line struct {
	At       time.Time
	Instance string // the instance and its component that wrote the line, as in "entry-1.gateway"
	Text     string // the message and its fields
	Number   int    // line number in the input, starting at 1
}

// String returns the line as it is displayed.
func (l Line) String() string {
	return fmt.Sprintf("%s %-28s %s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Text)
}

// logLineRE matches the last log line that starts in the text. Log collectors add a prefix of their own, and an instance
// that is killed while it writes leaves a part of a line before the next one.
var logLineRE = regexp.MustCompile(`^.*(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}(?:Z|[+-]\d\d:?\d\d)) \[[A-Z]+\]\s+(?:damaskshelfd\.)?(\S+): (.*)$`)

// timeLayouts are the layouts of a log line's time.
var timeLayouts = []string{"2006-01-02T15:04:05.000Z", "2006-01-02T15:04:05.000-0700", "2006-01-02T15:04:05.000-07:00"}

// ReadLines reads the logs of one or more instances and returns their lines sorted by time. skipped is the number of
// lines that are not log lines of an instance: output of another program, truncated lines and lines over maxLineBytes.
func ReadLines(in io.Reader) (lines []Line, skipped int, err error) {
	r := bufio.NewReaderSize(in, maxLineBytes)
	number := 0
	for err == nil {
		var raw []byte
		raw, err = r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			number++
			skipped++
			err = skipLine(r)
			continue
		}
		if len(raw) == 0 {
			continue
		}
		number++
		l, ok := parseLine(strings.TrimRight(string(raw), "\r\n"))
		if ok && raw[len(raw)-1] == '\n' { // without its end, the line may have been cut in the middle of a value
			l.Number = number
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return lines, skipped, err
}

// skipLine reads up to the end of a line that is over maxLineBytes.
func skipLine(r *bufio.Reader) error {
	for {
		_, err := r.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// parseLine parses one log line, and reports whether the text is one.
func parseLine(text string) (Line, bool) {
	m := logLineRE.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	for _, layout := range timeLayouts {
		if at, err := time.Parse(layout, m[1]); err == nil {
			return Line{At: at, Instance: m[2], Text: m[3]}, true
		}
	}
	return Line{}, false
}

// RequestLines returns the lines that contain the request's id. It adds the state changes that the same instances
// logged around that time: those of upstreams that the request's lines name, of the configuration, the store, the
// dispatcher and the other kinds in stateChangePrefixes.
func RequestLines(all []Line, id string) []Line {
	var matching []Line
	for _, l := range all {
		if containsID(l.Text, id) {
			matching = append(matching, l)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	from, to := matching[0].At.Add(-contextBefore), matching[len(matching)-1].At.Add(contextAfter)
	upstreams, instances := upstreamsAndInstances(matching)
	var related []Line
	for _, l := range all {
		switch {
		case containsID(l.Text, id):
			related = append(related, l)
		case l.At.Before(from) || l.At.After(to) || !instances[instanceName(l)]:
		case isStateChange(l.Text, upstreams):
			related = append(related, l)
		}
	}
	return related
}

// containsID reports whether the text contains id up to the end of a word. An id that is only the beginning of a longer
// one doesn't match.
func containsID(text, id string) bool {
	for at := 0; ; {
		i := strings.Index(text[at:], id)
		if i < 0 {
			return false
		}
		end := at + i + len(id)
		if end == len(text) || strings.IndexByte(" \",]", text[end]) >= 0 {
			return true
		}
		at = end
	}
}

// upstreamFieldRE matches the field that names an upstream.
var upstreamFieldRE = regexp.MustCompile(`\bupstream=("[^"]*"|\S+)`)

// upstreamsAndInstances returns the upstreams that the lines name and the instances that wrote them.
func upstreamsAndInstances(lines []Line) (upstreams, instances map[string]bool) {
	upstreams, instances = map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		instances[instanceName(l)] = true
		if m := upstreamFieldRE.FindStringSubmatch(l.Text); m != nil {
			upstreams[strings.Trim(m[1], `"`)] = true
		}
	}
	return upstreams, instances
}

// instanceName returns the name of the instance that wrote the line, without the component.
func instanceName(l Line) string {
	name, _, _ := strings.Cut(l.Instance, ".")
	return name
}

// stateChangePrefixes are the beginnings of the lines that report a change of an instance's state or of its view of the
// fleet.
var stateChangePrefixes = []string{
	"configuration", "store lost", "store regained", "store forgot", "dispatcher", "failure domain", "process was paused", "started",
	"stopping", "settings",
}

// isStateChange reports whether a line begins with one of stateChangePrefixes, or with "upstream " and names one of the
// upstreams.
func isStateChange(text string, upstreams map[string]bool) bool {
	for _, prefix := range stateChangePrefixes {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	m := upstreamFieldRE.FindStringSubmatch(text)
	return strings.HasPrefix(text, "upstream ") && m != nil && upstreams[strings.Trim(m[1], `"`)]
}
