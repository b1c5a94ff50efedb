package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
	"aspenyard.example/standin/platform"
)

var (
	runStart       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	onceRoute      = &Route{Name: "once", Kind: directory.NonIdempotent, Service: serviceApp, Timeout: 3 * time.Second, MaxAttempts: maxAttempts}
	resumableRoute = &Route{Name: "stream", Kind: directory.Streaming, Resumable: true, Service: serviceModel, Events: 8, Timeout: 10 * time.Second, MaxAttempts: maxAttempts}
)

// atSecond is so many seconds into a run.
func atSecond(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

// addServed adds a request that was addServed as it should be, and gives it and its arrival.
func (r *Record) addServed(id string, route *Route, sent float64) (*Request, *Arrival) {
	req := &Request{
		ID: id, Route: route, Gateway: "g1", Incarnation: 1, RequestURI: "/x", Body: "b", APIKey: keyPlain, Deadline: 4 * time.Second, SentAt: atSecond(sent), EndedAt: atSecond(sent + 0.1),
		Status: http.StatusOK, Complete: true, HasServerStamp: true, EchoedID: id,
	}
	req.ResponseBody = req.expectedBody()
	r.Requests = append(r.Requests, req)
	r.Arrivals = append(r.Arrivals, Arrival{Endpoint: "i-1", Service: route.Service, Run: platform.Run{
		ID: id, Method: http.MethodPost, RequestURI: "/x", Body: "b", Account: "acme", DeadlineMS: 3900, Ran: true, Status: http.StatusOK, ArrivedAt: atSecond(sent + 0.01), EndedAt: atSecond(sent + 0.1),
	}})
	return req, &r.Arrivals[len(r.Arrivals)-1]
}

// addArrival adds one more arrival of a request.
func (r *Record) addArrival(of *Arrival, endpoint string, arrived float64) *Arrival {
	next := *of
	next.Endpoint, next.ArrivedAt, next.EndedAt = endpoint, atSecond(arrived), atSecond(arrived+0.1)
	r.Arrivals = append(r.Arrivals, next)
	return &r.Arrivals[len(r.Arrivals)-1]
}

// setHandlingEdit makes a request tell by which edit it was handled.
func setHandlingEdit(req *Request, run *Arrival, edit int) {
	req.APIKey, run.Account = keyPerEdit, accountOfEdit(edit)
}

// testEdits were in force from seconds 0, 20 and 40 on.
func testEdits() []ConfigEdit {
	return []ConfigEdit{{atSecond(0), atSecond(0), serviceApp, true, true}, {atSecond(20), atSecond(20), serviceNext, false, true}, {atSecond(40), atSecond(40), serviceApp, true, false}}
}

// Each broken promise is put into a record that keeps all of them otherwise.
var violationCases = map[string]struct {
	rule   string
	induce func(r *Record)
}{
	"an unsigned success": {"MIXED", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.HasServerStamp = false }},
	"another's answer":    {"MIXED", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.EchoedID = "p" }},
	"a short answer looks whole": {"MIXED", func(r *Record) {
		req, _ := r.addServed("q", resumableRoute, 50)
		req.ResponseBody = req.ResponseBody[:30]
	}},
	"a failure nobody gave": {"MIXED", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.Status = 500 }},
	"an event is missing": {"ORDER", func(r *Record) {
		req, _ := r.addServed("q", resumableRoute, 50)
		req.Complete, req.Cancelled, req.ResponseBody = false, true, platform.EventText("q", 1)+platform.EventText("q", 3)
	}},
	"a run nobody asked for": {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.ID = "hidden-q" }},
	"a changed path":         {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.RequestURI = "/y" }},
	"the key passed on":      {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.Authorization = "Bearer k" }},
	"a forged account":       {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.Account = "forged" }},
	"an improper request ran": {"UNASKED", func(r *Record) {
		req, _ := r.addServed("q", onceRoute, 50)
		req.ExpectedStatus, req.Status, req.HasServerStamp = 400, 400, false
	}},
	"two runs": {"TWICE", func(r *Record) {
		_, run := r.addServed("q", onceRoute, 50)
		r.addArrival(run, "i-2", 50.05)
	}},
	"refused and run": {"REFUSED", func(r *Record) {
		req, _ := r.addServed("q", onceRoute, 50)
		req.Status, req.HasServerStamp = 503, false
	}},
	"proper requests denied": {"DENIED", func(r *Record) {
		for i := range 10 {
			req, run := r.addServed(string(rune('a'+i)), onceRoute, 50)
			req.Status, req.HasServerStamp, run.Ran = 403, false, false
		}
	}},
	"an improper request served": {"DENIED", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 50)
		req.ExpectedStatus, run.Ran = 401, false
	}},
	"the wrong service": {"ROUTE", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.Service = serviceModel }},
	"too many endpoints": {"BUDGET", func(r *Record) {
		for _, id := range []string{"q", "r", "s", "t"} {
			_, run := r.addServed(id, resumableRoute, 50)
			for range maxAttempts {
				r.addArrival(run, "i-2", 50.05)
			}
		}
	}},
	"retries without a budget": {"BUDGET", func(r *Record) {
		for i := range 30 {
			_, run := r.addServed(string(rune('a'+i)), resumableRoute, 50)
			r.addArrival(run, "i-2", 50.05)
		}
	}},
	"a request that crashes endpoints is sent on": {"BUDGET", func(r *Record) {
		for i := range 10 {
			req, run := r.addServed(string(rune('a'+i)), onceRoute, 50+float64(i))
			req.Body, run.Body = crashBody, crashBody
		}
	}},
	"more time than is left": {"BUDGET", func(r *Record) {
		for i := range 30 {
			_, run := r.addServed(string(rune('a'+i)), onceRoute, 50)
			run.DeadlineMS = 10_000
		}
	}},
	"two users of a reservation": {"LIMIT", func(r *Record) {
		_, first := r.addServed("q", resumableRoute, 50)
		first.Helpers = "127.0.0.1:1/t1"
		_, second := r.addServed("r", resumableRoute, 50.05)
		second.Helpers = "127.0.0.1:1/t1"
	}},
	"back to an older edit": {"CONFIG", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 41)
		setHandlingEdit(req, run, 2)
		req, run = r.addServed("r", onceRoute, 41.5)
		setHandlingEdit(req, run, 1)
	}},
	"an older edit for too long": {"CONFIG", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 45)
		setHandlingEdit(req, run, 1)
	}},
	"a dropped route for too long": {"CONFIG", func(r *Record) {
		req, run := r.addServed("q", &Route{Name: "extra", Kind: directory.Idempotent, Service: serviceApp, Timeout: time.Second, Optional: true, MaxAttempts: 3}, 45)
		req.Status, req.HasServerStamp, run.Ran = 404, false, false
	}},
	"no answer at the timeout": {"CONFIG", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.EndedAt = atSecond(55) }},
	"a leaving endpoint gets work": {"DRAIN", func(r *Record) {
		r.Departures = []Departure{{"i-1", atSecond(45)}}
		r.addServed("q", onceRoute, 50)
	}},
	"a stop cuts a request": {"LOST", func(r *Record) {
		r.Disturbances = []*Disturbance{{Kind: "term", Gateway: "g1", Planned: true, From: atSecond(49), To: atSecond(57)}}
		req, _ := r.addServed("q", resumableRoute, 50)
		req.Complete = false
	}},
	"work for callers that left": {"GONE", func(r *Record) {
		for i := range 8 {
			req, run := r.addServed(string(rune('a'+i)), resumableRoute, 50)
			req.Cancelled, req.Complete, run.EndedAt = true, false, atSecond(55)
		}
	}},
	"memory kept": {"LEAK", func(r *Record) {
		_, run := r.addServed("q", resumableRoute, 50)
		run.Helpers = "127.0.0.1:1/t1"
		r.Reservations["i-1/t1"] = &Reservation{"i-1", "t1", atSecond(50), atSecond(56)}
	}},
	"memory never used": {"STUCK", func(r *Record) { r.Reservations["i-1/t1"] = &Reservation{"i-1", "t1", atSecond(40), atSecond(56)} }},
}

