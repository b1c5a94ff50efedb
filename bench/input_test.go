package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

const (
	goodCompletion = `{"model":"line-plan","prompt":"tie a bowline","max_tokens":4}`
	bowline        = `"prompt":"tie a bowline"`
)

// testFleet starts a fleet of one entry, two engines and a plain service.
func testFleet(t *testing.T) *Fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fleet, err := StartFleet(ctx, FleetConfig{Entries: 1, Engines: 2, Services: 1, TimeScale: 20}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return fleet
}

// badInput is a request that must be refused with a result code without being run.
type badInput struct {
	name, path, body string
	header           map[string]string
	code             int
}

// badInputs returns the invalid requests of callers.
func badInputs() []badInput {
	completion := func(name, old, changed string, code int) badInput {
		return badInput{name: name, path: "/v1/completions", body: strings.Replace(goodCompletion, old, changed, 1), code: code}
	}
	header := func(name, key, value string, code int) badInput {
		return badInput{name: name, path: "/v1/completions", body: goodCompletion, header: map[string]string{key: value}, code: code}
	}
	return []badInput{
		completion("not JSON", `{`, `[`, 2001),
		completion("wrong type", `"max_tokens":4`, `"max_tokens":"four"`, 2001),
		completion("unknown model", "line-plan", "fortune-telling", 2008),
		completion("a service's kind", "line-plan", "excuse-filing", 2008),
		completion("no prompt", bowline, `"prompt":""`, 2006),
		completion("prompt of another type", bowline, `"prompt":[1,2]`, 2006),
		completion("no tokens", `"max_tokens":4`, `"max_tokens":0`, 2006),
		completion("negative tokens", `"max_tokens":4`, `"max_tokens":-1`, 2006),
		completion("too many tokens", `"max_tokens":4`, `"max_tokens":2000000`, 2006),
		completion("over-long body", "tie a bowline", strings.Repeat("tie ", 5_000_000), 2005),
		completion("prompt larger than any endpoint's memory", "tie a bowline", strings.Repeat("tie ", 900_000), 2009),
		header("no key", "Authorization", "", 2003),
		header("not a bearer", "Authorization", "Basic abc", 2003),
		header("wrong key", "Authorization", "Bearer demo.wrong", 2004),
		header("key of an unknown account", "Authorization", "Bearer nobody.secret", 2004),
		header("deadline of zero", "X-Request-Deadline", "0s", 2007),
		header("negative deadline", "X-Request-Deadline", "-5s", 2007),
		header("deadline without unit", "X-Request-Deadline", "30", 2007),
		header("deadline too long", "X-Request-Deadline", "100h", 2007),
		header("over-long key", "Idempotency-Key", strings.Repeat("k", 300), 2006),
		{name: "no messages", path: "/v1/chat/completions", body: `{"model":"line-plan","messages":[]}`, code: 2006},
		{name: "message of another type", path: "/v1/chat/completions", body: `{"model":"line-plan","messages":[{"role":"user","content":7}]}`, code: 2006},
		{name: "unknown kind of work", path: "/v1/services/none", body: `{}`, code: 2002},
		{name: "a model's kind", path: "/v1/services/line-plan", body: `{}`, code: 2002},
		{name: "no idempotency key", path: "/v1/services/excuse-filing", body: `{}`, code: 2011},
		{name: "service body not JSON", path: "/v1/services/excuse-filing", body: `{`, header: map[string]string{"Idempotency-Key": "k"}, code: 2001},
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	fleet := testFleet(t)
	for _, c := range badInputs() {
		t.Run(c.name, func(t *testing.T) { checkBadInput(t, fleet, c) })
	}
	checkNothingInFlight(t, fleet)
	// The fleet still serves valid requests.
	is := is.New(t)
	_, err := fleet.Complete(context.Background(), Completion{Kind: "line-plan", Prompt: "tie", MaxTokens: 4, Deadline: time.Minute})
	is.NoErr(err)
}

// checkBadInput sends a request and checks its result code, and that nothing ran.
func checkBadInput(t *testing.T, fleet *Fleet, c badInput) {
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.Callers[0]+c.path, strings.NewReader(c.body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+fleetKey)
	for key, value := range c.header {
		request.Header.Set(key, value)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var body struct {
		Error struct {
			Code      int    `json:"code"`
			Type      string `json:"type"`
			Ran       string `json:"ran"`
			RequestID string `json:"request_id"`
		} `json:"error"`
	}
	is.NoErr(json.Unmarshal(data, &body))
	is.Equal(body.Error.Code, c.code)
	is.Equal(response.Header.Get("X-Result-Code"), strconv.Itoa(c.code))
	is.Equal(body.Error.Ran, "no")
	is.True(body.Error.RequestID != "")
	is.Equal(response.Header.Get("X-Request-Id"), body.Error.RequestID)
}

// checkNothingInFlight checks that no request is in flight at the entry, nothing is queued or running
// at the agents, and no engine holds memory.
func checkNothingInFlight(t *testing.T, fleet *Fleet) {
	is := is.New(t)
	_, err := fleet.AwaitNoHeldTokens(context.Background())
	is.NoErr(err)
	var status struct {
		Active  int `json:"active_requests"`
		Members []struct {
			Running, Queued int
		} `json:"members"`
	}
	is.NoErr(fleet.getJSON(context.Background(), "http://"+fleet.Operators[0]+"/v1/status", &status))
	is.Equal(status.Active, 0)
	for _, m := range status.Members {
		is.Equal(m.Running+m.Queued, 0)
	}
}

func TestInvalidOperatorRequestsAreRefused(t *testing.T) {
	fleet := testFleet(t)
	site := `{"type":"site","id":"port","owner":"demo","site":{"power_cap_watts":1,"data_centres":["d"]}}`
	cases := []struct {
		name, method, path, key, ifMatch, body string
		code                                   int
	}{
		{"no key", "GET", "/v1/status", "", "", "", 2003},
		{"an account's key", "GET", "/v1/status", fleetKey, "", "", 2015},
		{"unknown record", "GET", "/v1/catalogue/work/none", fleetOperator, "", "", 2016},
		{"not JSON", "PUT", "/v1/catalogue/site/port", fleetOperator, "", "{", 2014},
		{"ID differs from the path", "PUT", "/v1/catalogue/site/other", fleetOperator, "", site, 2014},
		{"bad revision", "PUT", "/v1/catalogue/site/port", fleetOperator, "new", site, 2006},
		{"outdated revision", "PUT", "/v1/catalogue/site/port", fleetOperator, "77", site, 2013},
		{"delete of a missing record", "DELETE", "/v1/catalogue/site/port", fleetOperator, "1", "", 2013},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequest(c.method, "http://"+fleet.Operators[0]+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				request.Header.Set("Authorization", "Bearer "+c.key)
			}
			if c.ifMatch != "" {
				request.Header.Set("If-Match", c.ifMatch)
			}
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			_ = response.Body.Close()
			is.Equal(response.Header.Get("X-Result-Code"), strconv.Itoa(c.code))
		})
	}
}
