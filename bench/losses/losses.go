// Package losses classifies the late, refused and failed requests in gateways' logs by cause. A
// mean shows that callers are served badly but not why; the cause with the largest loss shows
// which part of a policy to change.
package losses

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/result"
)

// Lateness is how a served request was late.
type Lateness string

// The values of Lateness.
const (
	OnTime Lateness = ""
	// LateFirst: the first event, or the response of a plain service, was late.
	LateFirst Lateness = "first"
	// LatePause: a pause between events was too long.
	LatePause Lateness = "pause"
	LateBoth  Lateness = "both"
)

// Request is a request as its gateway logged it.
type Request struct {
	ID, Node, Route string
	// ArrivedAt is when the request arrived, EndedAt when its response ended.
	ArrivedAt, EndedAt time.Time
	// PromptTokens is 0 for requests of plain services.
	PromptTokens int
	// Code is the result code. Refused is set if the request did not run and the caller may
	// retry. Excluded requests do not count, as their callers had no claim to a response
	// (unknown key or route) or disconnected.
	Code              result.Code
	Refused, Excluded bool
	Late              Lateness
	TimeToFirstEvent  time.Duration
	// PauseStart and PauseEnd bound the longest pause between events.
	PauseStart, PauseEnd time.Time
	// Endpoint is the endpoint of the last attempt.
	Endpoint string
	// QueueTime is how long a long prompt was queued at the gateway. ExpectedFirstToken is the
	// time to its first token as estimated on arrival. Each is 0 if it was not logged.
	QueueTime, ExpectedFirstToken time.Duration
	// RefusalReason is why it was refused, as far as the log shows.
	RefusalReason RefusalReason
	// Resumed is set if the request's stream broke and was resumed.
	Resumed bool
}

// PrefillPart is a part of a prompt that an endpoint was given to prefill.
type PrefillPart struct {
	RequestID string
	Endpoint  string
	// SentAt is when the part was sent. FirstTokenAt is when the first token of its prompt
	// came or, if none came, when the request ended.
	SentAt, FirstTokenAt time.Time
	// PrefillTime is the estimated time to prefill the part.
	PrefillTime time.Duration
	Route       string
}

// Records holds what the logs of all gateways of a deployment contain.
type Records struct {
	Requests []Request
	Parts    []PrefillPart
	// ProcessStarts are the start times of the processes that wrote the logs.
	ProcessStarts []time.Time
}

// Cause is why a request was late, refused or failed, as reports show it.
type Cause string

// The causes. Long pauses are attributed to the route with the most prefill during the pause, as
// causePausePrefix and the route's name.
const (
	CauseRefused  Cause = "refused"
	CauseNotReady Cause = "no configuration yet"
	CauseFailed   Cause = "failed at its endpoint"
	CauseDeadline Cause = "deadline passed"
	CauseRestart  Cause = "in the seconds after a start"
	// CauseResumed: the stream broke and was resumed.
	CauseResumed Cause = "went on after a break"
	// CauseQueued: the prompt was queued at its gateway for most of the time to first event.
	CauseQueued Cause = "first event: held back"
	// CauseNotStarted: the engine did not start the prefill at once.
	CauseNotStarted Cause = "first event: not begun"
	// CauseSlowPrefill: the engine had too much to prefill.
	CauseSlowPrefill  Cause = "first event: read too late"
	CauseLateResponse Cause = "answer of a plain service"
	causePausePrefix        = "pause: parts of "
	causePauseUnknown Cause = "pause: no prefill known"
)

const (
	// restartPeriod is the time after a process start in which late requests are attributed
	// to the start. Refused connections are reopened within a second, and the requests that
	// arrived together then are served within another.
	restartPeriod = 2 * time.Second
	// notStartedFactor decides whether an engine started a prompt at once: it did not if the
	// first event took more than this many times the prefill of the prompt's own part and of
	// the parts beside it.
	notStartedFactor = 3
	// queuedShare is the share of the time to first event above which time in the queue is
	// the cause.
	queuedShare = 0.5
)

// Loss is the loss of one route to one cause.
type Loss struct {
	Route string
	Cause Cause
	// Count is the number of requests.
	Count int
	// Share is the lost share of the route's worth, 0 to 1, where requests are weighted by
	// their prompt length.
	Share float64
}

// RouteTotal sums the requests of one route.
type RouteTotal struct {
	Route string
	// Requests counts the requests that are not excluded. MeanPromptTokens is their mean prompt
	// length.
	Requests         int
	MeanPromptTokens int
	OnTime           int
}

// Report shows where a deployment lost worth.
type Report struct {
	// Start is when the first request arrived.
	Start  time.Time
	Routes []RouteTotal
	// Losses are sorted by route and then by share, the largest first.
	Losses []Loss
	// SizeClasses groups the requests by route and prompt length.
	SizeClasses []SizeClass
	// LossBySecond holds, for each cause, the lost weight of the requests that arrived in
	// each second since Start.
	LossBySecond map[Cause][]float64
}

// lateWorth is the share of its worth that a late response earns. The users' scoring has a
// quarter to a third.
const lateWorth = 0.25

