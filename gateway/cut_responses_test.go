package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// cutRoute is a kind of route whose endpoints cut their responses.
type cutRoute struct {
	name, method, path string
	events             int
	repeatable         bool
}

var cutRoutes = []cutRoute{
	{"idempotent", http.MethodPost, "/again/a", 0, true}, {"non-idempotent", http.MethodPost, "/once/a", 0, false},
	{"resumable stream", http.MethodPost, "/stream/a", 5, true}, {"other stream", http.MethodPost, "/stream/a", 5, false},
	{"idempotent HEAD", http.MethodHead, "/again/a", 0, true}, {"non-idempotent HEAD", http.MethodHead, "/once/a", 0, false},
}

// whole returns the whole body of the response to a request.
func (r *cutRoute) whole(id string) string {
	switch {
	case r.method == http.MethodHead:
		return ""
	case r.events > 0:
		return standin.StreamText(id, r.events)
	}
	return standin.PlainResponse(id)
}

// cutArrival is the arrival of a request at an endpoint: whether its connection had carried an earlier request, and the
// endpoint's fault.
type cutArrival struct {
	kept  bool
	fault standin.Fault
}

// cutFixture runs endpoints whose faults are chosen by request: those of its first arrivals, at whatever endpoints.
type cutFixture struct {
	*fixture
	route       *cutRoute
	maxAttempts int
	// bodyBytes is added to the length of requests' bodies.
	bodyBytes int

	mu       sync.Mutex
	faults   map[string][]standin.Fault
	arrivals map[string][]cutArrival
	next     int
}

// cutWait is longer than the silence after which endpoints are probed.
const cutWait = 300 * time.Millisecond

// newCutFixture starts a gateway before three endpoints. If singleUse is set, each of their connections carries one request.
func newCutFixture(t *testing.T, route *cutRoute, maxAttempts int, singleUse bool) *cutFixture {
	t.Helper()
	s := &cutFixture{route: route, maxAttempts: maxAttempts, faults: map[string][]standin.Fault{}, arrivals: map[string][]cutArrival{}}
	var workers []*standin.Worker
	for range 3 {
		w := &standin.Worker{EventCount: route.events, EventInterval: time.Millisecond, WorkTime: 5 * time.Millisecond, CutWait: cutWait, SingleUse: singleUse}
		seen := map[string]bool{}
		w.FaultFor = func(id, from string) standin.Fault {
			s.mu.Lock()
			defer s.mu.Unlock()
			var fault standin.Fault
			if n := len(s.arrivals[id]); n < len(s.faults[id]) {
				fault = s.faults[id][n]
			}
			s.arrivals[id] = append(s.arrivals[id], cutArrival{seen[from], fault})
			seen[from] = true
			return fault
		}
		workers = append(workers, w)
	}
	s.fixture = newFixture(t, workers...)
	s.extraSettings = `,"retry_allowance":1000000`
	for _, r := range s.routes {
		r["max_attempts"], r["target_latency_ms"], r["target_gap_ms"] = maxAttempts, 100, 100
		r["resumable"] = r["route_kind"] == "streaming" && route.repeatable
	}
	s.start()
	return s
}

// send sends a request whose first arrivals meet the faults. It returns what the caller received, and the arrivals.
func (s *cutFixture) send(faults ...standin.Fault) (id string, got callerResponse, arrivals []cutArrival) {
	s.mu.Lock()
	s.next++
	id = fmt.Sprint("q", s.next)
	s.faults[id] = faults
	s.mu.Unlock()
	body := "body of " + id + strings.Repeat(".", s.bodyBytes)
	if s.route.method == http.MethodHead {
		body = ""
	}
	got = s.do(s.request(s.route.method, s.route.path, id, body))
	s.mu.Lock()
	defer s.mu.Unlock()
	return id, got, s.arrivals[id]
}

// check checks what the caller of a request received whose arrivals at the given number of endpoints had faults.
func (s *cutFixture) check(t *testing.T, id string, got callerResponse, arrivals []cutArrival, faults int) {
	t.Helper()
	success := got.err == nil && got.status >= 200 && got.status < 300
	whole := s.route.whole(id)
	fail := func(why string) {
		t.Errorf("%s: %s: status %d, body %q, error %v, arrivals %+v\n%s", id, why, got.status, got.body, got.err, arrivals, s.logOf(id))
	}
	switch {
	case success && got.body != whole:
		fail("a success that is not whole")
	case !s.route.repeatable && len(arrivals) != 1:
		fail("does not run once")
	case !s.route.repeatable && success, faults >= s.maxAttempts && success:
		fail("a success without a whole response")
	case s.route.repeatable && faults < s.maxAttempts && (!success || len(arrivals) != faults+1):
		fail("is not answered by another endpoint")
	case s.route.events > 0 && got.status == http.StatusOK && !strings.HasPrefix(whole, got.body):
		fail("events are missing")
	case got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusInternalServerError && !success:
		fail("the failure has another status")
	}
}

