package cli

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"aspenyard.example/bench/days"
	"aspenyard.example/bench/losses"
	"aspenyard.example/platform/journal"
	"aspenyard.example/result"
)

type reportLosses struct {
	Out    string   `arg:"--out,required" placeholder:"DIR" help:"directory for the page and its plot"`
	Name   string   `arg:"--name" default:"losses" help:"name of the page, without extension"`
	Played string   `arg:"--played" placeholder:"FILE" help:"the users' report on the same played day"`
	Files  []string `arg:"positional,required" placeholder:"LOG" help:"logs of all gateways, JSON lines; - for standard input"`
}

func (c *reportLosses) run(t terminal) int {
	played, err := c.readPlayed()
	if err != nil {
		return t.failf("%v", err)
	}
	var lines []logLine
	for _, path := range c.Files {
		all, err := readLog(path)
		if err != nil {
			return t.failf("%v", err)
		}
		lines = append(lines, all...)
	}
	records := lossRecords(lines)
	if err := losses.Analyze(records).Write(c.Out, c.Name, played); err != nil {
		return t.failf("%v", err)
	}
	fmt.Fprintf(t.out, "%s/%s.md: %d requests\n", c.Out, c.Name, len(records.Requests))
	return exitOK
}

// readPlayed reads the users' report on the played day; nil if no file is given.
func (c *reportLosses) readPlayed() (*days.DayReport, error) {
	if c.Played == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.Played)
	if err != nil {
		return nil, err
	}
	return journal.DecodeReport(data)
}

// requestTrace collects the log lines about a request from before its end.
type requestTrace struct {
	// placed is the last event of the request's placement; nil if it was not placed.
	placed *logLine
	// queueTime is the time that the request waited in the queue, expectedFirstToken the
	// time to first token that was expected on arrival.
	queueTime, expectedFirstToken time.Duration
	// refusal is the last reason that was logged for refusing the request.
	refusal losses.RefusalReason
}

// add adds a log line of the request.
func (t *requestTrace) add(l *logLine) {
	switch l.Event {
	case "placed":
		if t.placed == nil || t.placed.Time.Before(l.Time) {
			t.placed = l
		}
	case "queue_left":
		t.queueTime, t.expectedFirstToken = l.duration("waited_ms"), l.duration("expected_ms")
	case "queue_refused":
		t.expectedFirstToken, t.refusal = l.duration("expected_ms"), losses.RefusedTooLate
	case "capacity_refused":
		t.refusal = losses.RefusedLongParts
	case "memory_reserved":
		if l.number("tokens") < l.number("needed") {
			t.refusal = losses.RefusedMemory
		}
	}
}

// lossRecords extracts from log lines the requests, the prefill parts that endpoints were
// given, and the starts of processes.
func lossRecords(lines []logLine) *losses.Records {
	records := &losses.Records{}
	traces := map[string]*requestTrace{}
	for i := range lines {
		l := &lines[i]
		if l.Event == "start" {
			records.ProcessStarts = append(records.ProcessStarts, l.Time)
		}
		if traces[l.requestKey()] == nil {
			traces[l.requestKey()] = &requestTrace{}
		}
		traces[l.requestKey()].add(l)
	}
	for i := range lines {
		if l := &lines[i]; l.Event == "request_ended" {
			trace := traces[l.requestKey()]
			request := lossRequest(l, trace)
			records.Requests = append(records.Requests, request)
			if trace.placed != nil {
				records.Parts = append(records.Parts, prefillParts(trace.placed, &request)...)
			}
		}
	}
	return records
}

// requestKey identifies a request at one gateway. The request ID alone does not: a caller
// that retries may use it again at another gateway.
func (l *logLine) requestKey() string { return l.Node + " " + l.Request }

// lossRequest returns the record of a request from its last log line and its trace.
func lossRequest(l *logLine, trace *requestTrace) losses.Request {
	code := result.Code(l.number("code"))
	arrivedAt := l.Time.Add(-l.duration("took_ms"))
	status := result.Lookup(code).HTTPStatus
	request := losses.Request{
		ID: l.Request, Node: l.Node, Route: l.text("route"), ArrivedAt: arrivedAt, EndedAt: l.Time, PromptTokens: int(l.number("prompt_tokens")),
		Code: code, Refused: status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, Excluded: excludedFromLosses(code), Late: parseLate(l.text("late")),
		TimeToFirstEvent: l.duration("first_ms"), Endpoint: l.text("endpoint"), QueueTime: trace.queueTime, ExpectedFirstToken: trace.expectedFirstToken, Resumed: l.text("resumed") == "true",
	}
	if request.Refused {
		request.RefusalReason = trace.refusal
	}
	request.PauseEnd = arrivedAt.Add(l.duration("gap_end_ms"))
	request.PauseStart = request.PauseEnd.Add(-l.duration("gap_ms"))
	return request
}

// excludedFromLosses reports whether a request is left out of the losses: its key or the
// request itself was invalid, or the caller cancelled it.
func excludedFromLosses(code result.Code) bool {
	switch code {
	case result.WrongKey, result.NoKey, result.UnknownKind, result.BadRequest, result.Cancelled:
		return true
	}
	return false
}

// parseLate returns the losses.Lateness of the log field "late". A plain response can be late in
// one way only, which counts as a late first token.
func parseLate(value string) losses.Lateness {
	switch value {
	case "answer", "first":
		return losses.LateFirst
	case "pause":
		return losses.LatePause
	case "both":
		return losses.LateBoth
	}
	return losses.OnTime
}

// prefillParts returns the parts of a request's prompt. They last from their placement until
// the first token or, without one, until the request's end.
func prefillParts(placed *logLine, request *losses.Request) []losses.PrefillPart {
	firstTokenAt := request.EndedAt
	if request.TimeToFirstEvent > 0 {
		firstTokenAt = request.ArrivedAt.Add(request.TimeToFirstEvent)
	}
	var parts []losses.PrefillPart
	for _, endpoint := range placed.endpoints() {
		parts = append(parts, losses.PrefillPart{RequestID: request.ID, Endpoint: endpoint, SentAt: placed.Time, FirstTokenAt: firstTokenAt, PrefillTime: placed.duration("prefill_ms"), Route: request.Route})
	}
	return parts
}
