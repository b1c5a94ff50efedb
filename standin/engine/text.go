package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken defines how the stand-ins count tokens: a prompt of n bytes has
// n/BytesPerToken tokens, rounded up.
const BytesPerToken = 4

// CountTokens returns the number of tokens of a text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

const tokenVariants = 46656 // 36^3: with the space, a token has at most four bytes

// TokenText returns output token i for the prompt with this hash. The output depends on the
// prompt alone, so that a test can detect whether a caller got the complete output of its
// own prompt.
func TokenText(promptHash uint64, i int) string {
	tokenHash := xxhash.Sum64String(strconv.FormatUint(promptHash, 16) + ":" + strconv.Itoa(i))
	return " " + strconv.FormatUint(tokenHash%tokenVariants, 36)
}

// Completion returns the first n tokens of the output for a prompt.
func Completion(prompt string, n int) string {
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := 0; i < n; i++ {
		b.WriteString(TokenText(hash, i))
	}
	return b.String()
}
