// Package direct places requests on endpoints that an entry calls without an agent
// beside them. It decides over a read-only snapshot and the entry's own requests:
// filters drop endpoints that must not be sent a request, scorers estimate what each
// would cost it, and a picker takes one. A wrong view costs time and never
// correctness, because an endpoint's own word decides what has run.
package direct

import (
	"time"

	"aspenyard.example/directory"
)

// pairsUnit is the number of pairs of tokens that directory.Engine.PairsPerMillion
// speaks of.
const pairsUnit = 1e6

// PrefillTime is how long an engine that does nothing else takes to prefill a prompt.
// Attention makes it grow with the square of the length: 5,000 tokens take 34 ms and
// 182,000 take 3.9 s on the engines of the users' sites.
func PrefillTime(e *directory.Engine, tokens int) time.Duration {
	if e == nil || e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	read := n / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := n * n / 2 / pairsUnit * float64(e.AttentionTimePerMillionPairs)
	return time.Duration(read + pairs)
}
