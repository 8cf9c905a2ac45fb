package losses

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// fields holds the key=value pairs of a log line.
type fields map[string]string

// parseFields parses the pairs of a log line; a value with spaces is quoted. It skips text that is not a pair, such as
// the end of a truncated line.
func parseFields(text string) fields {
	f := fields{}
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return f
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		value, remaining := cutValue(rest)
		f[key] = value
		text = strings.TrimLeft(remaining, " ")
	}
	return f
}

// cutValue splits text after the value that it begins with, and returns the unquoted value and the rest.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if v, err := strconv.Unquote(quoted); err == nil {
			return v, text[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// problem describes the missing or invalid field that makes an answer line unusable. It returns "" for a usable line.
func (f fields) problem() string {
	if f["reason"] == "" {
		return "answer without reason"
	}
	needed := []string{"took_ms"}
	if f["reason"] == "served" {
		needed = append(needed, "first_ms")
	}
	for _, key := range needed {
		if text, present := f[key]; !present {
			return "answer without " + key
		} else if n, err := strconv.Atoi(text); err != nil || n < 0 {
			return fmt.Sprintf("%s=%q is no number of ms", key, text)
		}
	}
	return ""
}

// number returns a field as a number, or 0 if it is missing or not a number. Log lines omit fields that don't apply.
func (f fields) number(key string) int {
	n, err := strconv.Atoi(f[key])
	if err != nil {
		return 0
	}
	return n
}

// ms returns a field in milliseconds as a duration, or 0 as number does.
func (f fields) ms(key string) time.Duration {
	return time.Duration(f.number(key)) * time.Millisecond
}
