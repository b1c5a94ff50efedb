package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/catalogue"
	"aspenyard.example/intake"
	"aspenyard.example/result"
)

// callersHandler serves the callers' API and the health checks.
func (e *Entry) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.trackActive(e.completions))
	mux.HandleFunc("POST /v1/chat/completions", e.trackActive(e.chat))
	mux.HandleFunc("POST /v1/services/{kind}", e.trackActive(e.service))
	mux.HandleFunc("GET /v1/models", e.trackActive(e.models))
	mux.HandleFunc("GET /v1/requests", e.trackActive(e.statusByKey))
	mux.HandleFunc("GET /v1/requests/{id}", e.trackActive(e.statusByID))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := e.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

// trackActive counts the requests in flight, for which a graceful shutdown waits, and ends their contexts when final
// answers are due.
func (e *Entry) trackActive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.activeRequests.Add(1)
		defer e.activeRequests.Add(-1)
		ctx, cancel := e.shutdown.Context(r.Context(), 0)
		defer cancel()
		next(w, r.WithContext(ctx))
	}
}

// completionRequest is the body of a completion request, in the format of common
// language-model APIs. Fields that the entry does not use are accepted and ignored, so
// that ordinary client libraries work unchanged.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            chatMessages    `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatMessages is the prompt that a chat's messages make. They are decoded one at a time, as very many short ones take far more
// memory than their text.
type chatMessages struct {
	prompt  strings.Builder
	count   int
	invalid bool // a message's content is not a string
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = chatMessages{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil || start == nil {
		return err
	}
	if start != json.Delim('[') {
		return errors.New("messages is not a list")
	}
	for decoder.More() && !m.invalid {
		var message chatMessage
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		var content string
		m.count++
		m.invalid = json.Unmarshal(message.Content, &content) != nil
		m.prompt.WriteString(message.Role)
		m.prompt.WriteString(": ")
		m.prompt.WriteString(content)
		m.prompt.WriteByte('\n')
	}
	return nil
}

const (
	// defaultMaxTokens is the number of output tokens of a request that sets none.
	defaultMaxTokens = 256
	// maxTokensLimit is the largest number of output tokens a request may ask for.
	maxTokensLimit = 1_000_000
)

// readBody reads the body of a request, up to the body_limit of the settings, until its final answer is due.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	control := http.NewResponseController(w)
	stopReading := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	defer stopReading()
	_ = control.SetReadDeadline(time.Now().Add(e.bodyTimeout(r)))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.settings.BodyLimit)))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		if r.Context().Err() == nil {
			_ = control.SetReadDeadline(time.Time{})
		}
		return data, nil
	case endedByStop(r.Context()):
		return nil, refuseLeaving()
	case errors.As(err, &tooLarge):
		return nil, result.Refuse(result.BodyTooLarge, 0, "the body is longer than %d bytes", tooLarge.Limit)
	case errors.Is(err, intake.ErrFull):
		return nil, result.Refuse(result.EntryFull, fullRetryAfter, "the entry holds too many other requests")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.Refuse(result.SlowCaller, 0, "the body was not received in time")
	}
	return nil, result.Refuse(result.BadBody, 0, "the body could not be read")
}

// fullRetryAfter is the Retry-After value of a request for which there is no room.
const fullRetryAfter = time.Second

// bodyTimeout returns how long a request's body may take: as long as its caller waits for the answer.
func (e *Entry) bodyTimeout(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(headerDeadline)); err == nil && d > 0 {
		return min(d, e.settings.DeadlineLimit.D())
	}
	return e.settings.DefaultDeadline.D()
}

func (e *Entry) completions(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, completionFormat{}, func(body *completionRequest) (string, *result.Error) {
		var prompt string
		if json.Unmarshal(body.Prompt, &prompt) != nil || prompt == "" {
			return "", result.Refuse(result.BadField, 0, "prompt must be a non-empty string")
		}
		return prompt, nil
	})
}

func (e *Entry) chat(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, chatFormat{}, func(body *completionRequest) (string, *result.Error) {
		switch {
		case body.Messages.count == 0:
			return "", result.Refuse(result.BadField, 0, "messages must contain at least one message")
		case body.Messages.invalid:
			return "", result.Refuse(result.BadField, 0, "the content of each message must be a string")
		}
		return body.Messages.prompt.String(), nil
	})
}

