package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/engine"
	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// Guards against recording the beginning of a service's response as the outcome of a call, or the call as one that may
// not have run.
func TestTheOutcomeOfACallWithATooLongResponse(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 1<<20)))
	}))
	t.Cleanup(server.Close)
	a := &Agent{engine: engine.New(server.Listener.Addr().String())}
	end := a.callService(nil, &wire.RunRequest{ServiceKind: "filing", RequestId: "k", RemainingMs: 60_000})
	is.Equal(end.Code, int32(result.ServiceFailed))
	is.Equal(end.Ran, string(result.RanYes))
	is.Equal(len(end.ServiceBody), 0)
}
