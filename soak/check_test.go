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
	epoch     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	plainOnce = &Route{Name: "once", Kind: directory.NonIdempotent, Service: serviceApp, Timeout: 3 * time.Second, MaxAttempts: maxAttempts}
	resumable = &Route{Name: "stream", Kind: directory.Streaming, Resumable: true, Service: serviceModel, Events: 8, Timeout: 10 * time.Second, MaxAttempts: maxAttempts}
)

// at is so many seconds into a run.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// served adds a request that was served as it should be, and gives it and its arrival.
func (r *Record) served(id string, route *Route, sent float64) (*Request, *Arrival) {
	a := &Request{
		ID: id, Route: route, Gateway: "g1", Incarnation: 1, RequestURI: "/x", Body: "b", APIKey: keyPlain, Deadline: 4 * time.Second, SentAt: at(sent), EndedAt: at(sent + 0.1),
		Status: http.StatusOK, Complete: true, HasServerStamp: true, EchoedID: id,
	}
	a.ResponseBody = a.want()
	r.Requests = append(r.Requests, a)
	r.Arrivals = append(r.Arrivals, Arrival{Endpoint: "i-1", Service: route.Service, Run: platform.Run{
		ID: id, Method: http.MethodPost, RequestURI: "/x", Body: "b", Account: "acme", DeadlineMS: 3900, Ran: true, Status: http.StatusOK, ArrivedAt: at(sent + 0.01), EndedAt: at(sent + 0.1),
	}})
	return a, &r.Arrivals[len(r.Arrivals)-1]
}

// again adds one more arrival of a request.
func (r *Record) again(of *Arrival, endpoint string, arrived float64) *Arrival {
	next := *of
	next.Endpoint, next.ArrivedAt, next.EndedAt = endpoint, at(arrived), at(arrived+0.1)
	r.Arrivals = append(r.Arrivals, next)
	return &r.Arrivals[len(r.Arrivals)-1]
}

// counted makes a request tell by which edit it was handled.
func counted(a *Request, run *Arrival, edit int) {
	a.APIKey, run.Account = keyCounted, countedAccount(edit)
}

// threeEdits were in force from seconds 0, 20 and 40 on.
func threeEdits() []ConfigEdit {
	return []ConfigEdit{{at(0), at(0), serviceApp, true, true}, {at(20), at(20), serviceNext, false, true}, {at(40), at(40), serviceApp, true, false}}
}

