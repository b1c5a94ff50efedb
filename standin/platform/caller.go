package platform

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Host and APIKey are the host name and the API key of the configuration that SmallConfig
// returns.
const (
	Host   = "front.example"
	APIKey = "key-1"
)

// Headers that callers send and receive.
const (
	headerAttemptID = "X-Aspenyard-Attempt-Id"
	headerDeadline  = "X-Aspenyard-Deadline-Ms"
	headerTokens    = "X-Aspenyard-Token-Usage"
	headerModel     = "X-Aspenyard-Model"
	headerParts     = "X-Aspenyard-Prefix-Hash"
	headerStamp     = "X-Aspenyard-Server-Stamp"
	headerTenant    = "X-Aspenyard-Tenant"
	headerHelpers   = "X-Aspenyard-Helpers"
	headerInstance  = "X-Aspenyard-Expect-Instance"
)

// CallHeaders is what a caller sends in the headers of a request.
type CallHeaders struct {
	ID, APIKey string
	Deadline   time.Duration
	// PromptTokens and OutputTokens are sent, with a model name, unless PromptTokens is 0.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt, entries ID:TOKENS separated by commas; "" if the caller does not say.
	Parts string
}

// SetHeaders sets the headers of a caller's request.
func (c *CallHeaders) SetHeaders(h http.Header) {
	h.Set(headerAttemptID, c.ID)
	h.Set(headerDeadline, fmt.Sprint(c.Deadline.Milliseconds()))
	h.Set("Authorization", "Bearer "+c.APIKey)
	if c.PromptTokens > 0 {
		h.Set(headerModel, "m")
		h.Set(headerTokens, fmt.Sprintf("%d,%d", c.PromptTokens, c.OutputTokens))
	}
	if c.Parts != "" {
		h.Set(headerParts, c.Parts)
	}
}

// SetForgedHeaders sets headers that only nodes may set, as a malicious caller could.
func SetForgedHeaders(h http.Header) {
	h.Set(headerTenant, "forged")
	h.Set(headerHelpers, "127.0.0.1:1")
}

// ParseResponseHeaders returns the ID of the request that a response belongs to, and
// whether the response has a worker's server stamp.
func ParseResponseHeaders(h http.Header) (id string, stamped bool) {
	return h.Get(headerAttemptID), h.Get(headerStamp) != ""
}

// Deadline and sizes of the requests that CallerRequest and DirectRequest return.
const (
	callDeadline     = 15 * time.Second
	callPromptTokens = 1000
	callOutputTokens = 400
)

// CallerRequest returns a caller's request to a gateway at addr, for SmallConfig's route.
func CallerRequest(addr, id, body string) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/model/a", strings.NewReader(body))
	r.Host = Host
	call := CallHeaders{ID: id, APIKey: APIKey, Deadline: callDeadline, PromptTokens: callPromptTokens, OutputTokens: callOutputTokens}
	call.SetHeaders(r.Header)
	return r
}

// DirectRequest returns the request of CallerRequest in the form in which a gateway sends
// it to the worker w.
func DirectRequest(w *Worker, id, body string) *http.Request {
	r := CallerRequest(w.Addr(), id, body)
	r.Header.Del("Authorization")
	r.Header.Set(headerInstance, w.ID)
	r.Header.Set(headerTenant, "acme")
	return r
}
