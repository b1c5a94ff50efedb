package bench

import (
	"math/rand/v2"
	"strings"
)

// promptWords are the words of generated prompts. Each has four bytes, which the stand-ins count as
// one token.
var promptWords = []string{"tie ", "bow ", "fog ", "law ", "jury", "quay", "rope", "act ", "day ", "tug "}

// Prompt returns a prompt of this many tokens, the same for the same seed.
func Prompt(seed uint64, tokens int) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	b.Grow(4 * tokens)
	for range tokens {
		b.WriteString(promptWords[random.IntN(len(promptWords))])
	}
	return b.String()
}