func correctRecord() *Record {
	r := NewRecord()
	r.Edits = testEdits()
	r.addServed("first", onceRoute, 30)
	req, run := r.addServed("second", resumableRoute, 45)
	setHandlingEdit(req, run, 2)
	return r
}

func TestCorrectRecordHasNoViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(correctRecord().Check(true)), 0)
}

// A check that cannot fail proves nothing.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	for name, c := range violationCases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := correctRecord()
			c.induce(r)
			found := r.Check(true)
			is.True(len(found) > 0)
			for _, v := range found {
				is.Equal(v.Rule, c.rule) // nothing else is found broken
			}
		})
	}
}

// What a disturbance explains is not held against a gateway.
func TestDisturbancesExcuseTheirEffects(t *testing.T) {
	for _, name := range []string{"an older edit for too long", "a leaving endpoint gets work", "work for callers that left", "memory kept", "no answer at the timeout"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := correctRecord()
			violationCases[name].induce(r)
			r.Disturbances = append(r.Disturbances,
				&Disturbance{Kind: "freeze", Gateway: "g1", From: atSecond(43), To: atSecond(51)}, &Disturbance{Kind: kindEndpointLink, Endpoint: "i-9", From: atSecond(49), To: atSecond(52)})
			is.Equal(len(r.Check(true)), 0)
		})
	}
}

func TestScheduleIsDeterministicPerSeed(t *testing.T) {
	is := is.New(t)
	first, second := GenerateSchedule(7, time.Minute, targetCounts{3, 12}, nil), GenerateSchedule(7, time.Minute, targetCounts{3, 12}, nil)
	is.Equal(first, second)
	is.True(len(first) > 0)
	kinds := map[string]bool{}
	for seed := range uint64(50) {
		for _, f := range GenerateSchedule(seed, time.Minute, targetCounts{3, 12}, nil) {
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), len(faultTable)) // every kind comes
	for _, f := range GenerateSchedule(7, time.Minute, targetCounts{3, 12}, []string{"edit"}) {
		is.Equal(f.Kind, "edit")
	}
}
