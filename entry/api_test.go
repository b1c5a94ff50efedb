package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/result"
	"aspenyard.example/settings"
)

// newTestEntry is an entry with an empty catalogue that does not serve.
func newTestEntry(tb testing.TB) *Entry {
	tb.Helper()
	s := settings.Entry{
		Node:          settings.Node{Name: "n1", DataCentre: "dc1", Listen: "127.0.0.1:1", OperatorsListen: "127.0.0.1:2", Platform: "127.0.0.1:3"},
		CallersListen: "127.0.0.1:4",
	}
	if err := s.Check().Err(); err != nil {
		tb.Fatal(err)
	}
	e, err := New(s, zap.NewNop())
	if err != nil {
		tb.Fatal(err)
	}
	for number := range catalogue.PageCount {
		e.catalogue.ApplyStoredPage(number, catalogue.Page{})
	}
	return e
}

// FuzzCallers sends arbitrary bodies and headers to the paths of the callers' API. Each
// response must carry a known result code and state that nothing ran.
func FuzzCallers(f *testing.F) {
	f.Add("/v1/completions", `{"model":"line-plan","prompt":"tie","max_tokens":4}`, "a.b", "30s", "key")
	f.Add("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`, "", "-1s", "")
	f.Add("/v1/services/excuse-filing", `{`, "a", "x", "k")
	e := newTestEntry(f)
	handler := e.callersHandler()
	f.Fuzz(func(t *testing.T, path, body, key, deadline, idempotency string) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \t\r\n%?#\x00") {
			path = "/v1/completions"
		}
		request, err := http.NewRequest(http.MethodPost, "http://entry"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set(headerDeadline, deadline)
		request.Header.Set(headerIdempotencyKey, idempotency)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code == http.StatusNotFound || recorder.Code == http.StatusMethodNotAllowed || recorder.Code == http.StatusMovedPermanently || recorder.Code == http.StatusTemporaryRedirect {
			return // not a path of the API
		}
		code, err := strconv.Atoi(recorder.Header().Get(headerResultCode))
		if err != nil || result.Lookup(result.Code(code)).Code != result.Code(code) || recorder.Header().Get(headerRan) != string(result.RanNo) {
			t.Fatalf("%s: status %d, headers %v", path, recorder.Code, recorder.Header())
		}
	})
}
