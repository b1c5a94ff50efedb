package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/standin/platform"
)

// Route is a configured route that callers send requests to.
type Route struct {
	Name      string
	Kind      directory.RouteKind
	Resumable bool
	// Service is the service of the route. It is empty for the route "moved", whose service
	// depends on the edit (ConfigEdit.MovedService).
	Service string
	// Events is the number of events of a response; 0 means a response that is not a stream.
	Events      int
	Timeout     time.Duration
	MaxAttempts int
	// Optional routes are missing from some configurations.
	Optional bool
	// PromptTokens is the length of the prompts.
	PromptTokens int
}

// Repeatable reports whether a request may run again although it may have run before.
func (r *Route) Repeatable() bool {
	return r.Kind == directory.Idempotent || r.Kind == directory.Streaming && r.Resumable
}

// Request is one request of a caller with its result.
type Request struct {
	ID    string
	Route *Route
	// Gateway and Incarnation name the process that the request was sent to.
	Gateway     string
	Incarnation int
	// RequestURI, Body, APIKey and Deadline are what the caller sent.
	RequestURI, Body, APIKey string
	// Parts are the parts of the prompt, entries ID:TOKENS separated by commas.
	Parts    string
	Deadline time.Duration
	SentAt   time.Time
	// EndedAt is when the response was complete, the connection broke or the caller cancelled.
	EndedAt time.Time
	// Cancelled is set if the caller cancelled the request or its deadline passed.
	Cancelled bool
	// Status is the status of the response, 0 without a response. Complete is set if the
	// response was read to its end. HasServerStamp says whether the response headers contain the
	// server stamp of an endpoint; EchoedID is the request ID in them.
	Status       int
	Complete     bool
	ResponseBody string
	// writtenAt is when the last byte of the request was written; nil if that is not known.
	writtenAt      *atomic.Pointer[time.Time]
	HasServerStamp bool
	EchoedID       string
	// Unframed says whether the response has neither a length nor chunks.
	Unframed bool
	// Expected is the body that the endpoint sends; "" means that of the routes' endpoints.
	Expected string
	// HeadAt is when the response's head was read. StatesLimit says whether it states an
	// endpoint's limit.
	HeadAt      time.Time
	StatesLimit bool
	// StatesLeaving says whether the response states that its endpoint leaves.
	StatesLeaving bool
	// ExpectedStatus is the status with which an invalid request must be refused; 0 for a valid
	// request.
	ExpectedStatus int
}

// expectedBody returns the complete response body that the endpoint sends.
func (req *Request) expectedBody() string {
	if req.Expected != "" {
		return req.Expected
	}
	if req.Route.Events > 0 {
		return platform.StreamText(req.ID, req.Route.Events)
	}
	return platform.PlainResponse(req.ID)
}

// succeeded reports whether the request got a complete response with status 200.
func (req *Request) succeeded() bool { return req.Complete && req.Status == http.StatusOK }

// statusLabel returns the status for Report.Statuses.
func (req *Request) statusLabel() string {
	if !req.Complete {
		return "none"
	}
	return strconv.Itoa(req.Status)
}

// saysNotRun reports whether the response says that the request did not run.
func (req *Request) saysNotRun() bool {
	switch req.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return req.Complete
	}
	return false
}

// Arrival is one request that an endpoint received, whether or not the endpoint ran it. Endpoint
// identifies the incarnation of the endpoint.
type Arrival struct {
	platform.Run
	Endpoint, Service, DataCentre string
}

// Disturbance is a period in which a fault or planned work affected a gateway, an endpoint or the
// store.
type Disturbance struct {
	Kind string
	// Gateway or Endpoint names what was affected; if both are empty, it was the store.
	Gateway, Endpoint string
	// Incarnation is that of the gateway, for a stop.
	Incarnation int
	// Planned work, such as a shutdown or a reload, must have no effect on callers.
	Planned bool
	// DelaysOnly is set if requests may be late because of it, but none may be lost.
	DelaysOnly bool
	From, To   time.Time
}

// ConfigEdit is one version of the configuration.
type ConfigEdit struct {
	// WrittenAt is when the write began, AckedAt when the store had applied it.
	WrittenAt, AckedAt time.Time
	// MovedService is the service of the route "moved". HasExtraRoute and HasGuestKey say
	// whether the version has the optional route and the guest key.
	MovedService               string
	HasExtraRoute, HasGuestKey bool
}

// Departure is the announcement of an endpoint that it leaves; the store had it at AckedAt.
type Departure struct {
	Endpoint string
	AckedAt  time.Time
}

