package losses

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// fields are the key=value pairs of a line.
type fields map[string]string

// parse reads pairs; a value with spaces stands in quotes. What is no pair is passed over, as where a line was cut.
func parse(text string) fields {
	f := fields{}
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return f
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		value, after := value(rest)
		f[key] = value
		text = strings.TrimLeft(after, " ")
	}
	return f
}

// value cuts the first value off.
func value(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if v, err := strconv.Unquote(quoted); err == nil {
			return v, text[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// problem tells which field of an answer's line keeps it from being judged; empty: none does.
func (f fields) problem() string {
	if f["reason"] == "" {
		return "answer without reason"
	}
	needed := []string{"took_ms"}
	if f["reason"] == "served" {
		needed = append(needed, "first_ms")
	}
	for _, key := range needed {
		if text, there := f[key]; !there {
			return "answer without " + key
		} else if n, err := strconv.Atoi(text); err != nil || n < 0 {
			return fmt.Sprintf("%s=%q is no number of ms", key, text)
		}
	}
	return ""
}

// number gives a value, and 0 where there is none: lines say nothing of what doesn't apply to them.
func (f fields) number(key string) int {
	n, err := strconv.Atoi(f[key])
	if err != nil {
		return 0
	}
	return n
}

func (f fields) ms(key string) time.Duration {
	return time.Duration(f.number(key)) * time.Millisecond
}
