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
	// timed rules have a bound in time, which a busy machine may exceed.
	timed bool
	check func(*evidence) []string
}

// rules are all that is checked, by their names in the users' pages.
var rules = []rule{
	{"MIXED", false, wholeAnswers},
	{"MIXED", false, ownFailures},
	{"ORDER", false, eventsInOrder},
	{"UNASKED", false, asAsked},
	{"TWICE", false, ranOnce},
	{"REFUSED", false, refusedDidNotRun},
	{"DENIED", false, properNotDenied},
	{"DENIED", false, improperRefused},
	{"ROUTE", false, rightService},
	{"BUDGET", false, fewArrivals},
	{"BUDGET", false, retriesInBudget},
	{"BUDGET", false, crashersStopped},
	{"BUDGET", true, deadlinesPassedOn},
	{"LIMIT", false, ticketsUsedOnce},
	{"CONFIG", false, neverReverts},
	{"CONFIG", true, editsInForce},
	{"CONFIG", true, answeredInTime},
	{"DRAIN", true, leavingLeftAlone},
	{"LOST", false, plannedWorkCutsNothing},
	{"GONE", true, workEndsWithCaller},
	{"LEAK", true, memoryGivenBack},
	{"STUCK", true, memoryNotIdle},
}

// Bounds of the users' sites, and what few exceptions they allow.
const (
	revertSlack     = 250 * time.Millisecond
	goneBound       = 500 * time.Millisecond
	timeoutSlack    = 500 * time.Millisecond
	deadlineSlack   = 500 * time.Millisecond
	leakBound       = 4 * time.Second
	stuckBound      = 9 * time.Second
	fewExceptions   = 3
	deniedBase      = 5
	deniedShare     = 500
	goneShare       = 4
	mostShown       = 3 // of one rule's findings, besides their number
	fewDeadlineRuns = 20
)

// evidence is a record, indexed.
type evidence struct {
	*Record
	attempts map[string]*Request
	runs     map[string][]*Arrival // by the request's ID
	users    map[string][]*Arrival // by the reservation, only those that ran
}

// Check looks for broken promises; those with a bound in time only if timed is set.
func (r *Record) Check(timed bool) []Violation {
	e := &evidence{Record: r, attempts: map[string]*Request{}, runs: map[string][]*Arrival{}, users: map[string][]*Arrival{}}
	for _, a := range r.Requests {
		e.attempts[a.ID] = a
	}
	for i := range r.Arrivals {
		run := &r.Arrivals[i]
		e.runs[run.ID] = append(e.runs[run.ID], run)
		if !run.Ran {
			continue
		}
		for _, ticket := range run.ReservationIDs() {
			e.users[ticket] = append(e.users[ticket], run)
		}
	}
	found := append([]Violation(nil), r.found...)
	for _, rule := range rules {
		if rule.timed && !timed {
			continue
		}
		list := rule.check(e)
		for _, detail := range list[:min(len(list), mostShown)] {
			found = append(found, Violation{rule.name, detail})
		}
		if len(list) > mostShown {
			found = append(found, Violation{rule.name, fmt.Sprintf("%d more of the same kind", len(list)-mostShown)})
		}
	}
	return found
}

// about describes an attempt in findings.
func about(a *Request) string {
	return fmt.Sprintf("%s (%s, %s)", a.ID, a.Route.Name, a.Gateway)
}

// each collects what find says of attempts.
func (e *evidence) each(find func(a *Request) string) []string {
	var list []string
	for _, a := range e.Requests {
		if text := find(a); text != "" {
			list = append(list, about(a)+": "+text)
		}
	}
	return list
}

// beyond drops findings that are few enough to be allowed.
func beyond(list []string, allowed int) []string {
	if len(list) <= allowed {
		return nil
	}
	return list
}

// wholeAnswers finds successes that are not the endpoint's whole, own answer.
func wholeAnswers(e *evidence) []string {
	return e.each(func(a *Request) string {
		switch {
		case !a.succeeded():
			return ""
		case !a.HasServerStamp:
			return "a success without the endpoint's signature"
		case a.EchoedID != a.ID:
			return fmt.Sprintf("the answer to %q", a.EchoedID)
		case a.ResponseBody != a.want():
			return fmt.Sprintf("%d bytes that look whole, of %d", len(a.ResponseBody), len(a.want()))
		}
		return ""
	})
}

