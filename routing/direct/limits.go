package direct

import (
	"time"

	"aspenyard.example/directory"
)

// A part of a prompt is prefilled inside a pass, which is a pause for everyone who decodes
// on the same engine. How long parts may be follows from the pauses that the service's
// routes allow.
const (
	// partShare is the part of the shortest pause allowed that one part takes: a pass takes
	// a fifth of it without any, and two parts may meet.
	partShare = 0.24
	// longestPartShare is the part of the longest pause allowed that a part on engines in
	// use may take. A longer one stops everyone who decodes on up to 17 engines for nearly
	// as long as the most patient callers allow; a lower limit refuses prompts that would
	// hold up few.
	longestPartShare = 0.7
	// defaultMinPause and patientGap stand in where no route says what it allows: those of the
	// users' sites.
	defaultMinPause = 250 * time.Millisecond
	defaultMaxPause = time.Second
)

// partTarget is the prefill of one part of a prompt.
func partTarget(s *directory.Service) time.Duration {
	return fractionOf(partShare, s.MinTargetPause, defaultMinPause)
}

// longestPart is the prefill of a part that may be placed on engines in use.
func longestPart(s *directory.Service) time.Duration {
	return fractionOf(longestPartShare, s.MaxTargetPause, defaultMaxPause)
}

func fractionOf(fraction float64, pause, fallback time.Duration) time.Duration {
	if pause == 0 {
		pause = fallback
	}
	return time.Duration(fraction * float64(pause))
}

// isLong tells whether a prompt's prefill is long: even in as many parts as there may be,
// each would be longer than partTarget.
func isLong(s *directory.Service, prefill time.Duration) bool {
	return prefill > maxParts*partTarget(s)
}

// IsLongPrompt tells whether a prompt is long for a service's engines: even in as many parts as
// there may be, its prefill would hold up others.
func IsLongPrompt(s *directory.Service, tokens int) bool {
	return isLong(s, PrefillTime(s.Engine, tokens))
}
