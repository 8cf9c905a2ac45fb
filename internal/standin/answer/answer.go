// Package answer generates the text of the answers of stand-in engines. The text depends only on the request id and on
// the offset of each token. A caller can thus check that it received the complete answer to its own request, also when
// several engines generated parts of it.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of the token at offset in the answer to a request. It ends with its only space.
func Token(requestID string, offset int) string {
	sum := xxhash.Sum64String(requestID + "/" + strconv.Itoa(offset))
	return strconv.FormatUint(sum, 36) + " "
}

// Text returns the text of the first tokens of the answer to a request. tokens is their number.
func Text(requestID string, tokens int) string {
	return Range(requestID, 0, tokens)
}

// Range returns the text of the tokens from offset from up to, but not including, offset to.
func Range(requestID string, from, to int) string {
	var b strings.Builder
	for offset := from; offset < to; offset++ {
		b.WriteString(Token(requestID, offset))
	}
	return b.String()
}