// ownFailures finds failures that bear an endpoint's signature and are not its own.
func ownFailures(e *evidence) []string {
	return e.each(func(a *Request) string {
		if !a.Complete || !a.HasServerStamp || a.succeeded() {
			return ""
		}
		for _, run := range e.runs[a.ID] {
			if run.Status == a.Status {
				return ""
			}
		}
		return fmt.Sprintf("status %d is signed and no endpoint gave it", a.Status)
	})
}

// eventsInOrder finds streams, broken ones too, whose text is not the beginning of the
// endpoint's.
func eventsInOrder(e *evidence) []string {
	return e.each(func(a *Request) string {
		if a.Status != http.StatusOK || strings.HasPrefix(a.want(), a.ResponseBody) {
			return ""
		}
		return "events are missing, twice or out of order"
	})
}

// asAsked finds runs that nobody asked for, or not so.
func asAsked(e *evidence) []string {
	var list []string
	for i := range e.Arrivals {
		run := &e.Arrivals[i]
		if !run.Ran {
			continue
		}
		a := e.attempts[run.ID]
		switch {
		case a == nil:
			list = append(list, fmt.Sprintf("%s ran %q, which no caller sent", run.Endpoint, run.ID))
		case a.ExpectedStatus != 0:
			list = append(list, fmt.Sprintf("%s ran the improper request %s", run.Endpoint, about(a)))
		case run.Method != http.MethodPost || run.RequestURI != a.RequestURI || run.Body != a.Body:
			list = append(list, fmt.Sprintf("%s ran %s with method, path or body changed", run.Endpoint, about(a)))
		case run.Authorization != "":
			list = append(list, fmt.Sprintf("%s was given the key of %s", run.Endpoint, about(a)))
		case !e.rightAccount(a, run.Account):
			list = append(list, fmt.Sprintf("%s ran %s for account %q", run.Endpoint, about(a), run.Account))
		}
	}
	return list
}

func (e *evidence) rightAccount(a *Request, account string) bool {
	switch a.APIKey {
	case keyPlain:
		return account == accountPlain
	case keyGuest:
		return account == accountGuest
	}
	return e.editOf(account) >= 0
}

// editOf gives the edit that an account's name counts; -1 for none.
func (e *evidence) editOf(account string) int {
	for i := range e.Edits {
		if countedAccount(i) == account {
			return i
		}
	}
	return -1
}

// ranOnce finds requests that ran more often than they may.
func ranOnce(e *evidence) []string {
	return e.each(func(a *Request) string {
		if n := e.ran(a); n > 1 && !a.Route.Repeatable() {
			return fmt.Sprintf("ran %d times", n)
		}
		return ""
	})
}

func (e *evidence) ran(a *Request) int {
	n := 0
	for _, run := range e.runs[a.ID] {
		if run.Ran {
			n++
		}
	}
	return n
}

// refusedDidNotRun finds requests that ran although the caller was told that they did
// not and never would.
func refusedDidNotRun(e *evidence) []string {
	return e.each(func(a *Request) string {
		if a.promisesNotRun() && !a.Route.Repeatable() && e.ran(a) > 0 {
			return fmt.Sprintf("status %d, and it ran", a.Status)
		}
		return ""
	})
}

// properNotDenied finds proper requests that were refused as if they were not.
func properNotDenied(e *evidence) []string {
	list := e.each(func(a *Request) string {
		if a.ExpectedStatus != 0 || a.Route.Optional || a.APIKey == keyGuest || !a.Complete || a.HasServerStamp || a.promisesNotRun() {
			return ""
		}
		if a.Status >= 300 && a.Status < 500 {
			return fmt.Sprintf("status %d", a.Status)
		}
		return ""
	})
	return beyond(list, deniedBase+len(e.Requests)/deniedShare)
}

