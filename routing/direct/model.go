// Package direct places requests on endpoints that an entry calls without an agent beside
// them. It decides from a read-only snapshot and the load of the entry's own requests:
// filters drop endpoints that must not be sent a request, scorers estimate what each would
// cost the request, and a picker takes one. A wrong view costs time and never correctness,
// because only an endpoint's answer decides what has run.
package direct

import (
	"time"

	"aspenyard.example/directory"
)

// pairsUnit is the number of token pairs to which
// directory.Engine.AttentionTimePerMillionPairs refers.
const pairsUnit = 1e6

// PrefillTime returns how long an engine that does nothing else takes to prefill a prompt;
// 0 where the engine or its rate is not known. Attention makes it grow with the square of
// the length: 5,000 tokens take 34 ms and 182,000 take 3.9 s on the engines of the users'
// sites.
func PrefillTime(e *directory.Engine, tokens int) time.Duration {
	if e == nil || e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillTokensPerSecond * float64(time.Second)
	attention := n * n / 2 / pairsUnit * float64(e.AttentionTimePerMillionPairs)
	return time.Duration(linear + attention)
}
