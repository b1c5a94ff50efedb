package gateway

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
)

// Statements are what a process states in a response about itself, not about the request.
type Statements struct {
	// Instance is the ID by which the process names itself; empty if it does not.
	Instance string
	// Running and Waiting are the numbers of requests at the endpoint. They are valid if HasLoad
	// is set.
	Running, Waiting int
	HasLoad          bool
	// Limit is how many requests per second the endpoint takes from all callers together.
	Limit Stated[float64]
	// Leaving is set if the endpoint is about to stop and takes no further requests.
	Leaving Stated[bool]
	// Backoff is the time for which an endpoint that refused a request wants none from this entry.
	Backoff Stated[time.Duration]
	// Cold is the time for which the endpoint still warms up.
	Cold Stated[time.Duration]
}

// Stated is a value that a response may state.
type Stated[T any] struct {
	Kind StatementKind
	// Value is valid for ValidStatement.
	Value T
	// Header is the header's name and Text its value, as received.
	Header, Text string
}

// StatementKind tells whether a response makes a statement.
type StatementKind uint8

// The kinds. The zero value is a response that does not make the statement.
const (
	NotStated StatementKind = iota
	ValidStatement
	// InvalidStatement cannot be parsed, or the response has two different values.
	InvalidStatement
)

// Names of statements in logs and metrics.
const (
	statementLeaving = "leaving"
	statementBackoff = "backoff"
	statementCold    = "cold"
)

// CallResponse is the head of a response to a call that is not a caller's request: an order or a
// query.
type CallResponse struct {
	// EndpointID is the ID of the endpoint that was called.
	EndpointID string
	Status     int
	Statements
}

// StatementSource is a client of endpoints that reads what they state in responses to its calls.
type StatementSource interface {
	// ObserveResponses sets the function that is told of each response. It must be called before
	// the first call to an endpoint.
	ObserveResponses(observe func(r *CallResponse))
}

// observeCallResponse applies what the response to an order or a query states. The limit counts
// requests: its absence there does not end it.
func (g *Gateway) observeCallResponse(r *CallResponse) {
	target := g.snapshot.Load().Present(r.EndpointID)
	if target == nil {
		return
	}
	if e := g.responder(target, r.Status, r.Instance); e != nil {
		g.observeAvailability(e, &r.Statements)
		g.observeCold(e, time.Time{}, r.Cold)
	}
}

// responder returns the endpoint that a response is from; nil if it is not listed. target is the
// endpoint to which the request was sent. A response with status 421 may come from another instance
// at its address, which may name itself.
func (g *Gateway) responder(target *directory.EndpointState, status int, instance string) *directory.EndpointState {
	if instance == target.ID || instance == "" && status != http.StatusMisdirectedRequest {
		return target
	}
	if e := g.snapshot.Load().Present(instance); e != nil && e.Addr == target.Addr {
		return e
	}
	return nil
}

// observeResponse applies what the response to a request, which was sent at sentAt, states about
// its endpoint.
func (g *Gateway) observeResponse(r *endpointResponse, sentAt time.Time) {
	if e := g.responder(r.endpoint, r.status, r.parsed.Instance); e != nil {
		g.observeStatements(e, sentAt, &r.parsed.Statements)
	}
}

// observeStatements applies what an endpoint states about itself in the response to a request that
// was sent at sentAt.
func (g *Gateway) observeStatements(e *directory.EndpointState, sentAt time.Time, s *Statements) {
	if s.HasLoad {
		g.loadTracker.RecordLoadReport(time.Now(), e.Incarnation, s.Running, s.Waiting)
	}
	g.observeLimit(e, sentAt, s.Limit)
	g.observeCold(e, sentAt, s.Cold)
	g.observeAvailability(e, s)
}

// observeAvailability applies what an endpoint states about whether it takes requests.
func (g *Gateway) observeAvailability(e *directory.EndpointState, s *Statements) {
	if acceptStatement(g, e, statementLeaving, s.Leaving) && s.Leaving.Value {
		g.observeLeaving(e, s.Leaving.Header)
	}
	if acceptStatement(g, e, statementBackoff, s.Backoff) && s.Backoff.Value > 0 {
		g.loadTracker.Backoffs().Observe(time.Now(), e, s.Backoff.Value)
		g.log.Info("endpoint_backoff", zap.String("endpoint", e.ID), zap.Duration("backoff_ms", s.Backoff.Value), zap.String("value", s.Backoff.Text))
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_backoffs_total{service=%q}`, e.Service)).Inc()
	}
}

// acceptStatement reports whether a response makes a valid statement. An invalid one is logged and
// counted, and what was known before stays in force.
func acceptStatement[T any](g *Gateway, e *directory.EndpointState, name string, s Stated[T]) bool {
	if s.Kind == InvalidStatement {
		g.log.Error("endpoint_statement_refused", zap.String("endpoint", e.ID), zap.String("statement", name), zap.String("header", s.Header), zap.String("value", s.Text))
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_invalid_statements_total{statement=%q}`, name)).Inc()
	}
	return s.Kind == ValidStatement
}