// serveCompletion serves a text or a chat completion. promptOf extracts the prompt from
// the body. A missing or wrong API key is reported before any fault of the body.
func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, format responseFormat, promptOf func(*completionRequest) (string, *result.Error)) {
	if refusal := e.refuseStranger(r); refusal != nil {
		e.finishRefused(w, &call{id: newID(), startedAt: time.Now()}, refusal)
		return
	}
	data, refusal := e.readBody(w, r)
	var body completionRequest
	if refusal == nil && json.Unmarshal(data, &body) != nil {
		refusal = result.Refuse(result.BadBody, 0, "the body is not a valid completion request in JSON")
	}
	c, callRefusal := e.prepareCall(r, body.Model, result.UnknownModel)
	if callRefusal != nil && (refusal == nil || callRefusal.Code == result.NoKey || callRefusal.Code == result.WrongKey) {
		refusal = callRefusal
	}
	if refusal == nil && c.kind.Work.Model == "" {
		refusal = result.Refuse(result.UnknownModel, 0, "%q is a plain service's kind of work; use /v1/services/%s", body.Model, body.Model)
	}
	var prompt string
	if refusal == nil {
		prompt, refusal = promptOf(&body)
	}
	maxTokens := 0
	if refusal == nil {
		maxTokens, refusal = checkTokenCounts(c, &body, prompt)
	}
	if refusal == nil {
		refusal = e.admit(c)
	}
	if refusal != nil {
		e.finishRefused(w, c, refusal)
		return
	}
	defer e.limiter.Done(c.account.ID)
	out := newResponseWriter(w, c, format, body.Stream)
	failure := e.newGeneration(c, prompt, maxTokens, out).run(r.Context())
	e.finishCall(c, failure)
	out.finish(failure)
}

// refuseStranger refuses a request without the key of a client account, before its body is read.
func (e *Entry) refuseStranger(r *http.Request) *result.Error {
	if !e.catalogue.Ready() {
		return nil // prepareCall refuses it
	}
	_, refusal := authenticate(r, e.catalogue.View())
	return refusal
}

// checkTokenCounts checks the prompt's length and the requested output tokens against the
// limits, sets both in the call and returns the number of output tokens.
func checkTokenCounts(c *call, body *completionRequest, prompt string) (int, *result.Error) {
	maxTokens := defaultMaxTokens
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	if body.MaxCompletionTokens != nil {
		maxTokens = *body.MaxCompletionTokens
	}
	if maxTokens < 1 || maxTokens > maxTokensLimit {
		return 0, result.Refuse(result.BadField, 0, "max_tokens is %d; it must be from 1 to %d", maxTokens, maxTokensLimit)
	}
	work := c.kind.Work
	if work.MaxOutputTokens > 0 && maxTokens > work.MaxOutputTokens {
		return 0, result.Refuse(result.BadField, 0, "max_tokens is %d; this kind of work allows at most %d", maxTokens, work.MaxOutputTokens)
	}
	c.promptTokens, c.outputTokens = admission.EstimateTokens(prompt), maxTokens
	if work.MaxPromptTokens > 0 && c.promptTokens > work.MaxPromptTokens {
		return 0, result.Refuse(result.PromptTooLong, 0, "the prompt has %d tokens; this kind of work allows at most %d", c.promptTokens, work.MaxPromptTokens)
	}
	return maxTokens, nil
}

// service serves a call to a plain service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	c, body, refusal := e.prepareServiceCall(w, r)
	if refusal == nil {
		refusal = e.admit(c)
	}
	if refusal != nil {
		e.finishRefused(w, c, refusal)
		return
	}
	defer e.limiter.Done(c.account.ID)
	var response serviceResponse
	var failure *result.Error
	if c.kind.Work.Repeatable {
		response, failure = e.callRepeatable(r.Context(), c, body)
	} else {
		response, failure = e.newNonRepeatableCall(c, body).run(r.Context())
	}
	e.finishCall(c, failure)
	if failure != nil {
		writeError(w, c, failure)
		return
	}
	code := result.OK
	if response.replayed {
		code = result.Replayed
	}
	writeHeaders(w, c, code, result.RanYes)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body)
}

