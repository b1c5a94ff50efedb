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
	Request string   `arg:"positional,required" placeholder:"ID" help:"ID of the request"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"logs of one or more processes, JSON lines; - for standard input"`
}

// logLine is one event in a gateway's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	// fields holds all fields of the line by name.
	fields map[string]any
}

// maxLogLine is the longest line that a log may have, in bytes. A longer one is an error.
const maxLogLine = 1 << 20

func (c *explainCommand) run(t terminal) int {
	var lines, placed, events []logLine
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
			case l.Request == "":
				events = append(events, l)
			}
		}
	}
	if len(lines) == 0 {
		return t.failf("no lines for request %q: each node logs at most 20 successful requests per second, and drops lines that are not read in time", c.Request)
	}
	for _, list := range [][]logLine{lines, events} {
		slices.SortStableFunc(list, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	}
	for i := range lines {
		fmt.Fprintln(t.out, lines[i].format(lines[0].Time))
	}
	for _, line := range append(describeState(lines, events), describePause(lines, placed)...) {
		fmt.Fprintln(t.out, line)
	}
	return exitOK
}

// What describePause reports.
const (
	// minDescribedPause is the shortest pause of a stream that is analysed.
	minDescribedPause = 200 * time.Millisecond
	// placedBeforePause is how long before the start of a pause a prompt may have been
	// placed to be listed as a possible cause. The printed text names it as 1 s.
	placedBeforePause = time.Second
	// maxDescribedPlacements is the number of prompts that are listed at most, those with
	// the longest prefill.
	maxDescribedPlacements = 5
)

// describePause lists the prompts that were placed on a stream's engine around the time of
// the stream's longest pause. They may have caused it: an engine prefills before it sends the
// next event of its streams.
func describePause(lines, placed []logLine) []string {
	end := &lines[len(lines)-1]
	length := end.duration("gap_ms")
	if end.Event != "request_ended" || length < minDescribedPause {
		return nil
	}
	to := end.Time.Add(end.duration("gap_end_ms") - end.duration("took_ms"))
	from := to.Add(-length)
	var placedNear []logLine
	for _, l := range placed {
		if l.prefillsAt(end.text("endpoint")) && l.Time.After(from.Add(-placedBeforePause)) && l.Time.Before(to) {
			placedNear = append(placedNear, l)
		}
	}
	slices.SortStableFunc(placedNear, func(a, b logLine) int { return cmp.Compare(b.number("prefill_ms"), a.number("prefill_ms")) })
	output := []string{fmt.Sprintf("prompts placed at %s from 1 s before that pause to its end, according to these logs: %d", end.text("endpoint"), len(placedNear))}
	for _, l := range placedNear[:min(len(placedNear), maxDescribedPlacements)] {
		output = append(output, fmt.Sprintf("    request %s of %s, placed %s before the pause's end: prefill %s%s", l.Request, l.Node, to.Sub(l.Time).Round(time.Millisecond), l.milliseconds("prefill_ms"), l.helperCountText()))
	}
	return output
}

// number returns a numeric field; 0 if it is missing.
func (l *logLine) number(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}

// duration returns a field that holds milliseconds; 0 if it is missing.
func (l *logLine) duration(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond))
}

// prefillsAt reports whether a placed request was to be prefilled at an endpoint, be it the
// one that the request is sent to or a helper.
func (l *logLine) prefillsAt(endpoint string) bool {
	return slices.Contains(l.endpoints(), endpoint)
}

// endpoints returns the endpoints where a placed request was to be prefilled: the one that
// it is sent to, followed by the helpers.
func (l *logLine) endpoints() []string {
	list := []string{l.text("endpoint")}
	helpers, _ := l.fields["helpers"].([]any)
	for _, helper := range helpers {
		if name, ok := helper.(string); ok {
			list = append(list, name)
		}
	}
	return list
}

// readLog reads a gateway's log; path - stands for standard input. Text before a line's
// opening brace, as log collectors add it, and lines without an event are ignored. A log
// without any event is an error.
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
	found := false
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
		found = true
		if err := json.Unmarshal(data, &l.fields); err != nil {
			return nil, errors.Wrapf(err, "%s", path)
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	if !found {
		return nil, errors.Errorf("%s: no log lines of a gateway (JSON objects with an event)", path)
	}
	return lines, nil
}

// format returns the line for the output, with its time since start.
func (l *logLine) format(start time.Time) string {
	return fmt.Sprintf("%10.1f ms  %s  %s", float64(l.Time.Sub(start).Microseconds())/1000, l.Node, l.describe())
}

// attemptEnds are the texts for what ended an attempt, if it was not the endpoint.
var attemptEnds = map[string]string{
	"deadline": ", ended by the request's deadline", "caller": ", as the caller disconnected", "stop": ", given up as this node shuts down",
}

