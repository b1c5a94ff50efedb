package platform

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Host and APIKey are those of the configuration that SmallConfig gives.
const (
	Host   = "front.example"
	APIKey = "key-1"
)

// Headers that callers send and get.
const (
	headerAttemptID = "X-Aspenyard-Attempt-Id"
	headerDeadline  = "X-Aspenyard-Deadline-Ms"
	headerTokens    = "X-Aspenyard-Token-Usage"
	headerModel     = "X-Aspenyard-Model"
	headerStamp     = "X-Aspenyard-Server-Stamp"
	headerTenant    = "X-Aspenyard-Tenant"
	headerHelpers   = "X-Aspenyard-Helpers"
	headerInstance  = "X-Aspenyard-Expect-Instance"
)

// CallHeaders is what a caller says of a request besides its path and body.
type CallHeaders struct {
	ID, APIKey string
	Deadline   time.Duration
	// PromptTokens and OutputTokens are given where PromptTokens is not 0.
	PromptTokens, OutputTokens int
}

// SetHeaders writes the caller's headers.
func (c *CallHeaders) SetHeaders(h http.Header) {
	h.Set(headerAttemptID, c.ID)
	h.Set(headerDeadline, fmt.Sprint(c.Deadline.Milliseconds()))
	h.Set("Authorization", "Bearer "+c.APIKey)
	if c.PromptTokens > 0 {
		h.Set(headerModel, "m")
		h.Set(headerTokens, fmt.Sprintf("%d,%d", c.PromptTokens, c.OutputTokens))
	}
}

// SetForgedHeaders adds words that only the system may say, as a caller might try.
func SetForgedHeaders(h http.Header) {
	h.Set(headerTenant, "forged")
	h.Set(headerHelpers, "127.0.0.1:1")
}

// ParseResponseHeaders reads which request an answer is to, and whether a worker signed it.
func ParseResponseHeaders(h http.Header) (id string, stamped bool) {
	return h.Get(headerAttemptID), h.Get(headerStamp) != ""
}

// Times and sizes of the small configuration's request.
const (
	callDeadline     = 15 * time.Second
	callPromptTokens = 1000
	callOutputTokens = 400
)

// CallerRequest is a caller's request to a gateway at addr.
func CallerRequest(addr, id, body string) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/model/a", strings.NewReader(body))
	r.Host = Host
	call := CallHeaders{ID: id, APIKey: APIKey, Deadline: callDeadline, PromptTokens: callPromptTokens, OutputTokens: callOutputTokens}
	call.SetHeaders(r.Header)
	return r
}

// DirectRequest is the same request as a worker gets it.
func DirectRequest(w *Worker, id, body string) *http.Request {
	r := CallerRequest(w.Addr(), id, body)
	r.Header.Del("Authorization")
	r.Header.Set(headerInstance, w.ID)
	r.Header.Set(headerTenant, "acme")
	return r
}
