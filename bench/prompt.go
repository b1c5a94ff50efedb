package bench

import (
	"math/rand/v2"
	"strings"
)

// promptWords make prompts that look like text; each has three letters and a
// space, one token of the stand-ins' count.
var promptWords = []string{"tie ", "bow ", "fog ", "law ", "jury", "quay", "rope", "act ", "day ", "tug "}

// Prompt makes a prompt of this many tokens, the same for the same seed.
func Prompt(seed uint64, tokens int) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	b.Grow(4 * tokens)
	for range tokens {
		b.WriteString(promptWords[random.IntN(len(promptWords))])
	}
	return b.String()
}
