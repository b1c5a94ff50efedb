package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"
)

// rule is one promise and what finds out whether it was kept.
type rule struct {
	name string
	// hasTimeBound rules have a bound in time, which a busy machine may exceed.
	hasTimeBound bool
	check        func(*indexedRecord) []string
}

// rules are all that is checked, by their names in the users' pages.
var rules = []rule{
	{"MIXED", false, checkCompleteAnswers},
	{"MIXED", false, checkFailureOrigin},
	{"ORDER", false, checkEventOrder},
	{"UNASKED", false, checkRunsMatchRequests},
	{"TWICE", false, checkRunsOnce},
	{"REFUSED", false, checkRefusedDidNotRun},
	{"DENIED", false, checkValidNotDenied},
	{"DENIED", false, checkInvalidRefused},
	{"ROUTE", false, checkService},
	{"BUDGET", false, checkAttemptLimit},
	{"BUDGET", false, checkRetryBudget},
	{"BUDGET", false, checkCrashingRequests},
	{"BUDGET", true, checkDeadlines},
	{"LIMIT", false, checkReservationsUsedOnce},
	{"CONFIG", false, checkConfigNeverReverts},
	{"CONFIG", true, checkConfigApplied},
	{"CONFIG", true, checkTimeouts},
	{"DRAIN", true, checkLeavingEndpoints},
	{"LOST", false, checkNoRequestCut},
	{"GONE", true, checkRunsCancelled},
	{"LEAK", true, checkReservationsReleased},
	{"STUCK", true, checkReservationsUsed},
}

// Bounds of the users' sites, and what few exceptions they allow.
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
	maxFindingsPerRule        = 3 // of one rule's findings, besides their number
	allowedDeadlineExceptions = 20
)

// indexedRecord is a record, indexed.
type indexedRecord struct {
	*Record
	requestsByID      map[string]*Request
	arrivalsByID      map[string][]*Arrival // by the request's ID
	runsByReservation map[string][]*Arrival // by the reservation, only those that ran
}

// Check looks for broken promises; those with a bound in time only if timed is set.
func (r *Record) Check(timed bool) []Violation {
	ix := &indexedRecord{Record: r, requestsByID: map[string]*Request{}, arrivalsByID: map[string][]*Arrival{}, runsByReservation: map[string][]*Arrival{}}
	for _, req := range r.Requests {
		ix.requestsByID[req.ID] = req
	}
	for i := range r.Arrivals {
		run := &r.Arrivals[i]
		ix.arrivalsByID[run.ID] = append(ix.arrivalsByID[run.ID], run)
		if !run.Ran {
			continue
		}
		for _, ticket := range run.ReservationIDs() {
			ix.runsByReservation[ticket] = append(ix.runsByReservation[ticket], run)
		}
	}
	found := append([]Violation(nil), r.violations...)
	for _, rule := range rules {
		if rule.hasTimeBound && !timed {
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

// describe describes an attempt in findings.
func describe(req *Request) string {
	return fmt.Sprintf("%s (%s, %s)", req.ID, req.Route.Name, req.Gateway)
}

// findRequests collects what find says of attempts.
func (ix *indexedRecord) findRequests(find func(req *Request) string) []string {
	var findings []string
	for _, req := range ix.Requests {
		if text := find(req); text != "" {
			findings = append(findings, describe(req)+": "+text)
		}
	}
	return findings
}

// moreThan drops findings that are few enough to be allowed.
func moreThan(findings []string, allowed int) []string {
	if len(findings) <= allowed {
		return nil
	}
	return findings
}

// checkCompleteAnswers finds successes that are not the endpoint's whole, own answer.
func checkCompleteAnswers(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		switch {
		case !req.succeeded():
			return ""
		case !req.HasServerStamp:
			return "a success without the endpoint's signature"
		case req.EchoedID != req.ID:
			return fmt.Sprintf("the answer to %q", req.EchoedID)
		case req.ResponseBody != req.expectedBody():
			return fmt.Sprintf("%d bytes that look whole, of %d", len(req.ResponseBody), len(req.expectedBody()))
		}
		return ""
	})
}

// checkFailureOrigin finds failures that bear an endpoint's signature and are not its own.
func checkFailureOrigin(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if !req.Complete || !req.HasServerStamp || req.succeeded() {
			return ""
		}
		for _, run := range ix.arrivalsByID[req.ID] {
			if run.Status == req.Status {
				return ""
			}
		}
		return fmt.Sprintf("status %d is signed and no endpoint gave it", req.Status)
	})
}

// checkEventOrder finds streams, broken ones too, whose text is not the beginning of the
// endpoint's.
func checkEventOrder(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.Status != http.StatusOK || strings.HasPrefix(req.expectedBody(), req.ResponseBody) {
			return ""
		}
		return "events are missing, twice or out of order"
	})
}

// checkRunsMatchRequests finds runs that nobody asked for, or not so.
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
			findings = append(findings, fmt.Sprintf("%s ran the improper request %s", run.Endpoint, describe(req)))
		case run.Method != http.MethodPost || run.RequestURI != req.RequestURI || run.Body != req.Body:
			findings = append(findings, fmt.Sprintf("%s ran %s with method, path or body changed", run.Endpoint, describe(req)))
		case run.Authorization != "":
			findings = append(findings, fmt.Sprintf("%s was given the key of %s", run.Endpoint, describe(req)))
		case !ix.accountMatches(req, run.Account):
			findings = append(findings, fmt.Sprintf("%s ran %s for account %q", run.Endpoint, describe(req), run.Account))
		}
	}
	return findings
}

func (ix *indexedRecord) accountMatches(req *Request, account string) bool {
	switch req.APIKey {
	case keyPlain:
		return account == accountPlain
	case keyGuest:
		return account == accountGuest
	}
	return ix.editOfAccount(account) >= 0
}

