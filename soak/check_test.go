package soak

import (
	"fmt"
	"net/http"
	"strings"
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

// atSecond returns the time that many seconds into a run.
func atSecond(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

// addServed adds a request that was served correctly and returns it with its arrival.
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

// addArrival adds a further arrival of a request.
func (r *Record) addArrival(earlier *Arrival, endpoint string, arrived float64) *Arrival {
	next := *earlier
	next.Endpoint, next.ArrivedAt, next.EndedAt = endpoint, atSecond(arrived), atSecond(arrived+0.1)
	r.Arrivals = append(r.Arrivals, next)
	return &r.Arrivals[len(r.Arrivals)-1]
}

// setHandlingEdit makes a run show that the request was handled by the given edit.
func setHandlingEdit(req *Request, run *Arrival, edit int) {
	req.APIKey, run.Account = keyPerEdit, accountOfEdit(edit)
}

// testEdits returns three edits that took effect at seconds 0, 20 and 40.
func testEdits() []ConfigEdit {
	return []ConfigEdit{{atSecond(0), atSecond(0), serviceApp, true, true}, {atSecond(20), atSecond(20), serviceNext, false, true}, {atSecond(40), atSecond(40), serviceApp, true, false}}
}

// violationCases each put one violation of a rule into a record that is correct otherwise.
var violationCases = map[string]struct {
	rule   string
	induce func(r *Record)
}{
	"successful response without server stamp": {"MIXED", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.HasServerStamp = false }},
	"response to another request":              {"MIXED", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.EchoedID = "p" }},
	"truncated response presented as complete": {"MIXED", func(r *Record) {
		req, _ := r.addServed("q", resumableRoute, 50)
		req.ResponseBody = req.ResponseBody[:30]
	}},
	"stamped failure that no endpoint returned": {"MIXED", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.Status = 500 }},
	"missing event after comments": {"ORDER", func(r *Record) {
		req, run := r.addServed("q", resumableRoute, 50)
		run.Fault = platform.FaultEndlessComments
		req.Complete, req.Cancelled, req.ResponseBody = false, true, platform.EndlessComment+platform.EventText("q", 1)+platform.EventText("q", 3)
	}},
	"whole stream without an event after comments": {"MIXED", func(r *Record) {
		req, run := r.addServed("q", resumableRoute, 50)
		run.Fault = platform.FaultEndlessComments
		req.ResponseBody = platform.EndlessComment + strings.TrimSuffix(req.ResponseBody, platform.EventText("q", 8))
	}},
	"comments that no endpoint sent": {"ORDER", func(r *Record) {
		req, _ := r.addServed("q", resumableRoute, 50)
		req.Complete, req.Cancelled, req.ResponseBody = false, true, platform.EndlessComment
	}},
	"missing event": {"ORDER", func(r *Record) {
		req, _ := r.addServed("q", resumableRoute, 50)
		req.Complete, req.Cancelled, req.ResponseBody = false, true, platform.EventText("q", 1)+platform.EventText("q", 3)
	}},
	"run of a request that no caller sent": {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.ID = "hidden-q" }},
	"changed path":                         {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.RequestURI = "/y" }},
	"API key forwarded":                    {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.Authorization = "Bearer k" }},
	"forged account":                       {"UNASKED", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.Account = "forged" }},
	"invalid request ran": {"UNASKED", func(r *Record) {
		req, _ := r.addServed("q", onceRoute, 50)
		req.ExpectedStatus, req.Status, req.HasServerStamp = 400, 400, false
	}},
	"not repeatable request ran twice": {"TWICE", func(r *Record) {
		_, run := r.addServed("q", onceRoute, 50)
		r.addArrival(run, "i-2", 50.05)
	}},
	"refused request ran": {"REFUSED", func(r *Record) {
		req, _ := r.addServed("q", onceRoute, 50)
		req.Status, req.HasServerStamp = 503, false
	}},
	"valid requests denied": {"DENIED", func(r *Record) {
		for i := range 10 {
			req, run := r.addServed(string(rune('a'+i)), onceRoute, 50)
			req.Status, req.HasServerStamp, run.Ran = 403, false, false
		}
	}},
	"invalid request served": {"DENIED", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 50)
		req.ExpectedStatus, run.Ran = 401, false
	}},
	"wrong service": {"ROUTE", func(r *Record) { _, run := r.addServed("q", onceRoute, 50); run.Service = serviceModel }},
	"too many attempts": {"BUDGET", func(r *Record) {
		for _, id := range []string{"q", "r", "s", "t"} {
			_, run := r.addServed(id, resumableRoute, 50)
			for range maxAttempts {
				r.addArrival(run, "i-2", 50.05)
			}
		}
	}},
	"retries beyond the budget": {"BUDGET", func(r *Record) {
		for i := range 30 {
			_, run := r.addServed(string(rune('a'+i)), resumableRoute, 50)
			r.addArrival(run, "i-2", 50.05)
		}
	}},
	"limit of an endpoint exceeded": {"LIMIT", func(r *Record) {
		for i := range 13 {
			req, _ := r.addServed(fmt.Sprint("q", i), onceRoute, 50+float64(i)/4)
			req.HeadAt, req.StatesLimit = req.EndedAt, true
		}
		r.Limits = []LimitPeriod{{Endpoint: "i-1", PerSecond: 0.2, From: atSecond(40), To: atSecond(60)}}
	}},
	"cold endpoint gets more than it bears": {"LIMIT", func(r *Record) {
		for i := range 12 {
			r.addServed(fmt.Sprint("q", i), onceRoute, 50+float64(i)/20)
		}
		r.ColdPeriods = []ColdPeriod{{Endpoint: "i-1", From: atSecond(45), To: atSecond(60)}}
	}},
	"requests within a backoff": {"BUDGET", func(r *Record) {
		for i := range 4 {
			_, run := r.addServed(fmt.Sprint("q", i), onceRoute, 50+float64(i))
			if i == 0 {
				run.Ran, run.StatedBackoff = false, "4"
			}
		}
	}},
	"request to an endpoint that stated that it leaves": {"DRAIN", func(r *Record) {
		req, _ := r.addServed("q", onceRoute, 50)
		req.HeadAt, req.StatesLeaving = req.EndedAt, true
		r.addServed("r", onceRoute, 53)
		r.StatedDepartures = map[string]time.Time{"i-1": atSecond(40)}
	}},
	"crashing request not quarantined": {"BUDGET", func(r *Record) {
		for i := range 10 {
			req, run := r.addServed(string(rune('a'+i)), onceRoute, 50+float64(i))
			req.Body, run.Body = crashBody, crashBody
		}
	}},
	"prompts with a crashing part are sent on": {"BUDGET", func(r *Record) {
		for i := range 12 {
			req, run := r.addServed(fmt.Sprint("q", i), onceRoute, 50+float64(i))
			req.Parts = promptOf(req.ID, commonPart, crashPart+"1")
			run.Parts = req.Parts
		}
	}},
	"prompts beside a crashing part are refused": {"LOST", func(r *Record) {
		for i := range crashesToRefusePart {
			req, run := r.addServed(fmt.Sprint("q", i), onceRoute, 50)
			req.Parts = promptOf(req.ID, commonPart, crashPart+"1")
			run.Parts = req.Parts
		}
		req, _ := r.addServed("r", onceRoute, 57)
		req.Status, req.HasServerStamp, req.ResponseBody = 503, false, partRefusal
		r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
	}},
	"deadline extended": {"BUDGET", func(r *Record) {
		for i := range 30 {
			_, run := r.addServed(string(rune('a'+i)), onceRoute, 50)
			run.DeadlineMS = 10_000
		}
	}},
	"reservation used by two runs": {"LIMIT", func(r *Record) {
		_, first := r.addServed("q", resumableRoute, 50)
		first.Helpers = "127.0.0.1:1/t1"
		_, second := r.addServed("r", resumableRoute, 50.05)
		second.Helpers = "127.0.0.1:1/t1"
	}},
	"reverted to an older edit": {"CONFIG", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 41)
		setHandlingEdit(req, run, 2)
		req, run = r.addServed("r", onceRoute, 41.5)
		setHandlingEdit(req, run, 1)
	}},
	"older edit in use for too long": {"CONFIG", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 45)
		setHandlingEdit(req, run, 1)
	}},
	"route missing for too long": {"CONFIG", func(r *Record) {
		req, run := r.addServed("q", &Route{Name: "extra", Kind: directory.Idempotent, Service: serviceApp, Timeout: time.Second, Optional: true, MaxAttempts: 3}, 45)
		req.Status, req.HasServerStamp, run.Ran = 404, false, false
	}},
	"no response at the timeout": {"CONFIG", func(r *Record) { req, _ := r.addServed("q", onceRoute, 50); req.EndedAt = atSecond(55) }},
	"request sent to a leaving endpoint": {"DRAIN", func(r *Record) {
		r.Departures = []Departure{{"i-1", atSecond(45)}}
		r.addServed("q", onceRoute, 50)
	}},
	"request sent to an evacuated data centre": {"EVACUATION", func(r *Record) {
		r.Evacuations = []*EvacuationPeriod{{"dc2", atSecond(46), atSecond(46), atSecond(55)}}
		_, run := r.addServed("q", onceRoute, 50)
		run.DataCentre = "dc2"
	}},
	"evacuation unknown to a gateway that has lost its own link to the store only": {"EVACUATION", func(r *Record) {
		r.Evacuations = []*EvacuationPeriod{{"dc2", atSecond(46), atSecond(46), atSecond(55)}}
		r.Disturbances = append(r.Disturbances, &Disturbance{Kind: kindStoreLink, Gateway: "g1", From: atSecond(44), To: atSecond(52)})
		_, run := r.addServed("q", onceRoute, 50)
		run.DataCentre = "dc2"
		other, _ := r.addServed("r", onceRoute, 50)
		other.Gateway = "g2"
	}},
	"refused because of an evacuation that is over": {"EVACUATION", func(r *Record) {
		r.Evacuations = []*EvacuationPeriod{{"dc2", atSecond(30), atSecond(30), atSecond(40)}}
		req, run := r.addServed("q", onceRoute, 50)
		req.Status, req.HasServerStamp, req.ResponseBody, run.Ran = 503, false, `{"code":3018}`, false
	}},
	"shutdown cuts off a request": {"LOST", func(r *Record) {
		r.Disturbances = append(r.Disturbances, &Disturbance{Kind: "term", Gateway: "g1", Planned: true, From: atSecond(49), To: atSecond(57)})
		req, _ := r.addServed("q", resumableRoute, 50)
		req.Complete = false
	}},
	"shutdown cuts off a request whose endpoint is silent": {"LOST", func(r *Record) { r.addCutByStop(49, 50) }},
	"shutdown cuts off a request that reached no endpoint": {"LOST", func(r *Record) {
		r.addCutByStop(49, 50)
		r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
	}},
	"shutdown cuts off a request that reached no endpoint after a suspension": {"LOST", func(r *Record) {
		r.addCutByStop(49, 50)
		r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
		r.Disturbances = append(r.Disturbances, &Disturbance{Kind: kindStopsInSeries, Gateway: "g1", DelaysOnly: true, From: atSecond(49), To: atSecond(56)})
	}},
	"shutdown cuts off a request after a suspension": {"LOST", func(r *Record) {
		r.addCutByStop(49, 50)
		r.Disturbances = append(r.Disturbances, &Disturbance{Kind: kindStopsInSeries, Gateway: "g1", DelaysOnly: true, From: atSecond(49), To: atSecond(50.5)})
	}},
	"shutdown cuts off a response to a request of its fourth second": {"LOST", func(r *Record) {
		req, _ := r.addCutByStop(46.9, 50)
		req.Status = http.StatusOK
	}},
	"shutdown cuts off a response whose endpoint had ended": {"LOST", func(r *Record) {
		req, run := r.addCutByStop(49, 50)
		req.Status, run.EndedAt = http.StatusOK, atSecond(55.6) // the sixth begins at 55.67
	}},
	"valid request answered with status 400": {"DENIED", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 50)
		req.Status, req.HasServerStamp, run.Ran = 400, false, false
	}},
	"valid request denied by a process that is being stopped": {"DENIED", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 50)
		req.Status, req.HasServerStamp, run.Ran = 403, false, false
		r.Disturbances = append(r.Disturbances, &Disturbance{Kind: kindStop, Gateway: "g1", Incarnation: 1, Planned: true, From: atSecond(49), To: atSecond(57)})
	}},
	"response of a gateway without a length": {"DENIED", func(r *Record) {
		req, run := r.addServed("q", onceRoute, 50)
		req.Status, req.HasServerStamp, req.Unframed, run.Ran = 503, false, true, false
	}},
	"runs continue after cancellation": {"GONE", func(r *Record) {
		for i := range 8 {
			req, run := r.addServed(string(rune('a'+i)), resumableRoute, 50)
			req.Cancelled, req.Complete, run.EndedAt = true, false, atSecond(55)
		}
	}},
	"reservation not released": {"LEAK", func(r *Record) {
		_, run := r.addServed("q", resumableRoute, 50)
		run.Helpers = "127.0.0.1:1/t1"
		r.Reservations["i-1/t1"] = &Reservation{"i-1", "t1", atSecond(50), atSecond(56)}
	}},
	"nobody served beside slow callers": {"SERVED", func(r *Record) {
		r.SlowPeriods = append(r.SlowPeriods, SlowPeriod{"g1", 1, atSecond(49), atSecond(53)})
		for i := range minRequestsInPeriod {
			req, _ := r.addServed(fmt.Sprint("q", i), onceRoute, 50)
			req.Status, req.HasServerStamp = 503, false
			r.Arrivals = r.Arrivals[:len(r.Arrivals)-1] // refused
		}
	}},
	"hardly served while most connections go to one gateway": {"RECOVER", func(r *Record) {
		r.SkewPeriods = []SkewPeriod{{"g1", atSecond(45), atSecond(55)}}
		for i := range 120 {
			req, _ := r.addServed(fmt.Sprint("q", i), onceRoute, 42.1+float64(i)/10)
			if i > 60 && i%2 == 0 {
				req.Status, req.HasServerStamp, req.ResponseBody = 503, false, ""
				r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
			}
		}
	}},
	"reservation never used": {"STUCK", func(r *Record) { r.Reservations["i-1/t1"] = &Reservation{"i-1", "t1", atSecond(40), atSecond(56)} }},
}

