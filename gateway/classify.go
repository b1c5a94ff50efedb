package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"aspenyard.example/attempt"
)

// Errors of responses that are rejected by their head.
var (
	errNotExecuted        = errors.New("endpoint did not run the request")
	errUnsigned           = errors.New("success response without the endpoint's signature")
	errContentEncoding    = errors.New("response has a Content-Encoding that was not requested")
	errUnconfirmedRefusal = errors.New("refusal does not say that the request was not executed")
)

// classify decides by a response's head whether it is relayed to the caller. If not, it returns an
// error and the attempt's outcome.
func classify(r *endpointResponse) (attempt.SendOutcome, error) {
	switch {
	case r.parsed.NotExecuted:
		return attempt.NotExecuted, errors.Wrapf(errNotExecuted, "status %d, faulty endpoint %q", r.status, r.parsed.FaultyAddr)
	case r.status >= 200 && r.status < 300 && !r.parsed.Signed:
		return attempt.Broken, errUnsigned
	case r.header.Get("Content-Encoding") != "":
		return attempt.Broken, errContentEncoding
	case impliesNotExecuted(r.status):
		return attempt.Broken, errors.Wrapf(errUnconfirmedRefusal, "status %d", r.status)
	}
	return 0, nil
}

// impliesNotExecuted reports whether callers take a status to mean that the request has not run
// and will not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
