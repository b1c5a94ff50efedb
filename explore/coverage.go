package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
)

// Wait is what a request waits for, as seen from outside.
type Wait string

// The waits.
const (
	WaitSending  Wait = "being sent"  // its caller sends it slowly
	WaitPlace    Wait = "not placed"  // no endpoint has it yet
	WaitResponse Wait = "at endpoint" // it runs, and its caller has nothing
	WaitStream   Wait = "in response" // its response has begun
	WaitTaken    Wait = "not taken"   // its endpoint is done, its caller is not
	WaitResent   Wait = "sent again"  // it has run or been refused elsewhere before
	nearbyEvents      = 1500          // events within this many milliseconds meet
	listedPairs       = 12            // of those that have not met
)

// Waits lists the waits.
var Waits = []Wait{WaitSending, WaitPlace, WaitResponse, WaitStream, WaitTaken, WaitResent}

type kindPair struct{ first, second plan.Kind }

type eventInWait struct {
	kind plan.Kind
	wait Wait
}

// Coverage counts which kinds of events met each other, one after the other within a short time, and which met a request
// in which wait.
type Coverage struct {
	pairs map[kindPair]int
	waits map[eventInWait]int
}

// NewCoverage returns an empty coverage.
func NewCoverage() *Coverage {
	return &Coverage{pairs: map[kindPair]int{}, waits: map[eventInWait]int{}}
}

// Add adds what met in a case.
func (c *Coverage) Add(played *plan.Case, record *oracle.Record) {
	arrivals := map[string][]*oracle.Arrival{}
	for _, a := range record.Arrivals {
		arrivals[a.ID] = append(arrivals[a.ID], a)
	}
	for i, e := range played.Events {
		for _, next := range played.Events[i+1:] {
			if next.AtMS-e.AtMS <= nearbyEvents {
				c.pairs[kindPair{e.Kind, next.Kind}]++
			}
		}
		at := record.Began.Add(time.Duration(e.AtMS) * time.Millisecond)
		for _, r := range record.Requests {
			for _, wait := range waitsAt(r, arrivals[r.ID], at) {
				c.waits[eventInWait{e.Kind, wait}]++
			}
		}
	}
}

// waitsAt returns what a request waits for at a time.
func waitsAt(r *oracle.Request, arrivals []*oracle.Arrival, at time.Time) []Wait {
	if at.After(r.EndedAt) || at.Before(r.SentAt.Add(-5*time.Second)) {
		return nil
	}
	if at.Before(r.SentAt) {
		return []Wait{WaitSending}
	}
	var waits []Wait
	running, arrived := false, 0
	for _, a := range arrivals {
		if a.At.After(at) {
			continue
		}
		arrived++
		running = running || a.Ran && (a.EndedAt.IsZero() || a.EndedAt.After(at))
	}
	begun := !r.FirstByteAt.IsZero() && r.FirstByteAt.Before(at)
	switch {
	case begun && running:
		waits = append(waits, WaitStream)
	case begun:
		waits = append(waits, WaitTaken)
	case running:
		waits = append(waits, WaitResponse)
	default:
		waits = append(waits, WaitPlace)
	}
	if arrived > 1 {
		waits = append(waits, WaitResent)
	}
	return waits
}

// Summary returns the coverage in a few words.
func (c *Coverage) Summary() string {
	n := len(plan.Kinds)
	return fmt.Sprintf("%d of %d pairs of kinds met, %d of %d kinds in waits", len(c.pairs), n*n, len(c.waits), n*len(Waits))
}

// Missing returns some of what has not met.
func (c *Coverage) Missing() string {
	var missing []string
	for _, kind := range plan.Kinds {
		for _, wait := range Waits {
			if c.waits[eventInWait{kind, wait}] == 0 {
				missing = append(missing, fmt.Sprintf("%s while %s", kind, wait))
			}
		}
	}
	for _, first := range plan.Kinds {
		for _, second := range plan.Kinds {
			if c.pairs[kindPair{first, second}] == 0 {
				missing = append(missing, fmt.Sprintf("%s then %s", first, second))
			}
		}
	}
	more := ""
	if len(missing) > listedPairs {
		more = fmt.Sprintf(", and %d more", len(missing)-listedPairs)
	}
	return strings.Join(slices.Clip(missing[:min(len(missing), listedPairs)]), "; ") + more
}