// addCutByStop adds a stop of g1 and a request that its end cuts off while an endpoint is silent.
func (r *Record) addCutByStop(stopped, sent float64) (*Request, *Arrival) {
	r.Disturbances = append(r.Disturbances, &Disturbance{Kind: kindStop, Gateway: "g1", Incarnation: 1, Planned: true, From: atSecond(stopped), To: atSecond(stopped + 8)})
	req, run := r.addServed(fmt.Sprint("cut at ", stopped), resumableRoute, sent)
	req.Deadline, req.EndedAt, req.Complete, req.Status, req.HasServerStamp, req.ResponseBody = longDeadline, atSecond(stopped+7.7), false, 0, false, ""
	run.Fault, run.EndedAt = platform.FaultHang, req.EndedAt
	return req, run
}

// correctRecord returns a record without violations.
func correctRecord() *Record {
	r := NewRecord()
	r.Edits = testEdits()
	r.addServed("first", onceRoute, 30)
	req, run := r.addServed("second", resumableRoute, 45)
	setHandlingEdit(req, run, 2)
	resumed, commented := r.addServed("resumed after comments", resumableRoute, 46)
	commented.Fault = platform.FaultEndlessComments
	resumed.ResponseBody = platform.EndlessComment + resumed.ResponseBody
	brokenOff, commented := r.addServed("broken off in a comment", resumableRoute, 47)
	commented.Fault = platform.FaultEndlessComments
	brokenOff.Complete, brokenOff.Cancelled, brokenOff.ResponseBody = false, true, platform.EndlessComment+platform.EndlessComment[:9]
	unfinished, _ := r.addCutByStop(8, 9) // its endpoint is at work when the process has to end
	unfinished.Incarnation, unfinished.Status, r.Disturbances[0].Incarnation = 2, http.StatusOK, 2
	unread, _ := r.addServed("unread", onceRoute, 48) // its connection was closed before it was read
	unread.Complete, unread.Status, unread.ResponseBody = false, 0, ""
	r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
	suspended, _ := r.addServed("unread in a suspension", onceRoute, 20) // the same, when the process had resumed
	suspended.Complete, suspended.Status, suspended.ResponseBody, suspended.EndedAt = false, 0, "", atSecond(21.1)
	r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
	r.Disturbances = append(r.Disturbances, &Disturbance{Kind: kindStopsInSeries, Gateway: "g1", DelaysOnly: true, From: atSecond(19.5), To: atSecond(21)})
	return r
}

func TestCorrectRecordHasNoViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(correctRecord().Check(true)), 0)
}

// A check that cannot fail would prove nothing, so each one must report the violation it is for
// and nothing else.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	for name, c := range violationCases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := correctRecord()
			c.induce(r)
			found := r.Check(true)
			is.True(len(found) > 0)
			for _, v := range found {
				is.Equal(v.Rule, c.rule) // no other rule is reported
			}
		})
	}
}

// Violations that a disturbance explains are not reported.
func TestDisturbancesExcuseTheirEffects(t *testing.T) {
	for _, name := range []string{"older edit in use for too long", "request sent to an evacuated data centre", "refused because of an evacuation that is over", "request sent to a leaving endpoint", "runs continue after cancellation", "reservation not released", "no response at the timeout"} {
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
	is.Equal(len(kinds), len(faultTable)) // every kind occurs
	for _, f := range GenerateSchedule(7, time.Minute, targetCounts{3, 12}, []string{"edit"}) {
		is.Equal(f.Kind, "edit")
	}
}
