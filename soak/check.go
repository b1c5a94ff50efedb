package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"aspenyard.example/standin/platform"
)

// rule is one rule and the check that finds its violations.
type rule struct {
	name string
	// hasTimeBound marks checks against a time bound, which a busy machine may exceed without a
	// fault of the program.
	hasTimeBound bool
	// check returns a description of each violation.
	check func(*indexedRecord) []string
}

// rules are all checks, under the names that the rules have in the users' documents.
var rules = []rule{
	{"MIXED", false, checkCompleteAnswers},
	{"MIXED", false, checkFailureOrigin},
	{"ORDER", false, checkEventOrder},
	{"UNASKED", false, checkRunsMatchRequests},
	{"TWICE", false, checkRunsOnce},
	{"REFUSED", false, checkRefusedDidNotRun},
	{"DENIED", false, checkValidNotDenied},
	{"DENIED", false, checkValidNotBad},
	{"DENIED", false, checkInvalidRefused},
	{"ROUTE", false, checkService},
	{"BUDGET", false, checkAttemptLimit},
	{"BUDGET", false, checkRetryBudget},
	{"BUDGET", false, checkCrashingRequests},
	{"BUDGET", false, checkCrashingParts},
	{"LOST", false, checkSoundPartsServed},
	{"BUDGET", false, checkStatedBackoffs},
	{"BUDGET", true, checkDeadlines},
	{"LIMIT", false, checkReservationsUsedOnce},
	{"LIMIT", false, checkStatedLimits},
	{"LIMIT", false, checkColdEndpoints},
	{"CONFIG", false, checkConfigNeverReverts},
	{"CONFIG", true, checkConfigApplied},
	{"CONFIG", true, checkTimeouts},
	{"DRAIN", true, checkLeavingEndpoints},
	{"DRAIN", false, checkStatedDepartures},
	{"EVACUATION", true, checkEvacuations},
	{"EVACUATION", true, checkEvacuationRefusals},
	{"LOST", false, checkNoRequestCut},
	{"GONE", true, checkRunsCancelled},
	{"LEAK", true, checkReservationsReleased},
	{"STUCK", true, checkReservationsUsed},
	{"SERVED", false, checkServedBesideSlowCallers},
	{"RECOVER", false, checkServedWhileSkewed},
}

// Time bounds of the users' sites, and the number of exceptions that their rules allow.
const (
	revertSlack               = 250 * time.Millisecond
	maxRunAfterCancel         = 500 * time.Millisecond
	timeoutSlack              = 500 * time.Millisecond
	deadlineSlack             = 500 * time.Millisecond
	maxHeldAfterUse           = 4 * time.Second
	maxHeldUnused             = 9 * time.Second
	allowedExceptions         = 3
	allowedDenials            = 5
	requestsPerAllowedDenial  = 500
	runsPerAllowedLateCancel  = 4
	maxFindingsPerRule        = 3 // further findings of a check are only counted
	allowedDeadlineExceptions = 20
)

// indexedRecord is a record with indexes for the checks.
type indexedRecord struct {
	*Record
	requestsByID      map[string]*Request
	arrivalsByID      map[string][]*Arrival // by request ID
	runsByReservation map[string][]*Arrival // by reservation ID; only arrivals that ran
}