// prepareServiceCall authenticates the caller of a plain service, reads the body and
// checks the request. The call is never nil.
func (e *Entry) prepareServiceCall(w http.ResponseWriter, r *http.Request) (*call, []byte, *result.Error) {
	kind := r.PathValue("kind")
	c, refusal := e.prepareCall(r, kind, result.UnknownKind)
	if refusal != nil {
		return c, nil, refusal
	}
	body, refusal := e.readBody(w, r)
	switch {
	case refusal != nil:
		return c, nil, refusal
	case c.kind.Work.Service == "":
		return c, nil, result.Refuse(result.UnknownKind, 0, "%q is a model's kind of work; use /v1/completions", kind)
	case !json.Valid(body):
		return c, nil, result.Refuse(result.BadBody, 0, "the body is not JSON")
	case !c.kind.Work.Repeatable && c.idempotencyKey == "":
		return c, nil, result.Refuse(result.KeyRequired, 0, "%q is not repeatable and needs the header %s", kind, headerIdempotencyKey)
	}
	return c, body, nil
}

// models lists the kinds of work that run on a model, in the format of common
// language-model APIs.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	c := &call{id: newID(), startedAt: time.Now()}
	view := e.catalogue.View()
	if _, refusal := authenticate(r, view); refusal != nil {
		writeError(w, c, refusal)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, record := range view.List(catalogue.TypeWork) {
		if record.Work.Model != "" {
			models = append(models, model{record.ID, "model", record.EditedAt.Unix(), record.Owner})
		}
	}
	writeHeaders(w, c, result.OK, result.RanYes)
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// requestStatus is the response to a status lookup.
type requestStatus struct {
	RequestID string      `json:"request_id"`
	State     string      `json:"state"`
	Code      result.Code `json:"code,omitempty"`
	Ran       result.Ran  `json:"ran"`
}

// statusByID reports the result of a request that ended at this entry.
func (e *Entry) statusByID(w http.ResponseWriter, r *http.Request) {
	c := &call{id: newID(), startedAt: time.Now()}
	account, refusal := authenticate(r, e.catalogue.View())
	if refusal != nil {
		writeError(w, c, refusal)
		return
	}
	found, ok := e.recent.find(r.PathValue("id"), account.ID)
	if !ok {
		writeError(w, c, result.Fail(result.UnknownRequest, result.RanUnknown, "this entry does not know request %q; look it up by its idempotency key", r.PathValue("id")))
		return
	}
	writeHeaders(w, c, result.OK, result.RanYes)
	writeJSON(w, http.StatusOK, requestStatus{RequestID: found.id, State: "ended", Code: found.code, Ran: found.ran})
}

// statusByKey reports the state of a request that is not repeatable, by its idempotency
// key. Any entry can answer it.
func (e *Entry) statusByKey(w http.ResponseWriter, r *http.Request) {
	c := &call{id: newID(), startedAt: time.Now(), idempotencyKey: r.URL.Query().Get("key")}
	c.deadline = c.startedAt.Add(e.settings.DefaultDeadline.D())
	var refusal *result.Error
	if c.account, refusal = authenticate(r, e.catalogue.View()); refusal != nil {
		writeError(w, c, refusal)
		return
	}
	lookup := &nonRepeatableCall{entry: e, call: c, claimKey: attempt.ClaimKey(c.account.ID, c.idempotencyKey)}
	status, failure := lookup.status(r.Context())
	if failure != nil {
		writeError(w, c, failure)
		return
	}
	writeHeaders(w, c, result.OK, result.RanYes)
	writeJSON(w, http.StatusOK, status)
}

// status reads the claim of the key and, if the claim has no outcome yet, queries the
// agent that it names.
func (n *nonRepeatableCall) status(ctx context.Context) (*requestStatus, *result.Error) {
	claim, failure := n.readClaim(ctx)
	if failure != nil {
		return nil, failure
	}
	if claim == nil {
		return nil, result.Refuse(result.UnknownRequest, 0, "no request with this key is on record")
	}
	status := &requestStatus{RequestID: claim.RequestID, State: string(claim.State), Ran: result.RanUnknown}
	switch claim.State {
	case attempt.ClaimDone:
		status.Code, status.Ran = result.Code(claim.Outcome.Code), result.RanYes
	case attempt.ClaimNotRun:
		status.Ran = result.RanNo
	case attempt.ClaimClaimed:
		_, failure, settled := n.resolveClaim(ctx, claim)
		switch {
		case settled:
			status.State, status.Ran = string(attempt.ClaimNotRun), result.RanNo
		case failure == nil:
			status.State, status.Code, status.Ran = string(attempt.ClaimDone), result.OK, result.RanYes
		default:
			status.Code, status.Ran = failure.Code, failure.Ran
		}
	}
	return status, nil
}
