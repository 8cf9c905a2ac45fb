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
	// before a request's first line, and after its last, what an instance came to believe is shown too: news
	// is acted on within seconds, and a cause that is noticed late is noticed soon after.
	before = 5 * time.Second
	after  = time.Second
	// maxLine bounds one line of a log.
	maxLine = 1 << 20
)

// Line is a line of an instance's log.
type Line struct {
	At       time.Time
	Instance string // and the part that wrote it, as in "entry-1.gateway"
	Text     string // from the message on
	Number   int    // of the line in what was read, from 1
}

// String gives the line as it is shown.
func (l Line) String() string {
	return fmt.Sprintf("%s %-28s %s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Text)
}

// logLine finds a line wherever it begins: what collects logs puts words of its own before it.
var logLine = regexp.MustCompile(`(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}(?:Z|[+-]\d\d:?\d\d)) \[[A-Z]+\]\s+(?:damaskshelfd\.)?(\S+): (.*)$`)

var timeForms = []string{"2006-01-02T15:04:05.000Z", "2006-01-02T15:04:05.000-0700", "2006-01-02T15:04:05.000-07:00"}

// ReadLines reads the lines of one or more instances' logs, and gives how many lines were passed over because they
// are none of these: words of another program, a line that was cut, one that never ends.
func ReadLines(in io.Reader) (all []Line, passedOver int, err error) {
	r := bufio.NewReaderSize(in, maxLine)
	number := 0
	for err == nil {
		var raw []byte
		raw, err = r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			number++
			passedOver++
			err = skipLine(r)
			continue
		}
		if len(raw) == 0 {
			continue
		}
		number++
		if l, ok := readLine(strings.TrimRight(string(raw), "\r\n")); ok {
			l.Number = number
			all = append(all, l)
		} else {
			passedOver++
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return all, passedOver, err
}

// skipLine reads on to the end of a line that is too long to be one.
func skipLine(r *bufio.Reader) error {
	for {
		_, err := r.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func readLine(text string) (Line, bool) {
	m := logLine.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	for _, form := range timeForms {
		if at, err := time.Parse(form, m[1]); err == nil {
			return Line{At: at, Instance: m[2], Text: m[3]}, true
		}
	}
	return Line{}, false
}

// Story gives the lines that name the request, and beside them what the same instances came to believe
// around it: of the upstreams that the request met, of the configuration, the store and the dispatcher.
func RequestLines(all []Line, id string) []Line {
	var own []Line
	for _, l := range all {
		if names(l.Text, id) {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	from, to := own[0].At.Add(-before), own[len(own)-1].At.Add(after)
	upstreams, instances := met(own)
	var story []Line
	for _, l := range all {
		switch {
		case names(l.Text, id):
			story = append(story, l)
		case l.At.Before(from) || l.At.After(to) || !instances[instanceOf(l)]:
		case isNews(l.Text, upstreams):
			story = append(story, l)
		}
	}
	return story
}

// names tells whether the text holds id as a whole word.
func names(text, id string) bool {
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

var upstreamField = regexp.MustCompile(`\bupstream=("[^"]*"|\S+)`)

// met gives the upstreams and instances that lines name.
func met(own []Line) (upstreams, instances map[string]bool) {
	upstreams, instances = map[string]bool{}, map[string]bool{}
	for _, l := range own {
		instances[instanceOf(l)] = true
		if m := upstreamField.FindStringSubmatch(l.Text); m != nil {
			upstreams[strings.Trim(m[1], `"`)] = true
		}
	}
	return upstreams, instances
}

func instanceOf(l Line) string {
	name, _, _ := strings.Cut(l.Instance, ".")
	return name
}

// beliefs are the beginnings of lines that tell what an instance came to believe of the fleet.
var beliefs = []string{
	"configuration", "store lost", "store regained", "store forgot", "dispatcher", "failure domain", "process was paused", "started",
	"stopping", "settings",
}

// isNews tells whether a line is one of them, or about one of the upstreams.
func isNews(text string, upstreams map[string]bool) bool {
	for _, b := range beliefs {
		if strings.HasPrefix(text, b) {
			return true
		}
	}
	m := upstreamField.FindStringSubmatch(text)
	return strings.HasPrefix(text, "upstream ") && m != nil && upstreams[strings.Trim(m[1], `"`)]
}