// each runs a function for all elements, some at a time, and waits for their end.
func each[T any](list []T, do func(T)) {
	var running sync.WaitGroup
	free := make(chan struct{}, 96)
	for _, element := range list {
		free <- struct{}{}
		running.Go(func() {
			defer func() { <-free }()
			do(element)
		})
	}
	running.Wait()
}

// cuts returns the cuts that a route's responses can have, ended in both ways, at once and, for cuts of heads, behind a wait.
func (r *cutRoute) cuts() []standin.Cut {
	var list []standin.Cut
	for _, reset := range []bool{false, true} {
		for _, wait := range []standin.CutWait{"", standin.WaitFirst, standin.WaitLast} {
			places := standin.CutHeads
			if wait == "" && r.method != http.MethodHead {
				places = slices.Concat(places, standin.CutBodies)
			}
			for _, c := range places {
				c.Reset, c.Wait = reset, wait
				list = append(list, c)
			}
		}
	}
	return list
}

// Guards against passing on as whole a response that its endpoint has cut in the head or after it, and against repeating
// what may run once.
func TestACutResponseIsNotPassedOnAsWhole(t *testing.T) {
	before := map[string]standin.Fault{"first": "", "after a failure": standin.FaultError, "after events": standin.FaultTruncated}
	for _, route := range cutRoutes {
		for position, earlier := range before {
			if position != "first" && (!route.repeatable || route.method == http.MethodHead) || earlier == standin.FaultTruncated && route.events == 0 {
				continue // the request ends there, or it is as for another method
			}
			for _, left := range []int{0, 1} {
				for _, kept := range []bool{false, true} {
					name := fmt.Sprintf("%s %s/%d attempts left/kept %t", route.name, position, left, kept)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						var lists [][]standin.Fault
						for _, c := range route.cuts() {
							faults := []standin.Fault{earlier, c.Fault()}
							if earlier == "" {
								faults = faults[1:]
							}
							lists = append(lists, faults)
						}
						s := newCutFixture(t, &route, len(lists[0])+left, !kept)
						s.play(t, lists, kept)
					})
				}
			}
		}
	}
}

// maxRounds is how often requests are sent until the connections of their last faults are the wanted ones.
const maxRounds = 100

// maxBatch is how many requests are sent at once. Probes leave new connections, which are used first.
const maxBatch = 32

// play sends a request for each list of faults, and checks what all callers received, until the last fault of each list
// came on a connection that was kept, or on one that was not.
func (s *cutFixture) play(t *testing.T, pending [][]standin.Fault, kept bool) {
	for round := 0; len(pending) > 0 && !t.Failed(); round++ {
		if round == maxRounds {
			t.Fatalf("no connection was kept: %t, faults %v", kept, pending)
		}
		batch := pending
		if kept { // leave connections to the endpoints of all attempts
			batch = pending[:min(len(pending), maxBatch)]
			each(slices.Repeat(pending, 2), func(faults []standin.Fault) {
				s.send(slices.Repeat([]standin.Fault{standin.FaultError}, len(faults)-1)...)
			})
		}
		var mu sync.Mutex
		next := slices.Clone(pending[len(batch):])
		each(batch, func(faults []standin.Fault) {
			id, got, arrivals := s.send(faults...)
			s.check(t, id, got, arrivals, len(faults))
			if n := len(faults) - 1; len(arrivals) <= n || arrivals[n].kept != kept {
				mu.Lock()
				defer mu.Unlock()
				next = append(next, faults)
			}
		})
		pending = next
	}
	if n := s.sumMetric("aspenyard_gateway_endless_responses_total"); n > 0 {
		t.Errorf("%v responses that were cut count as responses without end", n)
	}
}

// Guards against a refusal that is cut: in the head it does not say that the request has not run; a whole head does, and
// the request may run elsewhere, whatever its kind.
func TestARefusalThatIsCutSaysWhatItsHeadSays(t *testing.T) {
	heads := []standin.CutPlace{standin.CutAtStart, standin.CutInStatusCode, standin.CutAfterStatusLine, standin.CutInHeaderName, standin.CutInHeaderValue, standin.CutAfterHeaders, standin.CutAfterHeadersCR}
	bodies := []standin.CutPlace{standin.CutAfterHead, standin.CutBeforeLastByte}
	for _, route := range cutRoutes[:4] {
		t.Run(route.name, func(t *testing.T) {
			t.Parallel()
			s := newCutFixture(t, &route, 2, false)
			for _, place := range slices.Concat(heads, bodies) {
				for _, reset := range []bool{false, true} {
					c := standin.Cut{Form: standin.CutFormRefusal, Place: place, Reset: reset}
					id, got, arrivals := s.send(c.Fault())
					answered := got.err == nil && got.status == http.StatusOK && got.body == route.whole(id) && len(arrivals) == 2
					failed := got.err == nil && got.status == http.StatusBadGateway && len(arrivals) == 1
					said := slices.Contains(bodies, place)
					lost := said && reset && failed // the reset has overtaken the head
					if wanted := route.repeatable || said; wanted && !answered && !lost || !wanted && !failed {
						t.Errorf("%s %s: status %d, body %q, error %v, arrivals %+v", id, c, got.status, got.body, got.err, arrivals)
					}
				}
			}
		})
	}
}

