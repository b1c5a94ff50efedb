package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/gateway/response"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// Guards against a failure's body after events where the engines have no capacity, or by any other way of writing it.
func TestAFailedResponseIsNotWrittenOnceAResponseHasBegun(t *testing.T) {
	ends := map[string]func(f *forwarding) *result.Error{
		"no capacity": func(f *forwarding) *result.Error { return f.refuseCapacity(&direct.Plan{}) },
		"passed on":   func(f *forwarding) *result.Error { return f.finalError(attempt.PassOn, errNotExecuted) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newEvacuationFixture(is, &recordingSource{}, nothing, nothing)
			recorder := httptest.NewRecorder()
			c := &call{gateway: g.Gateway, service: &directory.Service{Name: "s"}, route: &directory.Route{}, response: response.New(recorder)}
			c.log = g.requestLogs.Begin("q")
			f := &forwarding{call: c, failedResponse: &bufferedResponse{status: http.StatusInternalServerError, header: http.Header{}, body: [][]byte{[]byte("failed")}}}
			is.NoErr(c.response.Begin(http.StatusOK, nil))
			_, err := c.response.Write([]byte("event"))
			is.NoErr(err)
			failure := end(f)
			is.True(failure != nil)
			is.Equal(failure.Ran, result.RanUnknown)
			is.Equal(recorder.Body.String(), "event")
		})
	}
}
