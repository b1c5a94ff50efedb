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
	Out    string   `arg:"--out,required" placeholder:"DIR" help:"where the page and its plot are written"`
	Name   string   `arg:"--name" default:"losses" help:"name of the page, without ending"`
	Played string   `arg:"--played" placeholder:"FILE" help:"the users' report of the same played day"`
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

// readPlayed reads the users' report; nil where none is named.
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

// requestTrace is what the log tells of a request before its end.
type requestTrace struct {
	// placed is the last plan.
	placed                        *logLine
	queueTime, expectedFirstToken time.Duration
	refusal                       losses.RefusalReason
}

// add takes in a line of the request.
func (c *requestTrace) add(l *logLine) {
	switch l.Event {
	case "placed":
		if c.placed == nil || c.placed.Time.Before(l.Time) {
			c.placed = l
		}
	case "queue_left":
		c.queueTime, c.expectedFirstToken = l.duration("waited_ms"), l.duration("expected_ms")
	case "queue_refused":
		c.expectedFirstToken, c.refusal = l.duration("expected_ms"), losses.RefusedTooLate
	case "capacity_refused":
		c.refusal = losses.RefusedLongParts
	case "memory_reserved":
		if l.number("tokens") < l.number("needed") {
			c.refusal = losses.RefusedMemory
		}
	}
}

// lossRecords sorts log lines into requests, the parts that they gave to endpoints, and
// starts of processes.
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

// requestKey names one request at one gateway: a caller that comes back may use its ID again.
func (l *logLine) requestKey() string { return l.Node + " " + l.Request }

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

// excludedFromLosses tells whether a caller had no claim to an answer, or took none.
func excludedFromLosses(code result.Code) bool {
	switch code {
	case result.WrongKey, result.NoKey, result.UnknownKind, result.BadRequest, result.Cancelled:
		return true
	}
	return false
}

// parseLate reads a log's word; plain answers have one way of being parseLate.
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

// prefillParts are the parts of a prompt, from when they were sent until its first token came
// or, where none did, its end.
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
