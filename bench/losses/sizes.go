package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// RefusalReason is why a prompt was refused, as reports show it.
type RefusalReason string

// The reasons for a refusal.
const (
	NotRefused RefusalReason = ""
	// RefusedTooLate: the first token was expected too late.
	RefusedTooLate RefusalReason = "expected too late"
	// RefusedLongParts: the prompt's parts would delay other requests for too long.
	RefusedLongParts RefusalReason = "parts too long"
	// RefusedMemory: the engines lacked KV cache for the prompt.
	RefusedMemory RefusalReason = "no memory"
	// RefusedOther: endpoints refused the request or had gone.
	RefusedOther RefusalReason = "other"
)

// refusalReasons lists the reasons in the order of the table's columns.
var refusalReasons = []RefusalReason{RefusedTooLate, RefusedLongParts, RefusedMemory, RefusedOther}

const (
	// sizeClassCount is the number of equally large classes into which a route's prompts are
	// grouped by length. The users score the largest fifth and the largest tenth.
	sizeClassCount = 5
	// minRequestsBySize is the least number of prompts of a route that is grouped.
	minRequestsBySize = 20
)

// SizeClass sums the requests of one route whose prompts are of similar length.
type SizeClass struct {
	Route, Name string
	// MinTokens and MaxTokens are the shortest and the longest prompt.
	MinTokens, MaxTokens int
	// Requests counts all requests, and LateOrResumed those that were served but not on time.
	Requests, OnTime, LateOrResumed int
	// Refused counts the refused requests by reason, Failed all others that were not served.
	Refused map[RefusalReason]int
	Failed  int
	// QueueTime is the time in the queue of the gateway, ExpectedFirstToken the time to first
	// token as estimated on arrival, and TimeToFirstEvent the measured one. Each is the median
	// of the requests that have a value.
	QueueTime, ExpectedFirstToken, TimeToFirstEvent time.Duration
	// PrefillingShare is the share of all engines that had a part to prefill when a prompt was
	// refused or left the queue, and PendingPrefill the mean prefill pending at an engine then.
	// Both are means over the prompts and leave out the prompt itself.
	PrefillingShare float64
	PendingPrefill  time.Duration
}

// groupBySize groups the prompts of each route by length: in fifths, and the largest tenth.
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
			class := list[i*len(list)/sizeClassCount : (i+1)*len(list)/sizeClassCount]
			classes = append(classes, sizeClass(route, fmt.Sprintf("fifth %d", i+1), class, engines))
		}
		classes = append(classes, sizeClass(route, "largest tenth", list[len(list)*9/10:], engines))
	}
	slices.SortStableFunc(classes, func(a, b SizeClass) int { return cmp.Compare(a.Route, b.Route) })
	return classes
}

// sizeClass sums a list of requests that is sorted by prompt length.
func sizeClass(route, name string, list []*Request, engines *prefillActivity) SizeClass {
	c := SizeClass{Route: route, Name: name, MinTokens: list[0].PromptTokens, MaxTokens: list[len(list)-1].PromptTokens, Requests: len(list), Refused: map[RefusalReason]int{}}
	var queueTimes, expected, first []time.Duration
	for _, q := range list {
		switch {
		case isServed(q) && q.Late == OnTime:
			c.OnTime++
		case isServed(q):
			c.LateOrResumed++
		case q.RefusalReason != NotRefused:
			c.Refused[q.RefusalReason]++
		case q.Refused:
			c.Refused[RefusedOther]++
		default:
			c.Failed++
		}
		queueTimes = appendNonZero(queueTimes, q.QueueTime)
		expected = appendNonZero(expected, q.ExpectedFirstToken)
		first = appendNonZero(first, q.TimeToFirstEvent)
		prefilling, pending := engines.at(q.ArrivedAt.Add(q.QueueTime), q.ID)
		c.PrefillingShare += prefilling / float64(len(list))
		c.PendingPrefill += pending / time.Duration(len(list))
	}
	c.QueueTime, c.ExpectedFirstToken, c.TimeToFirstEvent = median(queueTimes), median(expected), median(first)
	return c
}

// appendNonZero appends a duration to a list unless it is 0, which means that it is unknown.
func appendNonZero(list []time.Duration, d time.Duration) []time.Duration {
	if d == 0 {
		return list
	}
	return append(list, d)
}

// median sorts a list and returns its median, 0 for an empty one.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// prefillActivity tells how much prefill was pending at the engines at a time. It counts only
// engines that parts were sent to.
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

// at returns the share of engines that had parts to prefill at a time, and the mean prefill
// pending at an engine. It ignores the parts of one request.
func (a *prefillActivity) at(t time.Time, ignored string) (prefilling float64, pending time.Duration) {
	if a.engines == 0 {
		return 0, 0
	}
	busy := map[string]bool{}
	for _, p := range a.parts {
		if p.RequestID != ignored && !t.Before(p.SentAt) && t.Before(p.FirstTokenAt) {
			busy[p.Endpoint] = true
			pending += p.PrefillTime
		}
	}
	return float64(len(busy)) / float64(a.engines), pending / time.Duration(a.engines)
}

// writeSizes writes the table of size classes.
func writeSizes(b *strings.Builder, classes []SizeClass) {
	if len(classes) == 0 {
		return
	}
	b.WriteString("\nPrompts by length: the medians of the time in the queue, of the expected and of the measured time to first token; the share\nof engines that were prefilling when the prompts were sent or refused, and the mean prefill pending at an engine then.\n\n")
	b.WriteString("| Route | Size | Tokens | Asked | On time | Late | Refused:")
	for _, reason := range refusalReasons {
		fmt.Fprintf(b, " %s |", reason)
	}
	b.WriteString(" Failed | Held, ms | Expected, ms | First, ms | Prefilling | Ahead, ms |\n|" + strings.Repeat("---|", 12+len(refusalReasons)) + "\n")
	for _, c := range classes {
		fmt.Fprintf(b, "| %s | %s | %d to %d | %d | %d | %d |", c.Route, c.Name, c.MinTokens, c.MaxTokens, c.Requests, c.OnTime, c.LateOrResumed)
		for _, reason := range refusalReasons {
			fmt.Fprintf(b, " %d |", c.Refused[reason])
		}
		fmt.Fprintf(b, " %d | %d | %d | %d | %.2f | %d |\n", c.Failed, c.QueueTime.Milliseconds(), c.ExpectedFirstToken.Milliseconds(), c.TimeToFirstEvent.Milliseconds(), c.PrefillingShare, c.PendingPrefill.Milliseconds())
	}
}