// describe returns a sentence about the event.
func (l *logLine) describe() string {
	switch l.Event {
	case "queue_left":
		return fmt.Sprintf("long prompt: left the queue after %s (first token expected after %s; %s others still waiting)", l.milliseconds("waited_ms"), l.milliseconds("expected_ms"), l.text("waiting"))
	case "queue_refused":
		return fmt.Sprintf("long prompt: first token expected after %s, target %s; refused after %s", l.milliseconds("expected_ms"), l.milliseconds("limit_ms"), l.milliseconds("waited_ms"))
	case "capacity_refused":
		return fmt.Sprintf("refused for lack of capacity: %s of prefill on each of %s engines, which have %s open requests, %s of which it would make late", l.milliseconds("prefill_ms"), l.text("engines"), l.text("open"), l.text("harmed"))
	case "placed":
		return fmt.Sprintf("placed at %s of service %s, one of %s candidates in the list at revision %s%s; estimated delay %s, prefill %s%s", l.text("endpoint"), l.text("service"), l.text("candidates"), l.text("at"), l.eraText(), l.milliseconds("cost_ms"), l.milliseconds("prefill_ms"), l.helperCountText())
	case "memory_reserved":
		return fmt.Sprintf("KV cache reserved at %s helpers (%s refused): %s of %s tokens", l.text("helpers"), l.text("refused"), l.text("tokens"), l.text("needed"))
	case "attempt_failed":
		return fmt.Sprintf("attempt at %s failed: %s (%s)%s; next: %s, endpoints reached so far: %s", l.text("endpoint"), l.text("outcome"), l.text("error"), attemptEnds[l.text("ended_by")], l.text("next"), l.text("arrivals"))
	case "send_withheld":
		return fmt.Sprintf("not sent by that plan, %s after it was made: %s (endpoint %s, by the list at revision %s%s)", l.milliseconds("placed_ms"), l.text("reason"), cmp.Or(l.text("endpoint"), "any"), l.text("at"), l.eraText())
	case "sent_to_limited":
		return fmt.Sprintf("%s states a limit of requests per second; the request uses this node's share of it", l.text("endpoint"))
	case "limit_refused":
		return fmt.Sprintf("refused at once: all %s endpoints of service %s that are left state limits, which are used up or kept for requests more urgent than priority %s", l.text("endpoints"), l.text("service"), l.text("priority"))
	case "backoff_refused":
		return fmt.Sprintf("refused at once: all %s endpoints of service %s have refused requests and want no others for a time; the caller is told to come back after %s", l.text("endpoints"), l.text("service"), l.milliseconds("retry_after_ms"))
	case "evacuated_refused":
		return fmt.Sprintf("refused at once: all %s endpoints of service %s that take requests are in data centres that are evacuated: %s", l.text("endpoints"), l.text("service"), l.listText("data_centres"))
	case "not_admitted":
		return fmt.Sprintf("refused at once: capacity of service %s is scarce, and %s of 100 requests of tier %s are admitted; up to this tier callers ask for %s ms of engine time a second, %s ms are given out", l.text("service"), l.percentage("share"), l.text("tier"), l.text("offered"), l.text("capacity"))
	case "return_recognised":
		return l.describeReturn()
	case "return_promised":
		return fmt.Sprintf("the caller is told to return after %s: the cause (%s) may end after %s, and returns are spread over the capacity that is left for tier %s", l.milliseconds("retry_after_ms"), l.text("cause"), l.milliseconds("earliest_ms"), l.text("tier"))
	case "regions_refused":
		return fmt.Sprintf("refused at once: none of %s endpoints of service %s is in a region that the route and the client account allow (%s)", l.text("endpoints"), l.text("service"), l.text("allowed"))
	case "sent_to_cold":
		return fmt.Sprintf("%s or one of its %s helpers warms up; the request uses this node's share of what they tolerate", l.text("endpoint"), l.text("helpers"))
	case "cold_refused":
		return fmt.Sprintf("refused at once: all %s endpoints of service %s that are left warm up, and this node's share of what they tolerate is used up or kept for requests more urgent than priority %s; the caller is told to come back after %s", l.text("endpoints"), l.text("service"), l.text("priority"), l.milliseconds("retry_after_ms"))
	case "no_endpoint":
		return fmt.Sprintf("refused at once: no endpoint of service %s takes requests; %s are leaving", l.text("service"), l.text("leaving"))
	case "entry_full":
		if _, pressed := l.fields["pressure"]; pressed {
			return l.describePressure()
		}
		return fmt.Sprintf("refused before its body was read: %s bytes more than the %s of %s that the entry holds for callers; rank %s", l.text("bytes"), l.text("held_bytes"), l.text("bound_bytes"), fmt.Sprint(l.number("rank")))
	case "caller_cut":
		return fmt.Sprintf("the caller was cut off because it is too slow (%s), with %s bytes unwritten", l.text("reason"), l.text("unwritten_bytes"))
	case "endpoint_crashed":
		return fmt.Sprintf("%s crashed while it ran the request (fingerprint %s; endpoints crashed under copies of it: %s); parts of its prompt that others share: %s", l.text("endpoint"), l.text("fingerprint"), l.text("crashes"), cmp.Or(l.listText("parts"), "none"))
	case "quarantine_refused":
		return fmt.Sprintf("refused: endpoints crashed under copies of the request (fingerprint %s), for another %s", l.text("fingerprint"), l.milliseconds("left_ms"))
	case "part_refused":
		return fmt.Sprintf("refused: endpoints crashed under part %s of its prompt (identifier %s), for another %s", l.text("name"), l.text("part"), l.milliseconds("left_ms"))
	case "part_tried":
		return fmt.Sprintf("sent once although endpoints crashed under a part of its prompt (identifier %s), to find out whether it is the cause", l.text("part"))
	case "caller_lost":
		return "the caller did not accept the response: " + l.text("error")
	case "request_ended":
		return l.describeEnd()
	}
	return l.Event
}