// Check returns all violations of the run, those recorded during the run first. The rules with a
// time bound are checked only if checkTimeBounds is set.
func (r *Record) Check(checkTimeBounds bool) []Violation {
	ix := &indexedRecord{Record: r, requestsByID: map[string]*Request{}, arrivalsByID: map[string][]*Arrival{}, runsByReservation: map[string][]*Arrival{}}
	for _, req := range r.Requests {
		ix.requestsByID[req.ID] = req
	}
	for i := range r.Arrivals {
		arrival := &r.Arrivals[i]
		ix.arrivalsByID[arrival.ID] = append(ix.arrivalsByID[arrival.ID], arrival)
		if !arrival.Ran {
			continue
		}
		for _, id := range arrival.ReservationIDs() {
			ix.runsByReservation[id] = append(ix.runsByReservation[id], arrival)
		}
	}
	found := append([]Violation(nil), r.violations...)
	for _, rule := range rules {
		if rule.hasTimeBound && !checkTimeBounds {
			continue
		}
		findings := rule.check(ix)
		for _, detail := range findings[:min(len(findings), maxFindingsPerRule)] {
			found = append(found, Violation{rule.name, detail})
		}
		if len(findings) > maxFindingsPerRule {
			found = append(found, Violation{rule.name, fmt.Sprintf("%d more of the same kind", len(findings)-maxFindingsPerRule)})
		}
	}
	return found
}

// describe identifies a request in a finding.
func describe(req *Request) string {
	return fmt.Sprintf("%s (%s, %s)", req.ID, req.Route.Name, req.Gateway)
}

// findRequests applies check to every request and returns its non-empty results, each with the
// request it is about.
func (ix *indexedRecord) findRequests(check func(req *Request) string) []string {
	var findings []string
	for _, req := range ix.Requests {
		if text := check(req); text != "" {
			findings = append(findings, describe(req)+": "+text)
		}
	}
	return findings
}

// moreThan returns the findings if there are more than the allowed number, and none otherwise.
func moreThan(findings []string, allowed int) []string {
	if len(findings) <= allowed {
		return nil
	}
	return findings
}

// checkCompleteAnswers finds successful responses that are not the complete, unchanged response
// of an endpoint to this request.
func checkCompleteAnswers(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		switch {
		case !req.succeeded():
			return ""
		case !req.HasServerStamp:
			return "successful response without the endpoint's server stamp"
		case req.EchoedID != req.ID:
			return fmt.Sprintf("response belongs to request %q", req.EchoedID)
		case ix.events(req) != req.expectedBody():
			return fmt.Sprintf("body of %d bytes presented as complete, the endpoint's has %d", len(req.ResponseBody), len(req.expectedBody()))
		}
		return ""
	})
}

// checkFailureOrigin finds failures with an endpoint's server stamp that no endpoint returned.
func checkFailureOrigin(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if !req.Complete || !req.HasServerStamp || req.succeeded() {
			return ""
		}
		for _, arrival := range ix.arrivalsByID[req.ID] {
			if arrival.Status == req.Status {
				return ""
			}
		}
		return fmt.Sprintf("status %d has an endpoint's server stamp but no endpoint returned it", req.Status)
	})
}

// checkEventOrder finds streams, including broken ones, whose text is not a prefix of the
// endpoint's stream.
func checkEventOrder(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.Status != http.StatusOK || strings.HasPrefix(req.expectedBody(), ix.events(req)) {
			return ""
		}
		return "events are missing, duplicated or out of order"
	})
}

// events returns the body that a caller received. If an endpoint answered with comments without end, its comments are left
// out: they are relayed as they come, like all that an endpoint sends, and are no events.
func (ix *indexedRecord) events(req *Request) string {
	if !slices.ContainsFunc(ix.arrivalsByID[req.ID], func(a *Arrival) bool { return a.Ran && a.Fault == platform.FaultEndlessComments }) {
		return req.ResponseBody
	}
	body := strings.ReplaceAll(req.ResponseBody, platform.EndlessComment, "")
	for n := len(platform.EndlessComment) - 1; n > 0; n-- {
		if rest, cut := strings.CutSuffix(body, platform.EndlessComment[:n]); cut && !req.Complete {
			return rest // the response was broken off within a comment
		}
	}
	return body
}

