package cli

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/result"
)

type explainCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"the request's id"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"logs of one or several processes, JSON lines; - for standard input"`
}

// logLine is one line of a gateway's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	fields  map[string]any
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

func (c *explainCommand) run(t terminal) int {
	var lines, placed []logLine
	for _, path := range c.Files {
		all, err := readLog(path)
		if err != nil {
			return t.failf("%v", err)
		}
		for _, l := range all {
			switch {
			case l.Request == c.Request && c.Request != "":
				lines = append(lines, l)
			case l.Event == "placed":
				placed = append(placed, l)
			}
		}
	}
	if len(lines) == 0 {
		return t.failf("no line of request %q; requests that ended well are logged 20 a second and node, and lines are dropped when nobody reads them", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for i := range lines {
		fmt.Fprintln(t.out, lines[i].tell(lines[0].Time))
	}
	for _, line := range pause(lines, placed) {
		fmt.Fprintln(t.out, line)
	}
	return exitOK
}

const (
	// pauseTold is from which length on a stream's longest pause is looked into.
	pauseTold = 200 * time.Millisecond
	// pauseBefore is how long before a pause the prompts were placed that are told.
	pauseBefore = time.Second
	// pauseMost is how many of them are told, those with the longest prefill.
	pauseMost = 5
)

// pause tells which other prompts were to be prefilled on a stream's engine about the
// time of its longest pause: an engine prefills before it gives the next event.
func pause(lines, placed []logLine) []string {
	end := &lines[len(lines)-1]
	length := end.duration("gap_ms")
	if end.Event != "request_ended" || length < pauseTold {
		return nil
	}
	to := end.Time.Add(end.duration("gap_end_ms") - end.duration("took_ms"))
	from := to.Add(-length)
	var there []logLine
	for _, l := range placed {
		if l.at(end.get("endpoint")) && l.Time.After(from.Add(-pauseBefore)) && l.Time.Before(to) {
			there = append(there, l)
		}
	}
	slices.SortStableFunc(there, func(a, b logLine) int { return cmp.Compare(b.number("prefill_ms"), a.number("prefill_ms")) })
	told := []string{fmt.Sprintf("placed at %s from 1 s before that pause to its end, by the logs given: %d", end.get("endpoint"), len(there))}
	for _, l := range there[:min(len(there), pauseMost)] {
		told = append(told, fmt.Sprintf("    request %s by %s, %s before the pause's end: prefill %s%s", l.Request, l.Node, to.Sub(l.Time).Round(time.Millisecond), l.ms("prefill_ms"), l.helpers()))
	}
	return told
}

func (l *logLine) number(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}

// duration reads a field that holds milliseconds.
func (l *logLine) duration(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond))
}

// at tells whether a placed request is prefilled at an endpoint, as the first or as a
// helper.
func (l *logLine) at(endpoint string) bool {
	return slices.Contains(l.endpoints(), endpoint)
}

// endpoints are those that a placed request is prefilled at, the one that it was sent to
// first.
func (l *logLine) endpoints() []string {
	list := []string{l.get("endpoint")}
	helpers, _ := l.fields["helpers"].([]any)
	for _, helper := range helpers {
		if name, ok := helper.(string); ok {
			list = append(list, name)
		}
	}
	return list
}

// readLog reads the lines of a log. Text before a line's opening brace,
// as collectors of logs put there, is passed over; a file without any JSON line is an
// error.
func readLog(path string) ([]logLine, error) {
	var in io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	var lines []logLine
	known := false
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 {
			continue
		}
		var l logLine
		data := scanner.Bytes()[brace:]
		if json.Unmarshal(data, &l) != nil || l.Event == "" {
			continue
		}
		known = true
		if err := json.Unmarshal(data, &l.fields); err != nil {
			return nil, errors.Wrapf(err, "%s", path)
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	if !known {
		return nil, errors.Errorf("%s: no log lines of a gateway (JSON with an event)", path)
	}
	return lines, nil
}

// tell puts a line into words; times are from start.
func (l *logLine) tell(start time.Time) string {
	return fmt.Sprintf("%10.1f ms  %s  %s", float64(l.Time.Sub(start).Microseconds())/1000, l.Node, l.words())
}

func (l *logLine) words() string {
	switch l.Event {
	case "queue_left":
		return fmt.Sprintf("long prompt: its turn after %s (first token expected after %s; %s others still wait)", l.ms("waited_ms"), l.ms("expected_ms"), l.get("waiting"))
	case "queue_refused":
		return fmt.Sprintf("long prompt: its first token is expected after %s, at most %s is accepted; refused after %s", l.ms("expected_ms"), l.ms("limit_ms"), l.ms("waited_ms"))
	case "capacity_refused":
		return fmt.Sprintf("no room: %s of prefill on each of %s engines, on which %s requests are open, %s of which it would make late", l.ms("prefill_ms"), l.get("engines"), l.get("open"), l.get("harmed"))
	case "placed":
		return fmt.Sprintf("placed at %s of %s, out of %s by the list at revision %s; estimated delay %s, prefill %s%s", l.get("endpoint"), l.get("service"), l.get("candidates"), l.get("at"), l.ms("cost_ms"), l.ms("prefill_ms"), l.helpers())
	case "memory_reserved":
		return fmt.Sprintf("KV cache reserved at %s helpers (%s refused): %s of %s tokens", l.get("helpers"), l.get("refused"), l.get("tokens"), l.get("needed"))
	case "attempt_failed":
		return fmt.Sprintf("%s: %s (%s); then: %s, after %s arrivals", l.get("endpoint"), l.get("outcome"), l.get("error"), l.get("next"), l.get("arrivals"))
	case "caller_lost":
		return "the caller did not take the answer: " + l.get("error")
	case "request_ended":
		return l.ending()
	}
	return l.Event
}

func (l *logLine) helpers() string {
	list, _ := l.fields["helpers"].([]any)
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf(" on each of %d engines", len(list)+1)
}

func (l *logLine) ending() string {
	var b strings.Builder
	code := l.number("code")
	info := result.Lookup(result.Code(code))
	fmt.Fprintf(&b, "ended after %s: %s (%d), HTTP %d", l.ms("took_ms"), info.Name, int(code), info.HTTPStatus)
	if ran := l.get("ran"); ran != "" {
		fmt.Fprintf(&b, "; ran: %s; %s", ran, l.get("detail"))
	}
	if l.get("first_ms") != "" {
		fmt.Fprintf(&b, "; first event after %s, longest pause %s (it ended at %s), %s events", l.ms("first_ms"), l.ms("gap_ms"), l.ms("gap_end_ms"), l.get("events"))
	}
	fmt.Fprintf(&b, "; route %s, configuration %s, prompt of %s tokens", l.get("route"), l.get("config"), l.get("prompt_tokens"))
	return b.String()
}

func (l *logLine) get(name string) string {
	value, found := l.fields[name]
	if !found {
		return ""
	}
	if n, ok := value.(float64); ok {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprint(value)
}

func (l *logLine) ms(name string) string { return l.get(name) + " ms" }