// Each broken promise is put into a record that keeps all of them otherwise.
var brokenPromises = map[string]struct {
	rule   string
	induce func(r *Record)
}{
	"an unsigned success":        {"MIXED", func(r *Record) { a, _ := r.served("q", plainOnce, 50); a.HasServerStamp = false }},
	"another's answer":           {"MIXED", func(r *Record) { a, _ := r.served("q", plainOnce, 50); a.EchoedID = "p" }},
	"a short answer looks whole": {"MIXED", func(r *Record) { a, _ := r.served("q", resumable, 50); a.ResponseBody = a.ResponseBody[:30] }},
	"a failure nobody gave":      {"MIXED", func(r *Record) { a, _ := r.served("q", plainOnce, 50); a.Status = 500 }},
	"an event is missing": {"ORDER", func(r *Record) {
		a, _ := r.served("q", resumable, 50)
		a.Complete, a.Cancelled, a.ResponseBody = false, true, platform.EventText("q", 1)+platform.EventText("q", 3)
	}},
	"a run nobody asked for": {"UNASKED", func(r *Record) { _, run := r.served("q", plainOnce, 50); run.ID = "hidden-q" }},
	"a changed path":         {"UNASKED", func(r *Record) { _, run := r.served("q", plainOnce, 50); run.RequestURI = "/y" }},
	"the key passed on":      {"UNASKED", func(r *Record) { _, run := r.served("q", plainOnce, 50); run.Authorization = "Bearer k" }},
	"a forged account":       {"UNASKED", func(r *Record) { _, run := r.served("q", plainOnce, 50); run.Account = "forged" }},
	"an improper request ran": {"UNASKED", func(r *Record) {
		a, _ := r.served("q", plainOnce, 50)
		a.ExpectedStatus, a.Status, a.HasServerStamp = 400, 400, false
	}},
	"two runs": {"TWICE", func(r *Record) {
		_, run := r.served("q", plainOnce, 50)
		r.again(run, "i-2", 50.05)
	}},
	"refused and run": {"REFUSED", func(r *Record) { a, _ := r.served("q", plainOnce, 50); a.Status, a.HasServerStamp = 503, false }},
	"proper requests denied": {"DENIED", func(r *Record) {
		for i := range 10 {
			a, run := r.served(string(rune('a'+i)), plainOnce, 50)
			a.Status, a.HasServerStamp, run.Ran = 403, false, false
		}
	}},
	"an improper request served": {"DENIED", func(r *Record) {
		a, run := r.served("q", plainOnce, 50)
		a.ExpectedStatus, run.Ran = 401, false
	}},
	"the wrong service": {"ROUTE", func(r *Record) { _, run := r.served("q", plainOnce, 50); run.Service = serviceModel }},
	"too many endpoints": {"BUDGET", func(r *Record) {
		for _, id := range []string{"q", "r", "s", "t"} {
			_, run := r.served(id, resumable, 50)
			for range maxAttempts {
				r.again(run, "i-2", 50.05)
			}
		}
	}},
	"retries without a budget": {"BUDGET", func(r *Record) {
		for i := range 30 {
			_, run := r.served(string(rune('a'+i)), resumable, 50)
			r.again(run, "i-2", 50.05)
		}
	}},
	"a request that crashes endpoints is sent on": {"BUDGET", func(r *Record) {
		for i := range 10 {
			a, run := r.served(string(rune('a'+i)), plainOnce, 50+float64(i))
			a.Body, run.Body = crashBody, crashBody
		}
	}},
	"more time than is left": {"BUDGET", func(r *Record) {
		for i := range 30 {
			_, run := r.served(string(rune('a'+i)), plainOnce, 50)
			run.DeadlineMS = 10_000
		}
	}},
	"two users of a reservation": {"LIMIT", func(r *Record) {
		_, one := r.served("q", resumable, 50)
		one.Helpers = "127.0.0.1:1/t1"
		_, two := r.served("r", resumable, 50.05)
		two.Helpers = "127.0.0.1:1/t1"
	}},
	"back to an older edit": {"CONFIG", func(r *Record) {
		a, run := r.served("q", plainOnce, 41)
		counted(a, run, 2)
		a, run = r.served("r", plainOnce, 41.5)
		counted(a, run, 1)
	}},
	"an older edit for too long": {"CONFIG", func(r *Record) {
		a, run := r.served("q", plainOnce, 45)
		counted(a, run, 1)
	}},
	"a dropped route for too long": {"CONFIG", func(r *Record) {
		a, run := r.served("q", &Route{Name: "extra", Kind: directory.Idempotent, Service: serviceApp, Timeout: time.Second, Optional: true, MaxAttempts: 3}, 45)
		a.Status, a.HasServerStamp, run.Ran = 404, false, false
	}},
	"no answer at the timeout": {"CONFIG", func(r *Record) { a, _ := r.served("q", plainOnce, 50); a.EndedAt = at(55) }},
	"a leaving endpoint gets work": {"DRAIN", func(r *Record) {
		r.Departures = []Departure{{"i-1", at(45)}}
		r.served("q", plainOnce, 50)
	}},
	"a stop cuts a request": {"LOST", func(r *Record) {
		r.Disturbances = []*Disturbance{{Kind: "term", Gateway: "g1", Planned: true, From: at(49), To: at(57)}}
		a, _ := r.served("q", resumable, 50)
		a.Complete = false
	}},
	"work for callers that left": {"GONE", func(r *Record) {
		for i := range 8 {
			a, run := r.served(string(rune('a'+i)), resumable, 50)
			a.Cancelled, a.Complete, run.EndedAt = true, false, at(55)
		}
	}},
	"memory kept": {"LEAK", func(r *Record) {
		_, run := r.served("q", resumable, 50)
		run.Helpers = "127.0.0.1:1/t1"
		r.Reservations["i-1/t1"] = &Reservation{"i-1", "t1", at(50), at(56)}
	}},
	"memory never used": {"STUCK", func(r *Record) { r.Reservations["i-1/t1"] = &Reservation{"i-1", "t1", at(40), at(56)} }},
}

func sound() *Record {
	r := NewRecord()
	r.Edits = threeEdits()
	r.served("first", plainOnce, 30)
	a, run := r.served("second", resumable, 45)
	counted(a, run, 2)
	return r
}

func TestCorrectRecordHasNoViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(sound().Check(true)), 0)
}

// A check that cannot fail proves nothing.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	for name, c := range brokenPromises {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := sound()
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
			r := sound()
			brokenPromises[name].induce(r)
			r.Disturbances = append(r.Disturbances,
				&Disturbance{Kind: "freeze", Gateway: "g1", From: at(43), To: at(51)}, &Disturbance{Kind: kindEndpointLink, Endpoint: "i-9", From: at(49), To: at(52)})
			is.Equal(len(r.Check(true)), 0)
		})
	}
}

func TestScheduleIsDeterministicPerSeed(t *testing.T) {
	is := is.New(t)
	one, two := GenerateSchedule(7, time.Minute, sizes{3, 12}, nil), GenerateSchedule(7, time.Minute, sizes{3, 12}, nil)
	is.Equal(one, two)
	is.True(len(one) > 0)
	kinds := map[string]bool{}
	for seed := range uint64(50) {
		for _, f := range GenerateSchedule(seed, time.Minute, sizes{3, 12}, nil) {
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), len(kindTable)) // every kind comes
	for _, f := range GenerateSchedule(7, time.Minute, sizes{3, 12}, []string{"edit"}) {
		is.Equal(f.Kind, "edit")
	}
}
