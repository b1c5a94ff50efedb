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
	placed           *logLine
	waited, expected time.Duration
	refusal          losses.RefusalReason
}

// add takes in a line of the request.
func (c *requestTrace) add(l *logLine) {
	switch l.Event {
	case "placed":
		if c.placed == nil || c.placed.Time.Before(l.Time) {
			c.placed = l
		}
	case "queue_left":
		c.waited, c.expected = l.duration("waited_ms"), l.duration("expected_ms")
	case "queue_refused":
		c.expected, c.refusal = l.duration("expected_ms"), losses.RefusedTooLate
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
	courses := map[string]*requestTrace{}
	for i := range lines {
		l := &lines[i]
		if l.Event == "start" {
			records.ProcessStarts = append(records.ProcessStarts, l.Time)
		}
		if courses[l.requestKey()] == nil {
			courses[l.requestKey()] = &requestTrace{}
		}
		courses[l.requestKey()].add(l)
	}
	for i := range lines {
		if l := &lines[i]; l.Event == "request_ended" {
			course := courses[l.requestKey()]
			request := lossRequest(l, course)
			records.Requests = append(records.Requests, request)
			if course.placed != nil {
				records.Parts = append(records.Parts, lossParts(course.placed, &request)...)
			}
		}
	}
	return records
}

// requestKey names one request at one gateway: a caller that comes back may use its ID again.
func (l *logLine) requestKey() string { return l.Node + " " + l.Request }

func lossRequest(l *logLine, course *requestTrace) losses.Request {
	code := result.Code(l.number("code"))
	began := l.Time.Add(-l.duration("took_ms"))
	status := result.Lookup(code).HTTPStatus
	q := losses.Request{
		ID: l.Request, Node: l.Node, Route: l.text("route"), ArrivedAt: began, EndedAt: l.Time, PromptTokens: int(l.number("prompt_tokens")),
		Code: code, Refused: status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, Excluded: answerNotOwed(code), Late: parseLate(l.text("late")),
		TimeToFirstEvent: l.duration("first_ms"), Endpoint: l.text("endpoint"), QueueTime: course.waited, ExpectedFirstToken: course.expected, Resumed: l.text("resumed") == "true",
	}
	if q.Refused {
		q.RefusalReason = course.refusal
	}
	q.PauseEnd = began.Add(l.duration("gap_end_ms"))
	q.PauseStart = q.PauseEnd.Add(-l.duration("gap_ms"))
	return q
}

// answerNotOwed tells whether a caller had no claim to an answer, or took none.
func answerNotOwed(code result.Code) bool {
	switch code {
	case result.WrongKey, result.NoKey, result.UnknownKind, result.BadRequest, result.Cancelled:
		return true
	}
	return false
}

// parseLate reads a log's word; plain answers have one way of being parseLate.
func parseLate(word string) losses.Lateness {
	switch word {
	case "answer", "first":
		return losses.LateFirst
	case "pause":
		return losses.LatePause
	case "both":
		return losses.LateBoth
	}
	return losses.OnTime
}

// lossParts are the parts of a prompt, from when they were sent until its first token came
// or, where none did, its end.
func lossParts(sent *logLine, q *losses.Request) []losses.PrefillPart {
	to := q.EndedAt
	if q.TimeToFirstEvent > 0 {
		to = q.ArrivedAt.Add(q.TimeToFirstEvent)
	}
	var parts []losses.PrefillPart
	for _, endpoint := range sent.endpoints() {
		parts = append(parts, losses.PrefillPart{RequestID: q.ID, Endpoint: endpoint, SentAt: sent.Time, FirstTokenAt: to, PrefillTime: sent.duration("prefill_ms"), Route: q.Route})
	}
	return parts
}
