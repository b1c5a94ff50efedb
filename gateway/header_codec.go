package gateway

import (
	"net/http"
	"time"
)

// Request holds the values of a caller's request headers.
type Request struct {
	// ID identifies the request. Callers use a new ID for each attempt of theirs.
	ID string
	// Key is the caller's bearer key; empty if there is none.
	Key string
	// Deadline is how long the caller waits for the response; 0 if the caller does not say.
	Deadline time.Duration
	// LastEventID is the ID of the last event of a stream that the caller has received; empty if
	// no stream is resumed.
	LastEventID string
	// PromptTokens is the length of the prompt and OutputTokens the limit of the output, in tokens.
	// ExpectedOutput is the caller's estimate of the output. 0 if the caller does not say.
	PromptTokens, OutputTokens, ExpectedOutput int
	// SharedParts are the parts of the prompt, in order, that other prompts may share. The last part of
	// a prompt belongs to the request or its session alone and is left out.
	SharedParts []PromptPart
}

// PromptPart names a part of a prompt, in hexadecimal lower case without leading zeros.
type PromptPart string

// Dispatch holds the values that the gateway adds to a request for an endpoint.
type Dispatch struct {
	// EndpointID is the ID of the intended endpoint; an endpoint with another ID refuses the
	// request. It does not distinguish incarnations: whichever has the ID runs the request.
	EndpointID string
	// Account is the name of the client account; empty if the route needs no key.
	Account string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority is the request's priority at an engine, from 0 (highest) to 9. It is valid if
	// HasPriority is set.
	Priority    int
	HasPriority bool
	// Helpers are the engines that prefill parts of the prompt. Each is an address, followed by a
	// slash and the reservation's ID if KV cache is reserved there.
	Helpers []string
	// LastEventID is the event after which a stream is to be resumed; if empty, the caller's own
	// value is kept.
	LastEventID string
}

// Response holds the values of an endpoint's response headers.
type Response struct {
	// ID is the request's ID as the endpoint echoes it.
	ID string
	// Signed is set when the response carries the endpoint's signature.
	Signed bool
	// NotExecuted is set when the endpoint states that it did not run the request.
	NotExecuted bool
	// FaultyAddr is the address of the endpoint that kept the request from running; empty if the
	// response does not name one.
	FaultyAddr string
	Statements
}

// HeaderCodec translates between the headers of the platform and the values that the gateway uses.
type HeaderCodec interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(h http.Header) Request
	// Forward replaces in a copy of a caller's headers those that an endpoint must get from the
	// gateway.
	Forward(h http.Header, d *Dispatch)
	// ReadResponse reads the status and headers of an endpoint's response.
	ReadResponse(status int, h http.Header) Response
}
