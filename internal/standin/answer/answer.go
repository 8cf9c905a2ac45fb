// Package answer gives the text that a stand-in engine answers with. It is a function of the request id
// and the token's offset alone, so that a caller can tell whether it got the whole answer to its own
// request, whichever engine gave which part.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// AnswerToken is the text of the token at offset in the answer to a request. It ends with one space.
func Token(requestID string, offset int) string {
	sum := xxhash.Sum64String(requestID + "/" + strconv.Itoa(offset))
	return strconv.FormatUint(sum, 36) + " "
}

// Answer is the text of the first tokens of the answer to a request.
func Text(requestID string, tokens int) string {
	return Range(requestID, 0, tokens)
}

// Range is the text of the tokens from offset from up to, but not including, offset to.
func Range(requestID string, from, to int) string {
	var b strings.Builder
	for offset := from; offset < to; offset++ {
		b.WriteString(Token(requestID, offset))
	}
	return b.String()
}