// editOfAccount gives the edit that an account's name counts; -1 for none.
func (ix *indexedRecord) editOfAccount(account string) int {
	for i := range ix.Edits {
		if accountOfEdit(i) == account {
			return i
		}
	}
	return -1
}

// checkRunsOnce finds requests that ran more often than they may.
func checkRunsOnce(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if n := ix.runCount(req); n > 1 && !req.Route.Repeatable() {
			return fmt.Sprintf("ran %d times", n)
		}
		return ""
	})
}

func (ix *indexedRecord) runCount(req *Request) int {
	n := 0
	for _, run := range ix.arrivalsByID[req.ID] {
		if run.Ran {
			n++
		}
	}
	return n
}

// checkRefusedDidNotRun finds requests that ran although the caller was told that they did
// not and never would.
func checkRefusedDidNotRun(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.saysNotRun() && !req.Route.Repeatable() && ix.runCount(req) > 0 {
			return fmt.Sprintf("status %d, and it ran", req.Status)
		}
		return ""
	})
}

// checkValidNotDenied finds proper requests that were refused as if they were not.
func checkValidNotDenied(ix *indexedRecord) []string {
	findings := ix.findRequests(func(req *Request) string {
		if req.ExpectedStatus != 0 || req.Route.Optional || req.APIKey == keyGuest || !req.Complete || req.HasServerStamp || req.saysNotRun() {
			return ""
		}
		if req.Status >= 300 && req.Status < 500 {
			return fmt.Sprintf("status %d", req.Status)
		}
		return ""
	})
	return moreThan(findings, allowedDenials+len(ix.Requests)/requestsPerAllowedDenial)
}

// checkInvalidRefused finds improper requests that were not refused as such. 503 is given by
// a node that knows no configuration yet, or is leaving.
func checkInvalidRefused(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.ExpectedStatus == 0 || !req.Complete || req.Status == req.ExpectedStatus || req.Status == http.StatusServiceUnavailable {
			return ""
		}
		return fmt.Sprintf("status %d in place of %d", req.Status, req.ExpectedStatus)
	})
}

// checkService finds runs at a service to which no configuration sends the route.
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

// checkAttemptLimit finds requests that were sent to more endpoints than they may.
func checkAttemptLimit(ix *indexedRecord) []string {
	return moreThan(ix.findRequests(func(req *Request) string {
		if n := len(ix.arrivalsByID[req.ID]); n > req.Route.MaxAttempts {
			return fmt.Sprintf("arrived %d times", n)
		}
		return ""
	}), allowedExceptions)
}

// checkRetryBudget finds windows with more repeats at a service than the budget allows.
func checkRetryBudget(ix *indexedRecord) []string {
	arrivals := map[string][]time.Time{} // repeats, by service
	for _, runs := range ix.arrivalsByID {
		sort.Slice(runs, func(i, j int) bool { return runs[i].ArrivedAt.Before(runs[j].ArrivedAt) })
		for _, run := range runs[1:] {
			arrivals[run.Service] = append(arrivals[run.Service], run.ArrivedAt)
		}
	}
	var findings []string
	for service, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			from := at.Add(-retryWindow)
			first := sort.Search(i, func(j int) bool { return times[j].After(from) })
			allowed := retryRatio*float64(ix.peakRequests(service, from, at)) + float64(ix.retryAllowance())
			if n := i - first + 1; float64(n) > allowed {
				findings = append(findings, fmt.Sprintf("%d repeats at %s in %v, %.0f are allowed", n, service, retryWindow, allowed))
			}
		}
	}
	return findings
}

// peakRequests counts the requests for a service in a window, or in the one before it or
// half a window before it, whichever has most.
func (ix *indexedRecord) peakRequests(service string, from, to time.Time) int {
	most := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		n := 0
		for _, req := range ix.Requests {
			if (req.Route.Service == service || req.Route.Service == "") && req.SentAt.After(from.Add(-back)) && !req.SentAt.After(to.Add(-back)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// retryAllowance is what all gateways together may repeat besides the ratio.
func (ix *indexedRecord) retryAllowance() int {
	names := map[string]bool{}
	for _, req := range ix.Requests {
		names[req.Gateway] = true
	}
	return retryAllowancePerGateway * max(len(names), 1)
}

// checkDeadlines finds runs that were given no deadline or one after the caller's.
func checkDeadlines(ix *indexedRecord) []string {
	var findings []string
	for i := range ix.Arrivals {
		run := &ix.Arrivals[i]
		req := ix.requestsByID[run.ID]
		if req == nil {
			continue
		}
		end := run.ArrivedAt.Add(time.Duration(run.DeadlineMS) * time.Millisecond)
		if (run.DeadlineMS <= 0 || end.After(req.SentAt.Add(req.Deadline+deadlineSlack))) && ix.undisturbed(req.Gateway, req.SentAt, run.ArrivedAt, true) {
			findings = append(findings, fmt.Sprintf("%s got %d ms of %s", run.Endpoint, run.DeadlineMS, describe(req)))
		}
	}
	return moreThan(findings, max(allowedDeadlineExceptions, len(ix.Arrivals)/5))
}

// checkReservationsUsedOnce finds reservations that two runs used at the same time.
func checkReservationsUsedOnce(ix *indexedRecord) []string {
	var findings []string
	for ticket, runs := range ix.runsByReservation {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				if first.ArrivedAt.Before(runEnd(second)) && second.ArrivedAt.Before(runEnd(first)) {
					findings = append(findings, fmt.Sprintf("%s is used by %s and %s", ticket, first.ID, second.ID))
				}
			}
		}
	}
	return findings
}
