// Package losses sorts the requests of gateways' logs that were late, refused or failed by
// what they were lost to. It exists because a mean tells that callers are served badly and
// not where to look: a policy is changed for the cause that loses most.
package losses

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/result"
)

// Lateness tells in which way a served request was late.
type Lateness string

// The ways of being late.
const (
	OnTime    Lateness = ""
	LateFirst Lateness = "first"
	LatePause Lateness = "pause"
	LateBoth  Lateness = "both"
)

// Request is one request as its gateway logged it.
type Request struct {
	ID, Node, Route string
	// ArrivedAt is when it came, EndedAt when its answer had ended.
	ArrivedAt, EndedAt time.Time
	// PromptTokens is 0 for requests of plain services.
	PromptTokens int
	// Code is the result code; Refused is set where it has not run and the caller may come
	// back, NotOwed where the caller has no claim to an answer (unknown key or route, or it
	// left).
	Code              result.Code
	Refused, Excluded bool
	Late              Lateness
	// TimeToFirstEvent is the time to the first event. PauseFrom and PauseTo bound the longest pause.
	TimeToFirstEvent     time.Duration
	PauseStart, PauseEnd time.Time
	// Endpoint is where it was sent last.
	Endpoint string
	// QueueTime is how long a long prompt was held back, ExpectedFirstToken when its first token was
	// expected on arrival; 0 where neither was said.
	QueueTime, ExpectedFirstToken time.Duration
	// RefusalReason is what it was refused for, as far as the log says.
	RefusalReason RefusalReason
	// Resumed requests go on with a stream that broke off.
	Resumed bool
}

// PrefillPart is a part of a prompt that an endpoint was given to prefill.
type PrefillPart struct {
	RequestID string
	Endpoint  string
	// SentAt is when it was sent, FirstTokenAt when its prompt's first token came.
	SentAt, FirstTokenAt time.Time
	PrefillTime          time.Duration
	Route                string
}

// Records are what the logs of all gateways of a deployment tell.
type Records struct {
	Requests []Request
	Parts    []PrefillPart
	// ProcessStarts are when processes started.
	ProcessStarts []time.Time
}

// Cause is what a request was lost to.
type Cause string

// The causes.
const (
	CauseRefused      Cause = "refused"
	CauseNotReady     Cause = "no configuration yet"
	CauseFailed       Cause = "failed at its endpoint"
	CauseDeadline     Cause = "deadline passed"
	CauseRestart      Cause = "in the seconds after a start"
	CauseResumed      Cause = "went on after a break"
	CauseQueued       Cause = "first event: held back"
	CauseNotStarted   Cause = "first event: not begun"
	CauseSlowPrefill  Cause = "first event: read too late"
	CauseLateAnswer   Cause = "answer of a plain service"
	causePausePrefix        = "pause: parts of "
	causePauseUnknown Cause = "pause: no prefill known"
)

const (
	// restartPeriod is for how long requests are put down to a start: connections that found
	// nobody are opened anew within a second, and what came together is served in another.
	restartPeriod = 2 * time.Second
	// notStartedFactor is how many times as long as its own part and those before it a prompt
	// takes that an engine did not begin at once.
	notStartedFactor = 3
	// queuedShare is the part of the time to the first event that counts as held back.
	queuedShare = 0.5
)

// Loss is the requests of one route that were lost to one cause.
type Loss struct {
	Route string
	Cause Cause
	Count int
	// Share is their part of what the route is owed, weighed by size.
	Share float64
}

// RouteTotal is what a route was asked for.
type RouteTotal struct {
	Route string
	// Asked leaves out what is not owed; MeanTokens is the mean prompt.
	Asked            int
	MeanPromptTokens int
	OnTime           int
}

// Report is where a deployment's worth was lost.
type Report struct {
	// Start is when the first request came.
	Start  time.Time
	Routes []RouteTotal
	// Losses are sorted by route and share, the largest first.
	Losses []Loss
	// SizeClasses is what callers got by the size of their prompts.
	SizeClasses []SizeClass
	// LossBySecond holds, by cause, what was lost of the requests that began in each second.
	LossBySecond map[Cause][]float64
}

// lateWorth is what a late answer is worth beside one on time; the users' sheets have a
// quarter to a third.
const lateWorth = 0.25

// Analyze makes the account.
func Analyze(r *Records) *Report {
	a := &Report{LossBySecond: map[Cause][]float64{}, SizeClasses: groupBySize(r)}
	totals := routeTotals(r.Requests)
	for i := range r.Requests {
		if !r.Requests[i].Excluded && (a.Start.IsZero() || r.Requests[i].ArrivedAt.Before(a.Start)) {
			a.Start = r.Requests[i].ArrivedAt
		}
	}
	byEndpoint := map[string][]PrefillPart{}
	for _, p := range r.Parts {
		byEndpoint[p.Endpoint] = append(byEndpoint[p.Endpoint], p)
	}
	type key struct {
		route string
		cause Cause
	}
	sums := map[key]*Loss{}
	weights := map[string]float64{}
	for i := range r.Requests {
		q := &r.Requests[i]
		if q.Excluded {
			continue
		}
		weight := weightOf(q, totals[q.Route])
		weights[q.Route] += weight
		cause, lost := classify(q, r.ProcessStarts, byEndpoint[q.Endpoint])
		if lost == 0 {
			continue
		}
		k := key{q.Route, cause}
		if sums[k] == nil {
			sums[k] = &Loss{Route: q.Route, Cause: cause}
		}
		sums[k].Count++
		sums[k].Share += weight * lost
		a.addSecond(cause, q.ArrivedAt, weight*lost)
	}
	for _, loss := range sums {
		loss.Share /= weights[loss.Route]
		a.Losses = append(a.Losses, *loss)
	}
	slices.SortFunc(a.Losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(x.Route, y.Route), cmp.Compare(y.Share, x.Share), cmp.Compare(x.Cause, y.Cause))
	})
	for _, t := range totals {
		a.Routes = append(a.Routes, *t)
	}
	slices.SortFunc(a.Routes, func(x, y RouteTotal) int { return cmp.Compare(x.Route, y.Route) })
	return a
}