// checkRunsMatchRequests finds runs of requests that no caller sent, that had to be refused, or
// whose content or account was changed.
func checkRunsMatchRequests(ix *indexedRecord) []string {
	var findings []string
	for i := range ix.Arrivals {
		run := &ix.Arrivals[i]
		if !run.Ran {
			continue
		}
		req := ix.requestsByID[run.ID]
		switch {
		case req == nil:
			findings = append(findings, fmt.Sprintf("%s ran %q, which no caller sent", run.Endpoint, run.ID))
		case req.ExpectedStatus != 0:
			findings = append(findings, fmt.Sprintf("%s ran the invalid request %s", run.Endpoint, describe(req)))
		case run.Method != http.MethodPost || run.RequestURI != req.RequestURI || run.Body != req.Body:
			findings = append(findings, fmt.Sprintf("%s ran %s with method, path or body changed", run.Endpoint, describe(req)))
		case run.Authorization != "":
			findings = append(findings, fmt.Sprintf("%s received the API key of %s", run.Endpoint, describe(req)))
		case !ix.accountMatches(req, run.Account):
			findings = append(findings, fmt.Sprintf("%s ran %s for account %q", run.Endpoint, describe(req), run.Account))
		}
	}
	return findings
}

// accountMatches reports whether the API key of a request belongs to the given account in any
// edit.
func (ix *indexedRecord) accountMatches(req *Request, account string) bool {
	switch req.APIKey {
	case keyPlain:
		return account == accountPlain
	case keyGuest:
		return account == accountGuest
	}
	return ix.editOfAccount(account) >= 0
}

// editOfAccount returns the number of the edit that an account is named for, or -1 if there is
// none.
func (ix *indexedRecord) editOfAccount(account string) int {
	for i := range ix.Edits {
		if accountOfEdit(i) == account {
			return i
		}
	}
	return -1
}

// checkRunsOnce finds requests that are not repeatable and ran more than once.
func checkRunsOnce(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if n := ix.runCount(req); n > 1 && !req.Route.Repeatable() {
			return fmt.Sprintf("ran %d times", n)
		}
		return ""
	})
}

// runCount returns how often endpoints ran a request.
func (ix *indexedRecord) runCount(req *Request) int {
	n := 0
	for _, run := range ix.arrivalsByID[req.ID] {
		if run.Ran {
			n++
		}
	}
	return n
}

// checkRefusedDidNotRun finds requests that are not repeatable and ran although the caller was
// told that they did not and would not run.
func checkRefusedDidNotRun(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.saysNotRun() && !req.Route.Repeatable() && ix.runCount(req) > 0 {
			return fmt.Sprintf("ran although status %d says that it did not", req.Status)
		}
		return ""
	})
}

// checkValidNotDenied finds valid requests that were denied as if they were invalid.
func checkValidNotDenied(ix *indexedRecord) []string {
	findings := ix.findRequests(func(req *Request) string {
		if req.isDenied() {
			return fmt.Sprintf("status %d", req.Status)
		}
		return ""
	})
	return moreThan(findings, allowedDenials+len(ix.Requests)/requestsPerAllowedDenial)
}

// isDenied reports whether a gateway denied a request that is valid in every configuration.
func (req *Request) isDenied() bool {
	if req.ExpectedStatus != 0 || req.Route.Optional || req.APIKey == keyGuest || !req.Complete || req.HasServerStamp || req.saysNotRun() {
		return false
	}
	return req.Status >= 300 && req.Status < 500
}

// checkInvalidRefused finds invalid requests that were not refused with the right status. Status
// 503 is accepted, as it is returned by a gateway that has no configuration yet or is shutting
// down.
func checkInvalidRefused(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.ExpectedStatus == 0 || !req.Complete || req.Status == req.ExpectedStatus || req.Status == http.StatusServiceUnavailable {
			return ""
		}
		return fmt.Sprintf("status %d, want %d", req.Status, req.ExpectedStatus)
	})
}

// checkService finds runs at a service to which no configuration routes the request.
func checkService(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		for _, run := range ix.arrivalsByID[req.ID] {
			wants := []string{req.Route.Service}
			if req.Route.Service == "" {
				wants = []string{serviceApp, serviceNext}
			}
			if run.Ran && !slices.Contains(wants, run.Service) {
				return "ran at service " + run.Service
			}
		}
		return ""
	})
}

