package direct

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Under high load the refusal of long prompts that would be late hits the longest ones first: a
// backlog that a shorter prompt can still wait for is too long for them, and the shorter ones keep it
// there. All entries therefore report what became of their long prompts, and a prompt among the
// longest of its route may wait longer than its target allows while these are served much less often
// than all prompts of the route.

const (
	// outcomeWindow is the time over which the outcomes of a route's long prompts are compared. It
	// covers several changes of the mix of requests.
	outcomeWindow = 30 * time.Second
	// maxOutcomes bounds the outcomes that are kept for a route, maxOutcomeRoutes the routes, and
	// maxUnreportedOutcomes those that wait to be reported.
	maxOutcomes, maxOutcomeRoutes, maxUnreportedOutcomes = 128, 1024, 256
	// minOutcomes is the number of outcomes from which they are compared. Of fewer, a single refusal of a
	// long prompt would decide.
	minOutcomes = 30
	// largestQuantile is the quantile of a route's prompt lengths from which a prompt counts as one
	// of the longest, preferredQuantile that up to which it is preferred.
	largestQuantile, preferredQuantile = 0.9, 0.96
	// minLargestRatio is the ratio of the share of the longest prompts that is admitted to that of
	// all, below which the longest are preferred. Users want them served half as often as all at least; the
	// margin is for preferred prompts that still wait, and for those that are refused in the end.
	minLargestRatio = 0.65
)

// RouteHash identifies a route and the service that its request goes to, in messages between
// entries. Routes with the same hash would be compared together.
type RouteHash uint32

// HashRoute returns the hash of a route's and a service's name.
func HashRoute(service, route string) RouteHash {
	return RouteHash(xxhash.Sum64String(service + "\x00" + route))
}

// LengthOutcome is the length of a long prompt, in tokens, and whether it was admitted.
type LengthOutcome struct {
	Route    RouteHash
	Tokens   int
	Admitted bool
}

// routeOutcomes are the outcomes of one route's long prompts at all entries, oldest first.
type routeOutcomes []timedOutcome

type timedOutcome struct {
	at time.Time
	LengthOutcome
}

// add adds an outcome. A caller that was refused usually sends its prompt again: the outcomes of prompts
// of exactly the same length count as one, which is admitted if any of them is.
func (r *routeOutcomes) add(now time.Time, o LengthOutcome) {
	expired := 0
	for expired < len(*r) && now.Sub((*r)[expired].at) > outcomeWindow {
		expired++
	}
	*r = slices.Delete(*r, 0, expired)
	for i := range *r {
		if earlier := &(*r)[i]; earlier.Tokens == o.Tokens && !earlier.Admitted {
			earlier.Admitted = o.Admitted
			return
		}
	}
	if len(*r) == maxOutcomes {
		*r = slices.Delete(*r, 0, 1)
	}
	*r = append(*r, timedOutcome{now, o})
}

// passesOver reports whether a prompt is to be preferred: it is among the longest of the route, and these
// are admitted much less often than all. Of the longest, only the shorter ones are preferred, because more
// callers are served in the same engine time, and because each of the very longest stops the streams of
// its engines for seconds.
func (r routeOutcomes) passesOver(now time.Time, tokens int) bool {
	recent := make([]LengthOutcome, 0, len(r))
	for _, o := range r {
		if now.Sub(o.at) <= outcomeWindow {
			recent = append(recent, o.LengthOutcome)
		}
	}
	if len(recent) < minOutcomes {
		return false
	}
	slices.SortFunc(recent, func(a, b LengthOutcome) int { return a.Tokens - b.Tokens })
	quantile := func(q float64) int { return int(q * float64(len(recent))) }
	largest := recent[quantile(largestQuantile):]
	if tokens < largest[0].Tokens || tokens > recent[quantile(preferredQuantile)].Tokens {
		return false
	}
	return admittedShare(largest) < minLargestRatio*admittedShare(recent)
}

func admittedShare(outcomes []LengthOutcome) float64 {
	admitted := 0
	for _, o := range outcomes {
		if o.Admitted {
			admitted++
		}
	}
	return float64(admitted) / float64(len(outcomes))
}

// RecordOutcome records the outcome of a long prompt of this entry, and keeps it to be reported.
func (l *LoadTracker) RecordOutcome(now time.Time, o LengthOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addOutcome(now, o)
	if len(l.unreportedOutcomes) < maxUnreportedOutcomes {
		l.unreportedOutcomes = append(l.unreportedOutcomes, o)
	}
}

// MergeOutcomes records outcomes that another entry reported.
func (l *LoadTracker) MergeOutcomes(now time.Time, outcomes []LengthOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range outcomes {
		l.addOutcome(now, o)
	}
}

// TakeOutcomes returns the outcomes of this entry that have not been reported yet, at most most. A
// report that is lost is not repeated: the comparison needs only most of them.
func (l *LoadTracker) TakeOutcomes(most int) []LengthOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.unreportedOutcomes), most)
	taken := slices.Clone(l.unreportedOutcomes[:n])
	l.unreportedOutcomes = slices.Delete(l.unreportedOutcomes, 0, n)
	return taken
}

// addOutcome adds an outcome. The caller holds the lock.
func (l *LoadTracker) addOutcome(now time.Time, o LengthOutcome) {
	known := l.outcomes[o.Route]
	if known == nil {
		if len(l.outcomes) >= maxOutcomeRoutes {
			clear(l.outcomes) // routes come and go with configurations
		}
		known = &routeOutcomes{}
		l.outcomes[o.Route] = known
	}
	known.add(now, o)
}

// PassedOver reports whether a long prompt of a route may wait longer than its target allows, because
// prompts of its length are admitted much less often than others.
func (p *Policy) PassedOver(now time.Time, route RouteHash, tokens int) bool {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	known := p.tracker.outcomes[route]
	return known != nil && known.passesOver(now, tokens)
}
