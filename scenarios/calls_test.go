package scenarios

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/bench"
	standin "aspenyard.example/standin/engine"
)

// callRecord is one call and its result as the caller received it.
type callRecord struct {
	id, kind, key string
	opts          map[string]string
	deadline      time.Duration
	startedAt     time.Time
	duration      time.Duration
	done          chan struct{}
	// firstEvent is closed when the first event of a streamed response has arrived.
	firstEvent     chan struct{}
	firstEventOnce sync.Once

	status         int
	code           int
	ran            string
	retryAfter     string
	requestID      string
	body           string
	text           string // generated text
	expected       string
	promptHash     uint64 // identifies the prompt in the records of engines; 0 for plain services
	complete       bool   // the end of the response was received
	transportError error
}

// isPlainService reports whether a kind of work is served by the plain service.
func isPlainService(kind string) bool { return kind == "excuse-filing" || kind == "tide-check" }

// call ENTRY KIND [key=K] [deadline=D] [tokens=N] [out=N] [stream=no] [hangup=N] [giveup=D]
// [first=yes] [as=ID] [until=CODE] makes a call. With as, the script continues at once; otherwise
// it waits for the response and the call has the ID "last". With until, the call is repeated, at
// a quarter of the Retry-After of each response, until its result code is CODE.
func call(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	if opts["until"] == "" {
		startCall(ts, plain, opts)
		return
	}
	await(ts, "call", func() string {
		c := startCall(ts, plain, opts)
		<-c.done
		if mismatch := c.check("code", opts["until"]); mismatch != "" {
			time.Sleep(time.Duration(parseNumber(c.retryAfter)) * time.Second / 4)
			return mismatch
		}
		return ""
	})
}

// startCall starts a call, and waits for its result unless it has an ID of its own (as=).
func startCall(ts *testscript.TestScript, plain []string, opts map[string]string) *callRecord {
	h := harnessOf(ts)
	p := h.mustProcess(ts, plain[0])
	c := &callRecord{id: opts["as"], kind: plain[1], opts: opts, key: opts["key"], done: make(chan struct{}), firstEvent: make(chan struct{}), deadline: 20 * time.Second, startedAt: time.Now()}
	if c.id == "" {
		c.id = "last"
	}
	if opts["deadline"] != "" {
		var err error
		c.deadline, err = time.ParseDuration(opts["deadline"])
		ts.Check(err)
	}
	request, err := c.request(p, opts)
	ts.Check(err)
	if opts["giveup"] != "" {
		giveUpAfter, err := time.ParseDuration(opts["giveup"])
		ts.Check(err)
		ctx, cancel := context.WithTimeout(context.Background(), giveUpAfter)
		defer cancel()
		request = request.WithContext(ctx)
	}
	h.mu.Lock()
	h.callsByID[c.id] = c
	h.calls = append(h.calls, c)
	h.mu.Unlock()
	go func() {
		defer close(c.done)
		started := time.Now()
		c.send(h.client, request, parseNumber(opts["hangup"]))
		c.duration = time.Since(started)
	}()
	if opts["as"] == "" {
		<-c.done
	}
	return c
}

// ended reports whether the call has its result.
func (c *callRecord) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// again ENTRY ID repeats the call ID through an entry, after the Retry-After of its response. ID
// then names the new call.
func again(ts *testscript.TestScript, _ bool, args []string) {
	c := harnessOf(ts).mustCall(ts, args[1])
	finish(ts, false, args[1:])
	if c.retryAfter == "" {
		ts.Fatalf("response to call %s has no Retry-After (code %d)", c.id, c.code)
	}
	time.Sleep(time.Duration(parseNumber(c.retryAfter)) * time.Second)
	startCall(ts, []string{args[0], c.kind}, c.opts)
}

