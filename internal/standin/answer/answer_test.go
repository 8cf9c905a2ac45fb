package answer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
)

func TestTokensDifferByRequestAndOffset(t *testing.T) {
	is := is.New(t)
	const tokens = 50
	text := answer.Text("r1", tokens)
	is.Equal(strings.Count(text, " "), tokens) // one space at the end of each token
	is.True(strings.HasSuffix(text, " "))
	is.Equal(answer.Range("r1", 0, 20)+answer.Range("r1", 20, tokens), text)
	seen := map[string]bool{}
	for offset := range tokens {
		for _, id := range []string{"r1", "r2", "r11", "r"} {
			seen[answer.Token(id, offset)] = true
		}
	}
	is.Equal(len(seen), 4*tokens) // no token occurs at two offsets or in two answers
}