// improperRefused finds improper requests that were not refused as such. 503 is given by
// a node that knows no configuration yet, or is leaving.
func improperRefused(e *evidence) []string {
	return e.each(func(a *Request) string {
		if a.ExpectedStatus == 0 || !a.Complete || a.Status == a.ExpectedStatus || a.Status == http.StatusServiceUnavailable {
			return ""
		}
		return fmt.Sprintf("status %d in place of %d", a.Status, a.ExpectedStatus)
	})
}

// rightService finds runs at a service to which no configuration sends the route.
func rightService(e *evidence) []string {
	return e.each(func(a *Request) string {
		for _, run := range e.runs[a.ID] {
			wants := []string{a.Route.Service}
			if a.Route.Service == "" {
				wants = []string{serviceApp, serviceNext}
			}
			if run.Ran && !slices.Contains(wants, run.Service) {
				return "ran at service " + run.Service
			}
		}
		return ""
	})
}

// fewArrivals finds requests that were sent to more endpoints than they may.
func fewArrivals(e *evidence) []string {
	return beyond(e.each(func(a *Request) string {
		if n := len(e.runs[a.ID]); n > a.Route.MaxAttempts {
			return fmt.Sprintf("arrived %d times", n)
		}
		return ""
	}), fewExceptions)
}

// retriesInBudget finds windows with more repeats at a service than the budget allows.
func retriesInBudget(e *evidence) []string {
	arrivals := map[string][]time.Time{} // repeats, by service
	for _, runs := range e.runs {
		sort.Slice(runs, func(i, j int) bool { return runs[i].ArrivedAt.Before(runs[j].ArrivedAt) })
		for _, run := range runs[1:] {
			arrivals[run.Service] = append(arrivals[run.Service], run.ArrivedAt)
		}
	}
	var list []string
	for service, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			from := at.Add(-retryWindow)
			first := sort.Search(i, func(j int) bool { return times[j].After(from) })
			allowed := retryRatio*float64(e.requestsFor(service, from, at)) + float64(e.allowance())
			if n := i - first + 1; float64(n) > allowed {
				list = append(list, fmt.Sprintf("%d repeats at %s in %v, %.0f are allowed", n, service, retryWindow, allowed))
			}
		}
	}
	return list
}

// requestsFor counts the requests for a service in a window, or in the one before it or
// half a window before it, whichever has most.
func (e *evidence) requestsFor(service string, from, to time.Time) int {
	most := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		n := 0
		for _, a := range e.Requests {
			if (a.Route.Service == service || a.Route.Service == "") && a.SentAt.After(from.Add(-back)) && !a.SentAt.After(to.Add(-back)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// allowance is what all gateways together may repeat besides the ratio.
func (e *evidence) allowance() int {
	names := map[string]bool{}
	for _, a := range e.Requests {
		names[a.Gateway] = true
	}
	return allowancePerGateway * max(len(names), 1)
}

// deadlinesPassedOn finds runs that were given no deadline or one after the caller's.
func deadlinesPassedOn(e *evidence) []string {
	var list []string
	for i := range e.Arrivals {
		run := &e.Arrivals[i]
		a := e.attempts[run.ID]
		if a == nil {
			continue
		}
		end := run.ArrivedAt.Add(time.Duration(run.DeadlineMS) * time.Millisecond)
		if (run.DeadlineMS <= 0 || end.After(a.SentAt.Add(a.Deadline+deadlineSlack))) && e.calm(a.Gateway, a.SentAt, run.ArrivedAt, true) {
			list = append(list, fmt.Sprintf("%s got %d ms of %s", run.Endpoint, run.DeadlineMS, about(a)))
		}
	}
	return beyond(list, max(fewDeadlineRuns, len(e.Arrivals)/5))
}

// ticketsUsedOnce finds reservations that two runs used at the same time.
func ticketsUsedOnce(e *evidence) []string {
	var list []string
	for ticket, runs := range e.users {
		for i, one := range runs {
			for _, two := range runs[i+1:] {
				if one.ArrivedAt.Before(endOf(two)) && two.ArrivedAt.Before(endOf(one)) {
					list = append(list, fmt.Sprintf("%s is used by %s and %s", ticket, one.ID, two.ID))
				}
			}
		}
	}
	return list
}
