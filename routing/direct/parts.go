package direct

import (
	"time"

	"aspenyard.example/directory"
)

// A part of a prompt is prefilled within a pass, which causes a pause for every stream that
// decodes on the same engine. The limits for parts follow from the pauses that the
// service's routes allow.
const (
	// partShare is the fraction of the shortest allowed pause that one part takes. A pass
	// without any part takes a fifth of that pause, and two parts may be prefilled in one
	// pass.
	partShare = 0.24
	// longestPartShare is the fraction of the longest allowed pause that a part on engines
	// in use may take. A longer part would stop all streams on up to 17 engines for nearly
	// as long as the most tolerant routes allow; a lower limit would refuse prompts that
	// delay few streams.
	longestPartShare = 0.7
	// defaultMinPause and defaultMaxPause are used where no route sets a limit. They are
	// those of the users' sites.
	defaultMinPause = 250 * time.Millisecond
	defaultMaxPause = time.Second
)

// partTarget is the prefill time to aim for in one part of a prompt.
func partTarget(s *directory.Service) time.Duration {
	return fractionOf(partShare, s.MinTargetPause, defaultMinPause)
}

// longestPart is the longest prefill time of a part that may be placed on engines in use.
func longestPart(s *directory.Service) time.Duration {
	return fractionOf(longestPartShare, s.MaxTargetPause, defaultMaxPause)
}

// fractionOf returns a fraction of a pause, or of the fallback where no pause is set.
func fractionOf(fraction float64, pause, fallback time.Duration) time.Duration {
	if pause == 0 {
		pause = fallback
	}
	return time.Duration(fraction * float64(pause))
}

// isLong reports whether a prefill time is long: even in maxParts parts, each would take
// longer than partTarget.
func isLong(s *directory.Service, prefill time.Duration) bool {
	return prefill > maxParts*partTarget(s)
}

// IsLongPrompt reports whether a prompt is long for a service's engines: even in as many
// parts as allowed, its prefill would delay other requests.
func IsLongPrompt(s *directory.Service, tokens int) bool {
	return isLong(s, PrefillTime(s.Engine, tokens))
}