func (a *Report) addSecond(cause Cause, began time.Time, lost float64) {
	second := int(began.Sub(a.Start).Seconds())
	for len(a.LossBySecond[cause]) <= second {
		a.LossBySecond[cause] = append(a.LossBySecond[cause], 0)
	}
	a.LossBySecond[cause][second] += lost
}

func routeTotals(requests []Request) map[string]*RouteTotal {
	totals := map[string]*RouteTotal{}
	tokens := map[string]int{}
	for i := range requests {
		q := &requests[i]
		if q.Excluded {
			continue
		}
		if totals[q.Route] == nil {
			totals[q.Route] = &RouteTotal{Route: q.Route}
		}
		t := totals[q.Route]
		t.Asked++
		tokens[q.Route] += q.PromptTokens
		t.MeanPromptTokens = tokens[q.Route] / t.Asked
		if served(q) && q.Late == OnTime {
			t.OnTime++
		}
	}
	return totals
}

// Weights of a generation by its size, as the users' sheets have them: a part is the same
// for all, the rest grows with the prompt.
const (
	fixedWeight = 0.3
	sizeWeight  = 0.7
	maxWeight   = 4
)

func weightOf(q *Request, t *RouteTotal) float64 {
	if t.MeanPromptTokens == 0 {
		return 1
	}
	return min(fixedWeight+sizeWeight*float64(q.PromptTokens)/float64(t.MeanPromptTokens), maxWeight)
}

func served(q *Request) bool { return q.Code == result.OK }

// classify gives what a request was lost to, and which part of its worth; 0: nothing.
func classify(q *Request, starts []time.Time, there []PrefillPart) (Cause, float64) {
	switch {
	case served(q) && q.Late == OnTime:
		return "", 0
	case !served(q):
		return failureCause(q), 1
	case duringRestart(q, starts):
		return CauseRestart, 1 - lateWorth
	case q.Resumed:
		return CauseResumed, 1 - lateWorth
	case q.PromptTokens == 0:
		return CauseLateAnswer, 1 - lateWorth
	case q.Late == LateFirst || q.Late == LateBoth:
		return lateFirstCause(q, there), 1 - lateWorth
	}
	return latePauseCause(q, there), 1 - lateWorth
}

func failureCause(q *Request) Cause {
	switch {
	case q.Code == result.NotReady:
		return CauseNotReady
	case q.Refused:
		return CauseRefused
	case q.Code == result.DeadlineExceeded:
		return CauseDeadline
	}
	return CauseFailed
}

func duringRestart(q *Request, starts []time.Time) bool {
	return slices.ContainsFunc(starts, func(s time.Time) bool {
		return !q.ArrivedAt.Before(s) && q.ArrivedAt.Sub(s) < restartPeriod
	})
}

// lateFirstCause tells why a first event was late: the prompt was held back, an engine did not
// begin it, or there was too much to read.
func lateFirstCause(q *Request, there []PrefillPart) Cause {
	if q.QueueTime > time.Duration(queuedShare*float64(q.TimeToFirstEvent)) {
		return CauseQueued
	}
	ahead, own := time.Duration(0), time.Duration(0)
	sent := q.ArrivedAt.Add(q.QueueTime)
	for _, p := range there {
		switch {
		case p.RequestID == q.ID:
			own = p.PrefillTime
		case p.SentAt.Before(q.ArrivedAt.Add(q.TimeToFirstEvent)) && p.FirstTokenAt.After(sent):
			ahead += p.PrefillTime
		}
	}
	if q.TimeToFirstEvent-q.QueueTime > notStartedFactor*(ahead+own) {
		return CauseNotStarted
	}
	return CauseSlowPrefill
}

// latePauseCause names the route whose parts were most of what was prefilled in a pause.
func latePauseCause(q *Request, there []PrefillPart) Cause {
	sums := map[string]time.Duration{}
	for _, p := range there {
		if p.RequestID != q.ID && p.SentAt.Before(q.PauseEnd) && p.FirstTokenAt.After(q.PauseStart) {
			sums[p.Route] += p.PrefillTime
		}
	}
	most := ""
	for route, sum := range sums {
		if most == "" || sum > sums[most] || sum == sums[most] && route < most {
			most = route
		}
	}
	if most == "" {
		return causePauseUnknown
	}
	return Cause(causePausePrefix + most)
}
