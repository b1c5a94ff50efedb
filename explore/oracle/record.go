// Package oracle judges what callers, endpoints and the store saw of gateways by the users' rules. It knows nothing of
// how gateways work: it must not import their packages, nor those of routing and admission.
package oracle

import (
	"fmt"
	"net/http"
	"time"

	"aspenyard.example/explore/plan"
)

// Request is one request as its caller saw it.
type Request struct {
	ID      string
	Route   *plan.Route
	Gateway int
	// URI and Body are what was sent; its first byte was sent at BeganAt, its last one at SentAt.
	URI, Body       string
	BeganAt, SentAt time.Time
	Whole           bool // it was sent completely
	Deadline        time.Duration
	Kept            bool // it was sent on a connection that had carried others
	Large           bool // its response has no text that is compared
	// WantBytes is the size of a large response.
	WantBytes int

	// ReadOnAt is when a caller that pauses went on reading; zero if it did not pause.
	FirstByteAt, ReadOnAt, EndedAt time.Time
	Status                         int
	EchoedID                       string
	Stamped                        bool
	Received                       int
	ResponseBody                   string
	// Complete is set if the response looks whole to its caller; Left if the caller closed the connection.
	Complete, Left bool
	// Malformed is what the caller got that is no response.
	Malformed string
}

// saysNotRun reports whether the response promises that the request has not run.
func (r *Request) saysNotRun() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return r.Complete
	}
	return false
}

func (r *Request) succeeded() bool { return r.Complete && r.Status >= 200 && r.Status < 300 }

// Arrival is a request as an endpoint saw it.
type Arrival struct {
	ID, Endpoint, Service     string
	Method, URI, Body         string
	Account, Authorization    string
	LastEventID, Reservations string
	At, EndedAt               time.Time // EndedAt is zero while it runs
	Ran, BrokeOff             bool
	Status                    int
	Text                      string // the body of a whole response
}

// endedBy returns when the run ended, or the given time if it has not.
func (a *Arrival) endedBy(end time.Time) time.Time {
	if a.EndedAt.IsZero() {
		return end
	}
	return a.EndedAt
}

// Span is a time during which something holds.
type Span struct{ From, To time.Time }

func (s Span) overlaps(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// Gateway is what a supervisor knows of a gateway. Times are zero if it has not happened.
type Gateway struct {
	StartedAt, StoppedAt, EndedAt time.Time
	ReloadedAt                    []time.Time
}

// Record is what was seen in one case.
type Record struct {
	Began, Ended time.Time
	DrainLimit   time.Duration
	Timeout      time.Duration
	MaxAttempts  int
	Requests     []*Request
	Arrivals     []*Arrival
	Gateways     []Gateway
	// LeftAt is when the store acknowledged that an endpoint is leaving or gone, ExitedAt when it exited.
	LeftAt, ExitedAt map[string]time.Time
	// StoreDisturbed are the times in which the store was disturbed.
	StoreDisturbed []Span
	// NoRouteAt and NoKeyAt are when the store acknowledged that a route, or the callers' key, is gone; zero if not.
	NoRouteAt, NoKeyAt time.Time
	NoRoute            string
	// Unreleased are reservations that are held after the end, by endpoint.
	Unreleased map[string]int
	// Late is the longest time by which the machine woke a sleeper late. Rules with a time bound need a punctual one.
	Late time.Duration
}

// Finding is a broken rule.
type Finding struct {
	Rule   string
	Detail string
	// At is when it was seen, as an offset from the start.
	At time.Duration
	// Requests are the IDs of the requests that it is about.
	Requests []string
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", f.Rule, f.At.Seconds(), f.Detail)
}

// IsLate reports whether the machine was too late for the rules with a time bound to be judged.
func IsLate(r *Record) bool { return r.Late > maxLate }
