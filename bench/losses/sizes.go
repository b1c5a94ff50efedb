package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// RefusalReason is what a prompt was refused for, or failed to find.
type RefusalReason string

// The refusals.
const (
	NotRefused RefusalReason = ""
	// RefusedTooLate: its first token was expected too late on arrival.
	RefusedTooLate RefusalReason = "expected too late"
	// RefusedLongParts: its parts would hold up others for too long.
	RefusedLongParts RefusalReason = "parts too long"
	// RefusedMemory: engines had not the memory that it needs.
	RefusedMemory RefusalReason = "no memory"
	// RefusedOther: endpoints refused it, or were gone.
	RefusedOther RefusalReason = "other"
)

// refusalReasons in the order of the table's columns.
var refusalReasons = []RefusalReason{RefusedTooLate, RefusedLongParts, RefusedMemory, RefusedOther}

const (
	// sizeClassCount is in how many classes of equal number a route's prompts are divided by
	// their size; the users judge the largest fifth and the largest tenth.
	sizeClassCount = 5
	// minRequestsBySize is how many requests a route has at least to be divided.
	minRequestsBySize = 20
)

// SizeClass is what callers of one route got whose prompts are of like size.
type SizeClass struct {
	Route, Name string
	// MinTokens and MaxTokens are the shortest and the longest prompt, in tokens.
	MinTokens, MaxTokens         int
	Asked, OnTime, LateOrResumed int
	// Refused counts by reason; Failed are those that were not served otherwise.
	Refused map[RefusalReason]int
	Failed  int
	// QueueTime is how long the prompts were held back at their entries, ExpectedFirstToken when their
	// first tokens were expected on arrival, TimeToFirstEvent when they came: medians of those that
	// have one.
	QueueTime, ExpectedFirstToken, TimeToFirstEvent time.Duration
	// PrefillingShare is the part of all engines that had a part of a prompt to prefill when these
	// prompts were refused or left the queue, and Ahead the mean prefill under way at an
	// engine: means.
	PrefillingShare float64
	PendingPrefill  time.Duration
}

// groupBySize divides the prompts of each route by their size.
func groupBySize(r *Records) []SizeClass {
	prompts := map[string][]*Request{}
	for i := range r.Requests {
		if q := &r.Requests[i]; !q.Excluded && q.PromptTokens > 0 {
			prompts[q.Route] = append(prompts[q.Route], q)
		}
	}
	engines := newPrefillActivity(r.Parts)
	var classes []SizeClass
	for route, list := range prompts {
		if len(list) < minRequestsBySize {
			continue
		}
		slices.SortFunc(list, func(a, b *Request) int { return cmp.Compare(a.PromptTokens, b.PromptTokens) })
		for i := range sizeClassCount {
			part := list[i*len(list)/sizeClassCount : (i+1)*len(list)/sizeClassCount]
			classes = append(classes, sizeClass(route, fmt.Sprintf("fifth %d", i+1), part, engines))
		}
		classes = append(classes, sizeClass(route, "largest tenth", list[len(list)*9/10:], engines))
	}
	slices.SortStableFunc(classes, func(a, b SizeClass) int { return cmp.Compare(a.Route, b.Route) })
	return classes
}

func sizeClass(route, name string, list []*Request, engines *prefillActivity) SizeClass {
	c := SizeClass{Route: route, Name: name, MinTokens: list[0].PromptTokens, MaxTokens: list[len(list)-1].PromptTokens, Asked: len(list), Refused: map[RefusalReason]int{}}
	var held, expected, first []time.Duration
	for _, q := range list {
		switch {
		case served(q) && q.Late == OnTime:
			c.OnTime++
		case served(q):
			c.LateOrResumed++
		case q.RefusalReason != NotRefused:
			c.Refused[q.RefusalReason]++
		case q.Refused:
			c.Refused[RefusedOther]++
		default:
			c.Failed++
		}
		held = appendNonZero(held, q.QueueTime)
		expected = appendNonZero(expected, q.ExpectedFirstToken)
		first = appendNonZero(first, q.TimeToFirstEvent)
		reading, ahead := engines.at(q.ArrivedAt.Add(q.QueueTime), q.ID)
		c.PrefillingShare += reading / float64(len(list))
		c.PendingPrefill += ahead / time.Duration(len(list))
	}
	c.QueueTime, c.ExpectedFirstToken, c.TimeToFirstEvent = median(held), median(expected), median(first)
	return c
}

func appendNonZero(list []time.Duration, d time.Duration) []time.Duration {
	if d == 0 {
		return list
	}
	return append(list, d)
}

// median gives 0 for none.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// prefillActivity tells what the engines that prompts were sent to had to prefill.
type prefillActivity struct {
	parts   []PrefillPart
	engines int
}

func newPrefillActivity(parts []PrefillPart) *prefillActivity {
	engines := map[string]bool{}
	for _, p := range parts {
		engines[p.Endpoint] = true
	}
	return &prefillActivity{parts, len(engines)}
}

// at gives the part of the engines that had something to prefill at a time, of requests other
// than one, and the mean prefill under way at all of them.
func (a *prefillActivity) at(t time.Time, but string) (reading float64, ahead time.Duration) {
	if a.engines == 0 {
		return 0, 0
	}
	busy := map[string]bool{}
	for _, p := range a.parts {
		if p.RequestID != but && !t.Before(p.SentAt) && t.Before(p.FirstTokenAt) {
			busy[p.Endpoint] = true
			ahead += p.PrefillTime
		}
	}
	return float64(len(busy)) / float64(a.engines), ahead / time.Duration(a.engines)
}

// writeSizes writes the table of what callers got by the size of their prompts.
func writeSizes(b *strings.Builder, classes []SizeClass) {
	if len(classes) == 0 {
		return
	}
	b.WriteString("\nPrompts by size: medians of how long they were held back, when their first tokens were expected on arrival and when\nthey came; the part of the engines that were prefilling when they were sent or refused, and the mean prefill under way there.\n\n")
	b.WriteString("| Route | Size | Tokens | Asked | On time | Late | Refused:")
	for _, reason := range refusalReasons {
		fmt.Fprintf(b, " %s |", reason)
	}
	b.WriteString(" Failed | Held, ms | Expected, ms | First, ms | Prefilling | Ahead, ms |\n|" + strings.Repeat("---|", 12+len(refusalReasons)) + "\n")
	for _, c := range classes {
		fmt.Fprintf(b, "| %s | %s | %d to %d | %d | %d | %d |", c.Route, c.Name, c.MinTokens, c.MaxTokens, c.Asked, c.OnTime, c.LateOrResumed)
		for _, reason := range refusalReasons {
			fmt.Fprintf(b, " %d |", c.Refused[reason])
		}
		fmt.Fprintf(b, " %d | %d | %d | %d | %.2f | %d |\n", c.Failed, c.QueueTime.Milliseconds(), c.ExpectedFirstToken.Milliseconds(), c.TimeToFirstEvent.Milliseconds(), c.PrefillingShare, c.PendingPrefill.Milliseconds())
	}
}