// Reservation is a KV-cache reservation that was sampled at an endpoint between FirstSeen and
// LastSeen.
type Reservation struct {
	Endpoint, ID        string
	FirstSeen, LastSeen time.Time
}

// Violation is one violation of a rule.
type Violation struct {
	// Rule is the name of the rule in the users' documents.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Record is everything that was observed in a run. Its lists are complete when the run is over.
type Record struct {
	mu           sync.Mutex
	Requests     []*Request
	Arrivals     []Arrival
	Disturbances []*Disturbance
	Edits        []ConfigEdit
	Departures   []Departure
	Evacuations  []*EvacuationPeriod
	Reservations map[string]*Reservation
	Limits       []LimitPeriod
	// ColdPeriods are the warm-ups of endpoints.
	ColdPeriods []ColdPeriod
	limited     map[string]bool // endpoints that stated a limit
	// StatedDepartures says when endpoints began to state that they leave.
	StatedDepartures map[string]time.Time
	SlowPeriods      []SlowPeriod
	SkewPeriods      []SkewPeriod
	// MaxResident is the largest resident memory of a gateway process, in bytes.
	MaxResident int
	violations  []Violation
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{Reservations: map[string]*Reservation{}, limited: map[string]bool{}, StatedDepartures: map[string]time.Time{}}
}

func (r *Record) addRequest(req *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests = append(r.Requests, req)
}

// beginDisturbance records the start of a disturbance and returns the function that records its
// end. Only the first call of that function has an effect.
func (r *Record) beginDisturbance(d Disturbance) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.From = time.Now()
	r.Disturbances = append(r.Disturbances, &d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if d.To.IsZero() {
			d.To = time.Now()
		}
	}
}

// addViolation records a violation that was noticed during the run.
func (r *Record) addViolation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// servedSince reports whether a request that was sent after since succeeded.
func (r *Record) servedSince(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.Requests) - 1; i >= 0; i-- {
		if req := r.Requests[i]; req.SentAt.After(since) && req.succeeded() {
			return true
		}
	}
	return false
}

// observeReservation records that an endpoint holds a reservation at the time now.
func (r *Record) observeReservation(endpoint, id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := endpoint + "/" + id
	if known := r.Reservations[key]; known != nil {
		known.LastSeen = now
		return
	}
	r.Reservations[key] = &Reservation{endpoint, id, now, now}
}

// calmTime is how long after a disturbance its effects are still excused (contact_ms in the
// users' documents).
const calmTime = 3 * time.Second

// undisturbed reports whether a gateway had no unplanned disturbance between from and to or in
// the calmTime before. With store set, disturbances of the store count as well.
func (r *Record) undisturbed(gateway string, from, to time.Time, store bool) bool {
	for _, d := range r.Disturbances {
		affects := d.Gateway == gateway || store && d.Gateway == "" && d.Endpoint == ""
		if affects && !d.Planned && d.overlaps(from.Add(-calmTime), to) {
			return false
		}
	}
	return true
}

// losesNothing reports whether a gateway had no unplanned disturbance in which requests may be lost, between from and to or
// in the calmTime before.
func (r *Record) losesNothing(gateway string, from, to time.Time) bool {
	return !slices.ContainsFunc(r.Disturbances, func(d *Disturbance) bool {
		return d.Gateway == gateway && !d.Planned && !d.DelaysOnly && d.overlaps(from.Add(-calmTime), to)
	})
}

// endpointUndisturbed reports whether an endpoint handled a run without an injected fault and was
// not disturbed during the run or in the calmTime before it.
func (r *Record) endpointUndisturbed(run *Arrival) bool {
	return run.Fault == "" && r.endpointCalm(run.Endpoint, run.ArrivedAt, runEnd(run))
}

// endpointCalm reports whether an endpoint was not disturbed between from and to or in the calmTime
// before.
func (r *Record) endpointCalm(endpoint string, from, to time.Time) bool {
	for _, d := range r.Disturbances {
		if d.Endpoint == endpoint && d.overlaps(from.Add(-calmTime), to) {
			return false
		}
	}
	return true
}

// overlaps reports whether the disturbance was in effect at some time between from and to.
func (d *Disturbance) overlaps(from, to time.Time) bool {
	return d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
}

// runEnd returns when a run ended, or a time far in the future while it continues.
func runEnd(run *Arrival) time.Time {
	if run.EndedAt.IsZero() {
		return run.ArrivedAt.Add(time.Hour)
	}
	return run.EndedAt
}
