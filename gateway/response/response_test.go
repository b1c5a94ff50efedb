package response_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"aspenyard.example/gateway/response"
)

// Guards against a second head, bytes before a head or after the end, and an end of nothing: in each state.
func TestAWriterAllowsOnlyWhatItsStateAllows(t *testing.T) {
	calls := map[string]func(w *response.Writer) error{
		"head":  func(w *response.Writer) error { return w.Begin(http.StatusOK, nil) },
		"bytes": func(w *response.Writer) error { _, err := w.Write([]byte("x")); return err },
		"end":   func(w *response.Writer) error { return w.Complete() },
		"whole": func(w *response.Writer) error {
			return w.WriteWhole(http.StatusBadGateway, http.Header{"Retry-After": {"1"}}, "failed")
		},
	}
	allowed := map[response.State][]string{response.Unsent: {"head", "whole"}, response.Begun: {"bytes", "end"}, response.Complete: nil}
	for state, names := range allowed {
		for name, call := range calls {
			t.Run(state.String()+" "+name, func(t *testing.T) {
				is := is.New(t)
				recorder := httptest.NewRecorder()
				w := response.New(recorder)
				if state >= response.Begun {
					is.NoErr(w.Begin(http.StatusOK, nil))
				}
				if state == response.Complete {
					is.NoErr(w.Complete())
				}
				err := call(w)
				for _, n := range names {
					if n == name {
						is.NoErr(err)
						return
					}
				}
				is.True(errors.Is(err, response.ErrOrder))
				is.Equal(w.State(), state)
				is.Equal(recorder.Body.Len(), 0)
				is.Equal(recorder.Header().Get("Retry-After"), "")
			})
		}
	}
}

// Guards against a stream that begins just as a stop gives it up, so that its caller gets a part in place of a whole failure.
func TestAWithdrawnStreamDoesNotBegin(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	w := response.New(recorder)
	is.True(w.Withdraw())
	is.True(errors.Is(w.BeginStream(http.StatusOK, nil), response.ErrWithdrawn))
	is.NoErr(w.WriteWhole(http.StatusBadGateway, nil, "failed"))
	is.Equal(recorder.Code, http.StatusBadGateway)
	is.True(!w.Withdraw())
	begun := response.New(httptest.NewRecorder())
	is.NoErr(begun.BeginStream(http.StatusOK, nil))
	is.True(!begun.Withdraw())
}
