package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"aspenyard.example/result"
)

// errorBody is the JSON body of every error response. Clients depend on its fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         result.Code `json:"code"`
	Type         string      `json:"type"`
	Message      string      `json:"message"`
	Ran          result.Ran  `json:"ran"`
	RequestID    string      `json:"request_id"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

func errorBodyOf(c *call, failure *result.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: failure.Code, Type: result.Lookup(failure.Code).Name, Message: failure.Detail, Ran: failure.Ran,
		RequestID: c.id, RetryAfterMS: failure.RetryAfter.Milliseconds(),
	}}
}

// writeHeaders sets the headers that every response carries: the request id, the result
// code and whether the request ran.
func writeHeaders(w http.ResponseWriter, c *call, code result.Code, ran result.Ran) {
	w.Header().Set(headerRequestID, c.id)
	w.Header().Set(headerResultCode, strconv.Itoa(int(code)))
	w.Header().Set(headerRan, string(ran))
}

// writeError writes an error response. Retry-After is rounded up to whole seconds.
func writeError(w http.ResponseWriter, c *call, failure *result.Error) {
	writeHeaders(w, c, failure.Code, failure.Ran)
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	writeJSON(w, result.Lookup(failure.Code).HTTPStatus, errorBodyOf(c, failure))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// finishRefused finishes a call that was not admitted and writes its error response.
func (e *Entry) finishRefused(w http.ResponseWriter, c *call, refusal *result.Error) {
	e.finishCall(c, refusal)
	writeError(w, c, refusal)
}

// responseFormat builds the JSON of a response: that of a text completion or of a chat
// completion.
type responseFormat interface {
	// chunk is the data of one server-sent event. finish is the finish reason, "" before
	// the last event.
	chunk(c *call, text, finish string) any
	// complete is the body of a response that is not streamed.
	complete(c *call, text string, tokens int) any
}

// usage is the token count of a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(c *call, tokens int) *usage {
	return &usage{c.promptTokens, tokens, c.promptTokens + tokens}
}

// completionResponse is a response or one event of a streamed response, in the format of
// common language-model APIs.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the output of a completion. Which of Text, Delta and Message is set depends
// on the kind of completion and on streaming.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func newCompletionResponse(c *call, object string, ch choice, finish string) completionResponse {
	if finish != "" {
		ch.FinishReason = &finish
	}
	return completionResponse{ID: c.id, Object: object, Created: c.startedAt.Unix(), Model: c.kind.ID, Choices: []choice{ch}}
}

// finishLength is the finish reason of every response: engines always generate up to the
// requested number of tokens.
const finishLength = "length"

type completionFormat struct{}

func (completionFormat) chunk(c *call, text, finish string) any {
	return newCompletionResponse(c, "text_completion", choice{Text: &text}, finish)
}

func (completionFormat) complete(c *call, text string, tokens int) any {
	a := newCompletionResponse(c, "text_completion", choice{Text: &text}, finishLength)
	a.Usage = usageOf(c, tokens)
	return a
}

type chatFormat struct{}

func (chatFormat) chunk(c *call, text, finish string) any {
	return newCompletionResponse(c, "chat.completion.chunk", choice{Delta: &message{Role: "assistant", Content: text}}, finish)
}

func (chatFormat) complete(c *call, text string, tokens int) any {
	a := newCompletionResponse(c, "chat.completion", choice{Message: &message{Role: "assistant", Content: text}}, finishLength)
	a.Usage = usageOf(c, tokens)
	return a
}

// responseWriter writes the response of one generation. The head of a streamed response
// is written with the first token, so that a failure before it has its own HTTP status. A
// stream that fails later ends with an error event and without the [DONE] marker. A
// response that is not streamed is written only when it is complete.
type responseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	call       *call
	format     responseFormat
	stream     bool
	headSent   bool
	text       strings.Builder
	tokens     int
}

func newResponseWriter(w http.ResponseWriter, c *call, format responseFormat, stream bool) *responseWriter {
	return &responseWriter{w: w, controller: http.NewResponseController(w), call: c, format: format, stream: stream}
}

// writeTokens implements tokenWriter.
func (r *responseWriter) writeTokens(text string, tokens int) error {
	r.tokens += tokens
	if !r.stream {
		r.text.WriteString(text)
		return nil
	}
	r.writeHead()
	return r.writeEvent(r.format.chunk(r.call, text, ""))
}

// writeHead writes the head of a streamed response once.
func (r *responseWriter) writeHead() {
	if r.headSent {
		return
	}
	r.headSent = true
	writeHeaders(r.w, r.call, result.OK, result.RanYes)
	r.w.Header().Set("Content-Type", "text/event-stream")
	r.w.Header().Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
}

func (r *responseWriter) writeEvent(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(r.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return r.controller.Flush()
}

// finish writes the end of the response; failure is nil for a generation that succeeded.
func (r *responseWriter) finish(failure *result.Error) {
	switch {
	case failure != nil && !r.headSent:
		writeError(r.w, r.call, failure)
	case failure != nil:
		_ = r.writeEvent(errorBodyOf(r.call, failure))
	case r.stream:
		r.writeHead()
		_ = r.writeEvent(r.format.chunk(r.call, "", finishLength))
		_, _ = fmt.Fprint(r.w, "data: [DONE]\n\n")
		_ = r.controller.Flush()
	default:
		writeHeaders(r.w, r.call, result.OK, result.RanYes)
		writeJSON(r.w, http.StatusOK, r.format.complete(r.call, r.text.String(), r.tokens))
	}
}
