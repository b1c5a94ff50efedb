package gateway

import (
	"net/http"
	"time"
)

// Request is what a caller's headers say.
type Request struct {
	// ID names this attempt of the caller; each has its own.
	ID string
	// Key is the bearer key; empty for none.
	Key string
	// Deadline is how long the caller waits; 0: not said.
	Deadline time.Duration
	// LastEventID is the last event of a stream that the caller has; empty for none.
	LastEventID string
	// PromptTokens and OutputTokens are the prompt's length and the bound on the
	// answer's; ExpectedOutput is the caller's estimate of it. 0: not said.
	PromptTokens, OutputTokens, ExpectedOutput int
}

// Dispatch is what an endpoint is told besides the caller's request.
type Dispatch struct {
	// EndpointID names the endpoint that is meant; one with another ID refuses. It does not
	// tell lives apart: whichever has the ID runs the request.
	EndpointID string
	// Account names the client account; empty where no key was needed.
	Account string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Priority is the engine's, from 0 (first) to 9, where HasPriority is set.
	Priority    int
	HasPriority bool
	// Helpers are the engines that prefill parts of the prompt: an address, with a
	// reservation's name behind a slash where memory is reserved there.
	Helpers []string
	// LastEventID is the event after which a stream goes on; empty: as the caller said.
	LastEventID string
}

// Response is what an endpoint's headers say.
type Response struct {
	// ID echoes the request's.
	ID string
	// Signed is set when the endpoint vouches for the answer.
	Signed bool
	// NotExecuted is the endpoint's word that the request did not run.
	NotExecuted bool
	// FaultyAddr names the endpoint because of which it did not run, where that is told.
	FaultyAddr string
	// Running and Waiting are the endpoint's requests, where HasLoad is set.
	Running, Waiting int
	HasLoad          bool
}

// Dialect reads and writes the headers of callers and endpoints.
type Dialect interface {
	// ReadRequest reads a caller's headers.
	ReadRequest(h http.Header) Request
	// Forward turns a caller's headers into those for an endpoint.
	Forward(h http.Header, d *Dispatch)
	// ReadResponse reads the head of an endpoint's answer.
	ReadResponse(status int, h http.Header) Response
}
