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

// errorBody is the stable body of an error.
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

func bodyOf(c *call, failure *result.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: failure.Code, Type: result.Lookup(failure.Code).Name, Message: failure.Detail, Ran: failure.Ran,
		RequestID: c.id, RetryAfterMS: failure.RetryAfter.Milliseconds(),
	}}
}

func writeHeaders(w http.ResponseWriter, c *call, code result.Code, ran result.Ran) {
	w.Header().Set(headerRequestID, c.id)
	w.Header().Set(headerResultCode, strconv.Itoa(int(code)))
	w.Header().Set(headerRan, string(ran))
}

func writeError(w http.ResponseWriter, c *call, failure *result.Error) {
	writeHeaders(w, c, failure.Code, failure.Ran)
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	writeJSON(w, result.Lookup(failure.Code).HTTPStatus, bodyOf(c, failure))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// refuse ends a call that was not admitted.
func (e *Entry) refuse(w http.ResponseWriter, c *call, refusal *result.Error) {
	e.ended(c, refusal)
	writeError(w, c, refusal)
}

// shape is how an answer looks: a text completion's or a chat's.
type shape interface {
	// chunk is one server-sent event; finish is "" before the last.
	chunk(c *call, text, finish string) any
	// whole is an answer in one piece.
	whole(c *call, text string, tokens int) any
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(c *call, tokens int) *usage {
	return &usage{c.promptTokens, tokens, c.promptTokens + tokens}
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

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

func newAnswer(c *call, object string, ch choice, finish string) answer {
	if finish != "" {
		ch.FinishReason = &finish
	}
	return answer{ID: c.id, Object: object, Created: c.started.Unix(), Model: c.kind.ID, Choices: []choice{ch}}
}

// finishLength is the finish reason of every answer: the engines generate up to
// the number of tokens asked for.
const finishLength = "length"

type completionShape struct{}

func (completionShape) chunk(c *call, text, finish string) any {
	return newAnswer(c, "text_completion", choice{Text: &text}, finish)
}

func (completionShape) whole(c *call, text string, tokens int) any {
	a := newAnswer(c, "text_completion", choice{Text: &text}, finishLength)
	a.Usage = usageOf(c, tokens)
	return a
}

type chatShape struct{}

func (chatShape) chunk(c *call, text, finish string) any {
	return newAnswer(c, "chat.completion.chunk", choice{Delta: &message{Role: "assistant", Content: text}}, finish)
}

func (chatShape) whole(c *call, text string, tokens int) any {
	a := newAnswer(c, "chat.completion", choice{Message: &message{Role: "assistant", Content: text}}, finishLength)
	a.Usage = usageOf(c, tokens)
	return a
}

// response writes one generation's answer. A streamed answer begins with its
// first token, so that a failure before it has its own HTTP status. An answer
// that fails later ends with an error event and without the end marker, and an
// answer in one piece is only written when it is complete.
type response struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	shape   shape
	stream  bool
	begun   bool
	text    strings.Builder
	tokens  int
}

func newResponse(w http.ResponseWriter, c *call, s shape, stream bool) *response {
	return &response{w: w, control: http.NewResponseController(w), call: c, shape: s, stream: stream}
}

// pass implements sink.
func (r *response) pass(text string, tokens int) error {
	r.tokens += tokens
	if !r.stream {
		r.text.WriteString(text)
		return nil
	}
	r.begin()
	return r.event(r.shape.chunk(r.call, text, ""))
}

func (r *response) begin() {
	if r.begun {
		return
	}
	r.begun = true
	writeHeaders(r.w, r.call, result.OK, result.RanYes)
	r.w.Header().Set("Content-Type", "text/event-stream")
	r.w.Header().Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
}

func (r *response) event(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(r.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return r.control.Flush()
}

// finish ends the answer.
func (r *response) finish(failure *result.Error) {
	switch {
	case failure != nil && !r.begun:
		writeError(r.w, r.call, failure)
	case failure != nil:
		_ = r.event(bodyOf(r.call, failure))
	case r.stream:
		r.begin()
		_ = r.event(r.shape.chunk(r.call, "", finishLength))
		_, _ = fmt.Fprint(r.w, "data: [DONE]\n\n")
		_ = r.control.Flush()
	default:
		writeHeaders(r.w, r.call, result.OK, result.RanYes)
		writeJSON(r.w, http.StatusOK, r.shape.whole(r.call, r.text.String(), r.tokens))
	}
}
