package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"aspenyard.example/attempt"
)

// Errors of answers whose head is enough to tell that they are of no use.
var (
	errNotExecuted        = errors.New("the endpoint did not run the request")
	errUnsigned           = errors.New("a success without the endpoint's signature")
	errContentEncoding    = errors.New("the body is encoded, which nobody asked for")
	errUnconfirmedRefusal = errors.New("a refusal without the word that the request did not run")
)

// classify tells by an answer's head whether it is one to pass on.
func classify(r *endpointResponse) (attempt.SendOutcome, error) {
	switch {
	case r.parsed.NotExecuted:
		return attempt.NotExecuted, errors.Wrapf(errNotExecuted, "status %d, at fault %q", r.status, r.parsed.FaultyAddr)
	case r.status >= 200 && r.status < 300 && !r.parsed.Signed:
		return attempt.Broken, errUnsigned
	case r.header.Get("Content-Encoding") != "":
		return attempt.Broken, errContentEncoding
	case impliesNotExecuted(r.status):
		return attempt.Broken, errors.Wrapf(errUnconfirmedRefusal, "status %d", r.status)
	}
	return 0, nil
}

// impliesNotExecuted tells whether callers take a status as the word that the request
// has not run and never will.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