// request builds the HTTP request of the call and computes the response that is expected.
func (c *callRecord) request(p *process, opts map[string]string) (*http.Request, error) {
	path := "/v1/services/" + c.kind
	body := []byte(`{"summons":"` + opts["body"] + `"}`)
	if !isPlainService(c.kind) {
		path = "/v1/completions"
		tokens, out := 1000, 16
		if opts["tokens"] != "" {
			tokens = parseNumber(opts["tokens"])
		}
		if opts["out"] != "" {
			out = parseNumber(opts["out"])
		}
		prompt := bench.Prompt(xxhash.Sum64String(c.id), tokens) + c.id
		c.expected, c.promptHash = standin.Completion(prompt, out), standin.PromptPrefixHash(prompt)
		var err error
		body, err = json.Marshal(map[string]any{"model": c.kind, "prompt": prompt, "max_tokens": out, "stream": opts["stream"] != "no"})
		if err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+p.addrs["callers"]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("X-Request-Deadline", c.deadline.String())
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if opts["first"] == "yes" {
		request.Header.Set("X-First-Attempt", "true")
	}
	return request, nil
}

// send sends the request and records the result. If hangup is positive, it disconnects after that
// many events of a stream.
func (c *callRecord) send(client *http.Client, request *http.Request, hangup int) {
	response, err := client.Do(request)
	if err != nil {
		c.transportError = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	c.code, _ = strconv.Atoi(response.Header.Get("X-Result-Code"))
	c.ran, c.retryAfter, c.requestID = response.Header.Get("X-Ran"), response.Header.Get("Retry-After"), response.Header.Get("X-Request-Id")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		c.readStream(response.Body, hangup)
		return
	}
	data, err := io.ReadAll(response.Body)
	c.body, c.transportError, c.complete = string(data), err, err == nil
	var completion struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(data, &completion) == nil && len(completion.Choices) > 0 {
		c.text = completion.Choices[0].Text
	}
}

// readStream reads the events of a streamed response until its end marker, or until hangup
// events.
func (c *callRecord) readStream(body io.Reader, hangup int) {
	reader := bufio.NewReader(body)
	for events := 0; hangup == 0 || events < hangup; {
		line, err := reader.ReadString('\n')
		if err != nil {
			c.transportError = err
			return
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		events++
		if data == "[DONE]" {
			c.complete = true
			return
		}
		c.handleEvent(data)
		c.firstEventOnce.Do(func() { close(c.firstEvent) })
	}
}

// handleEvent records the text or the error of one event.
func (c *callRecord) handleEvent(data string) {
	var event struct {
		Error *struct {
			Code int
			Ran  string
		}
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(data), &event) != nil {
		return
	}
	if event.Error != nil {
		c.code, c.ran = event.Error.Code, event.Error.Ran
	}
	for _, choice := range event.Choices {
		c.text += choice.Text
	}
}

// mustCall returns the latest call with an ID and fails the script if there is none.
func (h *harness) mustCall(ts *testscript.TestScript, id string) *callRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.callsByID[id]
	if c == nil {
		ts.Fatalf("no call %q", id)
	}
	return c
}

// started ENGINE|ENGINE... waits until one of the engines has a run in progress.
func started(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	await(ts, "started", func() string {
		for _, name := range strings.Split(args[0], "|") {
			record, err := h.engineRecord(h.mustProcess(ts, name))
			if err != nil {
				return err.Error()
			}
			for _, run := range record.Runs {
				if !run.Finished && !run.Cancelled {
					return ""
				}
			}
		}
		return fmt.Sprintf("no run in progress on %v", args)
	})
}

// finish ID... waits for the responses to calls that were made with as.
func finish(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		harnessOf(ts).mustCall(ts, id).await(ts)
	}
}

// await waits until the call has ended, and fails the script conditionTimeout after its deadline.
func (c *callRecord) await(ts *testscript.TestScript) {
	select {
	case <-c.done:
	case <-time.After(c.deadline + conditionTimeout):
		ts.Fatalf("call %s got no response", c.id)
	}
}

// streaming ID... waits until the first event of streamed calls has arrived.
func streaming(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		c := harnessOf(ts).mustCall(ts, id)
		select {
		case <-c.firstEvent:
		case <-c.done:
			ts.Fatalf("call %s ended without an event (code %d)", id, c.code)
		case <-time.After(conditionTimeout):
			ts.Fatalf("call %s got no event", id)
		}
	}
}

// repeat N COMMAND... runs a command N times. A number is appended to the as= ID of a call.
func repeat(ts *testscript.TestScript, neg bool, args []string) {
	for i := range parseNumber(args[0]) {
		numbered := append([]string(nil), args[2:]...)
		for j, arg := range numbered {
			if strings.HasPrefix(arg, "as=") {
				numbered[j] = fmt.Sprintf("%s-%d", arg, i)
			}
		}
		commands[args[1]](ts, neg, numbered)
	}
}

// finish-all waits for the responses to all calls made so far.
func finishAll(ts *testscript.TestScript, _ bool, _ []string) {
	for _, c := range harnessOf(ts).calls {
		c.await(ts)
	}
}

// whole least=N checks that at least N generations were answered completely and with the expected
// text.
func whole(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := options(args)
	count := 0
	for _, c := range harnessOf(ts).calls {
		if !isPlainService(c.kind) && c.complete && c.text == c.expected {
			count++
		}
	}
	if count < parseNumber(opts["least"]) {
		ts.Fatalf("%d responses were complete", count)
	}
}

// expect ID... [code=N|N] [ran=WORD|WORD] [whole=yes] [in-time=yes] [retry=yes] [took-under=D]
// [transport=yes] checks the results of calls.
func expect(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	finish(ts, false, plain)
	for _, id := range plain {
		c := harnessOf(ts).mustCall(ts, id)
		for key, want := range opts {
			if mismatch := c.check(key, want); mismatch != "" {
				ts.Fatalf("call %s: %s (status %d, code %d, ran %q, took %s, transport %v, body %.300s)",
					id, mismatch, c.status, c.code, c.ran, c.duration, c.transportError, c.body)
			}
		}
	}
}

// deadlineTolerance is how much later than its deadline a response may arrive on a busy machine.
const deadlineTolerance = 5 * time.Second

// check compares one property of the result with the alternatives in want, which are separated by
// "|". It returns a description of the mismatch, or "".
func (c *callRecord) check(key, want string) string {
	got := ""
	switch key {
	case "code":
		got = strconv.Itoa(c.code)
	case "ran":
		got = c.ran
	case "whole":
		got = yesNo(c.complete && c.text == c.expected)
	case "in-time":
		got = yesNo(c.duration < c.deadline+deadlineTolerance)
	case "retry":
		got = yesNo(c.retryAfter != "")
	case "took-under":
		limit, err := time.ParseDuration(want)
		if err == nil && c.duration < limit {
			got = want
		}
	case "transport":
		got = yesNo(c.transportError != nil)
	default:
		return "unknown check " + key
	}
	for _, one := range strings.Split(want, "|") {
		if got == one {
			return ""
		}
	}
	return fmt.Sprintf("%s is %q, want %q", key, got, want)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