// Analyze classifies the requests of the logs and returns the report.
func Analyze(records *Records) *Report {
	r := &Report{LossBySecond: map[Cause][]float64{}, SizeClasses: groupBySize(records)}
	totals := routeTotals(records.Requests)
	for i := range records.Requests {
		if !records.Requests[i].Excluded && (r.Start.IsZero() || records.Requests[i].ArrivedAt.Before(r.Start)) {
			r.Start = records.Requests[i].ArrivedAt
		}
	}
	byEndpoint := map[string][]PrefillPart{}
	for _, p := range records.Parts {
		byEndpoint[p.Endpoint] = append(byEndpoint[p.Endpoint], p)
	}
	type key struct {
		route string
		cause Cause
	}
	sums := map[key]*Loss{}
	weights := map[string]float64{}
	for i := range records.Requests {
		q := &records.Requests[i]
		if q.Excluded {
			continue
		}
		weight := weightOf(q, totals[q.Route])
		weights[q.Route] += weight
		cause, lost := classify(q, records.ProcessStarts, byEndpoint[q.Endpoint])
		if lost == 0 {
			continue
		}
		k := key{q.Route, cause}
		if sums[k] == nil {
			sums[k] = &Loss{Route: q.Route, Cause: cause}
		}
		sums[k].Count++
		sums[k].Share += weight * lost
		r.addToSecond(cause, q.ArrivedAt, weight*lost)
	}
	for _, loss := range sums {
		loss.Share /= weights[loss.Route]
		r.Losses = append(r.Losses, *loss)
	}
	slices.SortFunc(r.Losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(x.Route, y.Route), cmp.Compare(y.Share, x.Share), cmp.Compare(x.Cause, y.Cause))
	})
	for _, t := range totals {
		r.Routes = append(r.Routes, *t)
	}
	slices.SortFunc(r.Routes, func(x, y RouteTotal) int { return cmp.Compare(x.Route, y.Route) })
	return r
}

// addToSecond adds lost weight to the second in which a request arrived.
func (r *Report) addToSecond(cause Cause, arrivedAt time.Time, lost float64) {
	second := int(arrivedAt.Sub(r.Start).Seconds())
	for len(r.LossBySecond[cause]) <= second {
		r.LossBySecond[cause] = append(r.LossBySecond[cause], 0)
	}
	r.LossBySecond[cause][second] += lost
}

// routeTotals sums the requests by route.
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
		t.Requests++
		tokens[q.Route] += q.PromptTokens
		t.MeanPromptTokens = tokens[q.Route] / t.Requests
		if isServed(q) && q.Late == OnTime {
			t.OnTime++
		}
	}
	return totals
}

// Weights of a request, as in the users' scoring: a fixed part, and one that grows with the
// prompt length relative to the route's mean.
const (
	fixedWeight = 0.3
	sizeWeight  = 0.7
	maxWeight   = 4
)

// weightOf is the weight of a request among those of its route.
func weightOf(q *Request, t *RouteTotal) float64 {
	if t.MeanPromptTokens == 0 {
		return 1
	}
	return min(fixedWeight+sizeWeight*float64(q.PromptTokens)/float64(t.MeanPromptTokens), maxWeight)
}

func isServed(q *Request) bool { return q.Code == result.OK }

// classify returns the cause for which a request lost worth and the lost share, 0 for none. parts
// are the prefill parts at the request's endpoint.
func classify(q *Request, starts []time.Time, parts []PrefillPart) (Cause, float64) {
	switch {
	case isServed(q) && q.Late == OnTime:
		return "", 0
	case !isServed(q):
		return failureCause(q), 1
	case duringRestart(q, starts):
		return CauseRestart, 1 - lateWorth
	case q.Resumed:
		return CauseResumed, 1 - lateWorth
	case q.PromptTokens == 0:
		return CauseLateResponse, 1 - lateWorth
	case q.Late == LateFirst || q.Late == LateBoth:
		return lateFirstCause(q, parts), 1 - lateWorth
	}
	return latePauseCause(q, parts), 1 - lateWorth
}

// failureCause is the cause of a request that was not served.
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

// duringRestart reports whether a request arrived shortly after a process start.
func duringRestart(q *Request, starts []time.Time) bool {
	return slices.ContainsFunc(starts, func(s time.Time) bool {
		return !q.ArrivedAt.Before(s) && q.ArrivedAt.Sub(s) < restartPeriod
	})
}

// lateFirstCause decides why a first event was late: the prompt was queued, its engine did not
// start it, or the engine had too much to prefill.
func lateFirstCause(q *Request, parts []PrefillPart) Cause {
	if q.QueueTime > time.Duration(queuedShare*float64(q.TimeToFirstEvent)) {
		return CauseQueued
	}
	others, own := time.Duration(0), time.Duration(0)
	sentAt := q.ArrivedAt.Add(q.QueueTime)
	for _, p := range parts {
		switch {
		case p.RequestID == q.ID:
			own = p.PrefillTime
		case p.SentAt.Before(q.ArrivedAt.Add(q.TimeToFirstEvent)) && p.FirstTokenAt.After(sentAt):
			others += p.PrefillTime
		}
	}
	if q.TimeToFirstEvent-q.QueueTime > notStartedFactor*(others+own) {
		return CauseNotStarted
	}
	return CauseSlowPrefill
}

// latePauseCause names the route with the most prefill at the endpoint during the pause.
func latePauseCause(q *Request, parts []PrefillPart) Cause {
	sums := map[string]time.Duration{}
	for _, p := range parts {
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
