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
	// usualGap and patientGap stand in where no route says what it allows: those of the
	// users' sites.
	usualGap   = 250 * time.Millisecond
	patientGap = time.Second
)

// partTarget is the prefill of one part of a prompt.
func partTarget(s *directory.Service) time.Duration {
	return share(partShare, s.MinTargetPause, usualGap)
}

// longestPart is the prefill of a part that may be placed on engines in use.
func longestPart(s *directory.Service) time.Duration {
	return share(longestPartShare, s.MaxTargetPause, patientGap)
}

func share(part float64, of, otherwise time.Duration) time.Duration {
	if of == 0 {
		of = otherwise
	}
	return time.Duration(part * float64(of))
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
