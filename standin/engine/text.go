package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is how the stand-ins count tokens: a prompt of n bytes has
// n/BytesPerToken tokens, rounded up.
const BytesPerToken = 4

// CountTokens counts the tokens of a text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

const tokenVariants = 46656 // 36^3, so that a token has at most four bytes

// TokenText gives output token i of the answer to the prompt with this hash.
// The answer depends on the prompt alone, so that a test can tell whether a
// caller got its own answer, whole.
func TokenText(promptHash uint64, i int) string {
	tokenHash := xxhash.Sum64String(strconv.FormatUint(promptHash, 16) + ":" + strconv.Itoa(i))
	return " " + strconv.FormatUint(tokenHash%tokenVariants, 36)
}

// Completion gives the first n tokens of the answer to a prompt.
func Completion(prompt string, n int) string {
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := 0; i < n; i++ {
		b.WriteString(TokenText(hash, i))
	}
	return b.String()
}