// describePressure returns a sentence about a request that an entry refused for lack of a resource of its own.
func (l *logLine) describePressure() string {
	asked := fmt.Sprintf("%.2f times what it has", l.number("pressure"))
	switch resource := l.text("resource"); {
	case l.number("bytes") > 0:
		return fmt.Sprintf("refused before its body was read: %s bytes could not arrive through the entry's link within a third of the remaining time; %s is asked for", l.text("bytes"), asked)
	case resource == "descriptors" || resource == "memory":
		return fmt.Sprintf("refused because callers have more connections than the entry's %s allow: %s", resource, asked)
	default:
		return fmt.Sprintf("refused before its body was read: the entry itself is short of %s: %s is asked for; rank %s", resource, asked, fmt.Sprint(l.number("rank")))
	}
}

// describeReturn returns a sentence about a request that was refused before.
func (l *logLine) describeReturn() string {
	switch l.text("state") {
	case "on_time":
		return "the caller was refused before and returns when it was told to: the request goes before new ones of its tier"
	case "early":
		return fmt.Sprintf("the caller was refused before and returns %s too early: no precedence, and a refusal confirms its time", l.milliseconds("left_ms"))
	}
	return "the caller was refused before and returns long after its time: no precedence"
}

// helperCountText names the number of engines of a placed request with helpers; it is empty
// without helpers.
func (l *logLine) helperCountText() string {
	list, _ := l.fields["helpers"].([]any)
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf(" on each of %d engines", len(list)+1)
}

// describeEnd returns a sentence about the end of a request.
func (l *logLine) describeEnd() string {
	var b strings.Builder
	code := l.number("code")
	info := result.Lookup(result.Code(code))
	fmt.Fprintf(&b, "ended after %s: %s (%d), HTTP %d", l.milliseconds("took_ms"), info.Name, int(code), info.HTTPStatus)
	if ran := l.text("ran"); ran != "" {
		fmt.Fprintf(&b, "; ran: %s; %s", ran, l.text("detail"))
	}
	if l.text("first_ms") != "" {
		fmt.Fprintf(&b, "; first event after %s, longest pause %s (ending at %s), %s events", l.milliseconds("first_ms"), l.milliseconds("gap_ms"), l.milliseconds("gap_end_ms"), l.text("events"))
	}
	fmt.Fprintf(&b, "; route %s, configuration %s, prompt of %s tokens", l.text("route"), l.text("config"), l.text("prompt_tokens"))
	return b.String()
}

// eraText returns the era of the line's revision as part of a sentence; "" for a store that states none.
func (l *logLine) eraText() string {
	if era := l.text("era"); era != "" && era != "0" {
		return " of era " + era
	}
	return ""
}

// text returns a field as text, a number without its fraction; "" if it is missing.
func (l *logLine) text(name string) string {
	value, found := l.fields[name]
	if !found {
		return ""
	}
	if n, ok := value.(float64); ok {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprint(value)
}

// listText returns a field that holds a list of texts, separated by commas.
func (l *logLine) listText(name string) string {
	list, _ := l.fields[name].([]any)
	texts := make([]string, 0, len(list))
	for _, item := range list {
		texts = append(texts, fmt.Sprint(item))
	}
	return strings.Join(texts, ", ")
}

// percentage returns a field that holds a fraction as a percentage, without the sign.
func (l *logLine) percentage(name string) string {
	return fmt.Sprintf("%.0f", 100*l.number(name))
}

// milliseconds returns a field that holds milliseconds as text, with its unit.
func (l *logLine) milliseconds(name string) string { return l.text(name) + " ms" }