// Guards against passing on a cut response as whole, or sending its request again, while a long request is still written,
// also to an endpoint that does not read it.
func TestACutResponseToALongRequestIsNotPassedOnAsWhole(t *testing.T) {
	for _, route := range cutRoutes[:4] {
		for _, left := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/%d attempts left", route.name, left), func(t *testing.T) {
				t.Parallel()
				s := newCutFixture(t, &route, 1+left, false)
				s.bodyBytes = 90_000
				var cuts []standin.Cut
				for _, early := range []bool{false, true} {
					for _, c := range route.cuts() {
						if c.Early = early; c.Wait == "" {
							cuts = append(cuts, c)
						}
					}
				}
				each(cuts, func(c standin.Cut) {
					id, got, arrivals := s.send(c.Fault())
					s.check(t, id, got, arrivals, 1)
				})
			})
		}
	}
}

// Guards against a place in a response, of any framing, at which a cut makes it look whole.
func TestAResponseCutAtAnyByteIsNotWhole(t *testing.T) {
	forms := []standin.CutForm{standin.CutFormLength, standin.CutFormChunks, standin.CutFormTrailer, standin.CutFormInterim, standin.CutFormNoContent, standin.CutFormNotModified}
	for _, route := range cutRoutes {
		if route.repeatable || route.method == http.MethodHead {
			continue // the first attempt's response is read in the same way
		}
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset %t", route.name, reset), func(t *testing.T) {
				t.Parallel()
				s := newCutFixture(t, &route, 1, false)
				var cuts []standin.Cut
				for _, form := range forms {
					for at := range route.maxCutBytes() {
						cuts = append(cuts, standin.Cut{Form: form, At: at, Reset: reset})
					}
				}
				each(cuts, func(c standin.Cut) { s.checkForm(t, c) })
			})
		}
	}
}

// maxCutBytes returns more than the bytes of any response of the route. One that is cut behind its end is whole.
func (r *cutRoute) maxCutBytes() int { return 350 + 50*r.events }

// checkForm sends a request whose response is cut, and checks that the caller receives a response only if it is whole.
func (s *cutFixture) checkForm(t *testing.T, c standin.Cut) {
	t.Helper()
	id, got, _ := s.send(c.Fault())
	wanted := callerResponse{status: http.StatusOK, body: s.route.whole(id)}
	switch c.Form {
	case standin.CutFormNoContent:
		wanted = callerResponse{status: http.StatusNoContent}
	case standin.CutFormNotModified:
		wanted = callerResponse{status: http.StatusNotModified}
	}
	broken := got.err != nil || got.status == http.StatusBadGateway
	if whole := got.status == wanted.status && got.body == wanted.body; !broken && !whole || broken && !c.Reset && c.At == s.route.maxCutBytes()-1 {
		t.Errorf("%s %s: status %d, body %q, error %v", id, c, got.status, got.body, got.err)
	}
}

// Guards against a prompt that is sent with memory of a helper whose response to the order was cut: it may not have set
// the memory aside, or have ended.
func TestAnOrderWhoseResponseIsCutGrantsNothing(t *testing.T) {
	for _, c := range slices.Concat(standin.CutHeads, standin.CutBodies) {
		for _, reset := range []bool{false, true} {
			c.Reset = reset
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newEngineFixture(t, 17)
				s.extraSettings = `,"memory_free_within":"60s"` // reservations do not expire meanwhile
				s.routes[len(s.routes)-1]["target_latency_ms"] = 20_000
				cutting := s.workers[:4]
				for _, w := range cutting {
					w.OrderFault = c.Fault()
				}
				s.start()
				orders, granted := 0, ""
				for i := 0; orders == 0; i++ {
					id := fmt.Sprint("q", i)
					is.Equal(s.sendPrompt(id, 500_000).body, standin.StreamText(id, 5))
					granted += fmt.Sprint(s.findRun(id).ReservationIDs())
					for _, w := range cutting {
						_, _, n := w.Reservations()
						orders += n
					}
				}
				for _, w := range cutting {
					is.True(!strings.Contains(granted, "-"+w.ID))
				}
				s.waitFor("all reservations are released by orders", func() bool { return s.unreleasedCount() == 0 })
			})
		}
	}
}