// checkAttemptLimit finds requests that were sent to endpoints more often than the route allows.
func checkAttemptLimit(ix *indexedRecord) []string {
	return moreThan(ix.findRequests(func(req *Request) string {
		if n := len(ix.arrivalsByID[req.ID]); n > req.Route.MaxAttempts {
			return fmt.Sprintf("arrived at endpoints %d times", n)
		}
		return ""
	}), allowedExceptions)
}

// checkRetryBudget finds time windows with more retries at a service than the retry budget
// allows.
func checkRetryBudget(ix *indexedRecord) []string {
	retries := map[string][]time.Time{} // arrival times of retries by service
	for _, arrivals := range ix.arrivalsByID {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].ArrivedAt.Before(arrivals[j].ArrivedAt) })
		for _, arrival := range arrivals[1:] {
			retries[arrival.Service] = append(retries[arrival.Service], arrival.ArrivedAt)
		}
	}
	var findings []string
	for service, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			from := at.Add(-retryWindow)
			first := sort.Search(i, func(j int) bool { return times[j].After(from) })
			allowed := retryRatio*float64(ix.peakRequests(service, from, at)) + float64(ix.retryAllowance())
			if n := i - first + 1; float64(n) > allowed {
				findings = append(findings, fmt.Sprintf("%d retries at %s in %v, %.0f allowed", n, service, retryWindow, allowed))
			}
		}
	}
	return findings
}

// peakRequests counts the requests for a service in the window from..to, in the window before it
// and in the one half a window earlier, and returns the largest number.
func (ix *indexedRecord) peakRequests(service string, from, to time.Time) int {
	peak := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		n := 0
		for _, req := range ix.Requests {
			if (req.Route.Service == service || req.Route.Service == "") && req.SentAt.After(from.Add(-back)) && !req.SentAt.After(to.Add(-back)) {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak
}

// retryAllowance returns how many retries all gateways together may send in addition to the
// ratio.
func (ix *indexedRecord) retryAllowance() int {
	names := map[string]bool{}
	for _, req := range ix.Requests {
		names[req.Gateway] = true
	}
	return retryAllowancePerGateway * max(len(names), 1)
}

// checkDeadlines finds arrivals without a deadline or with one later than the caller's. They are
// reported only if they exceed both allowedDeadlineExceptions and a fifth of all arrivals.
func checkDeadlines(ix *indexedRecord) []string {
	var findings []string
	for i := range ix.Arrivals {
		arrival := &ix.Arrivals[i]
		req := ix.requestsByID[arrival.ID]
		if req == nil {
			continue
		}
		end := arrival.ArrivedAt.Add(time.Duration(arrival.DeadlineMS) * time.Millisecond)
		if (arrival.DeadlineMS <= 0 || end.After(req.SentAt.Add(req.Deadline+deadlineSlack))) && ix.undisturbed(req.Gateway, req.SentAt, arrival.ArrivedAt, true) {
			findings = append(findings, fmt.Sprintf("%s got a deadline of %d ms for %s", arrival.Endpoint, arrival.DeadlineMS, describe(req)))
		}
	}
	return moreThan(findings, max(allowedDeadlineExceptions, len(ix.Arrivals)/5))
}

// checkReservationsUsedOnce finds reservations that two runs used at the same time.
func checkReservationsUsedOnce(ix *indexedRecord) []string {
	var findings []string
	for id, runs := range ix.runsByReservation {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				if first.ArrivedAt.Before(runEnd(second)) && second.ArrivedAt.Before(runEnd(first)) {
					findings = append(findings, fmt.Sprintf("reservation %s is used by both %s and %s", id, first.ID, second.ID))
				}
			}
		}
	}
	return findings
}
