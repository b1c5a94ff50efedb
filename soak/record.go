package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/standin/platform"
)

// Route is what callers ask for.
type Route struct {
	Name      string
	Kind      directory.RouteKind
	Resumable bool
	// Service serves it; the moved route's is in the edits.
	Service string
	// Events is how many events an answer has; 0: it is plain.
	Events      int
	Timeout     time.Duration
	MaxAttempts int
	// Optional routes are not in every configuration.
	Optional bool
	// PromptTokens is the length of the prompts.
	PromptTokens int
}

// Repeatable tells whether a request may run a second time after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == directory.Idempotent || r.Kind == directory.Streaming && r.Resumable
}

// Request is one request of a caller and what came of it.
type Request struct {
	ID    string
	Route *Route
	// Gateway names the process, Life which of its lives the request was sent to.
	Gateway     string
	Incarnation int
	// RequestURI, Body, APIKey and Deadline are what was sent.
	RequestURI, Body, APIKey string
	Deadline                 time.Duration
	SentAt                   time.Time
	// EndedAt is when the answer was whole, the connection broke or the caller left.
	EndedAt time.Time
	// Cancelled is set when the caller gave up.
	Cancelled bool
	// Status is that of the answer, 0 for none; Whole is set when it came to its end.
	Status         int
	Complete       bool
	ResponseBody   string
	HasServerStamp bool
	EchoedID       string
	// ExpectedStatus is the status that an improper request must get; 0: it is proper.
	ExpectedStatus int
}

// expectedBody is the whole answer.
func (req *Request) expectedBody() string {
	if req.Route.Events > 0 {
		return platform.StreamText(req.ID, req.Route.Events)
	}
	return platform.PlainResponse(req.ID)
}

func (req *Request) succeeded() bool { return req.Complete && req.Status == http.StatusOK }

func (req *Request) statusLabel() string {
	if !req.Complete {
		return "none"
	}
	return strconv.Itoa(req.Status)
}

// saysNotRun tells whether the answer says that the request has not run.
func (req *Request) saysNotRun() bool {
	switch req.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return req.Complete
	}
	return false
}

// Arrival is one request as an endpoint had it, whether or not it ran it.
type Arrival struct {
	platform.Run
	Endpoint, Service string
}

// Disturbance is a time in which something was made to go wrong.
type Disturbance struct {
	Kind string
	// Gateway or Endpoint says whose; both empty: the store's.
	Gateway, Endpoint string
	// Planned work must not be noticed by callers.
	Planned  bool
	From, To time.Time
}

// ConfigEdit is one version of the configuration.
type ConfigEdit struct {
	// WrittenAt is when it was written, AckedAt when the store had it.
	WrittenAt, AckedAt time.Time
	// MovedService is the service of the route that moves; Extra and Guest tell whether the
	// passing route and the passing key are in it.
	MovedService               string
	HasExtraRoute, HasGuestKey bool
}

// Departure is an endpoint's word that it leaves.
type Departure struct {
	Endpoint string
	AckedAt  time.Time
}

// Reservation is a reservation that was seen at an endpoint.
type Reservation struct {
	Endpoint, ID        string
	FirstSeen, LastSeen time.Time
}

// Violation is a broken promise.
type Violation struct {
	// Rule is its name in the users' pages.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Record is all that a run has shown. Its lists are complete when the run is over.
type Record struct {
	mu           sync.Mutex
	Requests     []*Request
	Arrivals     []Arrival
	Disturbances []*Disturbance
	Edits        []ConfigEdit
	Departures   []Departure
	Reservations map[string]*Reservation
	violations   []Violation
}

// NewRecord makes an empty record.
func NewRecord() *Record { return &Record{Reservations: map[string]*Reservation{}} }

func (r *Record) addRequest(req *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests = append(r.Requests, req)
}

// beginDisturbance notes the beginning of a disturbance; the function that it returns ends it.
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

func (r *Record) addViolation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// servedSince tells whether a request sent after a time was served.
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

func (r *Record) observeReservation(endpoint, ticket string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := endpoint + "/" + ticket
	if known := r.Reservations[name]; known != nil {
		known.LastSeen = now
		return
	}
	r.Reservations[name] = &Reservation{endpoint, ticket, now, now}
}

// calmTime is how long without disturbance counts as calm (the users' contact_ms).
const calmTime = 3 * time.Second

// undisturbed tells whether a gateway had no unplanned disturbance between two times nor in
// contact before them. Disturbances of the store count where store is set.
func (r *Record) undisturbed(gateway string, from, to time.Time, store bool) bool {
	for _, d := range r.Disturbances {
		concerns := d.Gateway == gateway || store && d.Gateway == "" && d.Endpoint == ""
		if concerns && !d.Planned && d.overlaps(from.Add(-calmTime), to) {
			return false
		}
	}
	return true
}

// endpointUndisturbed tells whether an endpoint was not disturbed in a run, nor shortly before.
func (r *Record) endpointUndisturbed(run *Arrival) bool {
	if run.Fault != "" {
		return false
	}
	for _, d := range r.Disturbances {
		if d.Endpoint == run.Endpoint && d.overlaps(run.ArrivedAt.Add(-calmTime), runEnd(run)) {
			return false
		}
	}
	return true
}

func (d *Disturbance) overlaps(from, to time.Time) bool {
	return d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
}

// runEnd is when a run ended; far away while it goes on.
func runEnd(run *Arrival) time.Time {
	if run.EndedAt.IsZero() {
		return run.ArrivedAt.Add(time.Hour)
	}
	return run.EndedAt
}
