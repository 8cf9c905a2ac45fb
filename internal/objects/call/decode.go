package call

import (
	"encoding/json"
	"errors"
)

// maxNesting is how deep an answer may be nested before the values within are left out. It is far deeper than any object is.
const maxNesting = 100

// Decode decodes an answer of the store. The decoder refuses a text that is nested too deeply as a whole, and any writer may
// store such a value beside the others' objects; in it, values beyond maxNesting count as null.
func Decode(body []byte, out any) error {
	err := json.Unmarshal(body, out)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	return json.Unmarshal(leaveOutDeep(body), out)
}

// leaveOutDeep returns a JSON text with null in place of each value that is nested deeper than maxNesting. It doesn't check the
// text; what it leaves out counts as one value if its brackets balance.
func leaveOutDeep(text []byte) []byte {
	out := make([]byte, 0, len(text))
	depth, inString, escaped := 0, false, false
	for _, b := range text {
		left := depth > maxNesting
		switch {
		case inString:
			inString = escaped || b != '"'
			escaped = b == '\\' && !escaped
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			if depth++; depth == maxNesting+1 {
				out = append(out, "null"...)
				left = true
			}
		case b == '}' || b == ']':
			depth--
		}
		if !left {
			out = append(out, b)
		}
	}
	return out
}
