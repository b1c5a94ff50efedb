package explore

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"aspenyard.example/explore/plan"
)

// timelineRequests bounds the requests of a timeline: those that the findings are about come first.
const timelineRequests = 4

type line struct {
	at   time.Duration
	text string
}

// WriteTimeline writes what happened in a failure, and its findings, in the order of time.
func WriteTimeline(out io.Writer, f *Failure) {
	s := &f.Case.Setting
	fmt.Fprintf(out, "seed %d: %d gateways, endpoints: %d plain, %d streams, %d engines; %d attempts, timeout %d ms, drain %d ms, %d events of a stream each %d ms, work %d ms, pages of %d\n",
		f.Case.Seed, s.Gateways, s.Plain, s.Streams, s.Engines, s.MaxAttempts, s.TimeoutMS, s.DrainMS, s.StreamEvents, s.IntervalMS, s.WorkMS, s.PageItems)
	lines := eventLines(f.Case)
	shown := shownRequests(f)
	offset := func(at time.Time) time.Duration { return at.Sub(f.Record.Began) }
	for _, r := range f.Record.Requests {
		if !slices.Contains(shown, r.ID) {
			continue
		}
		lines = append(lines, line{offset(r.SentAt), fmt.Sprintf("caller: %s (%s) is sent to g%d, time limit %v", r.ID, r.Route.Name, r.Gateway+1, r.Deadline)})
		lines = append(lines, line{offset(r.EndedAt), fmt.Sprintf("caller: %s ends: status %d, whole %t, %d bytes, caller left %t", r.ID, r.Status, r.Complete, r.Received, r.Left)})
	}
	for _, a := range f.Record.Arrivals {
		if !slices.Contains(shown, a.ID) {
			continue
		}
		lines = append(lines, line{offset(a.At), fmt.Sprintf("%s (%s): %s arrives, runs %t, status %d, breaks off %t", a.Endpoint, a.Service, a.ID, a.Ran, a.Status, a.BrokeOff)})
		if !a.EndedAt.IsZero() {
			lines = append(lines, line{offset(a.EndedAt), fmt.Sprintf("%s: the run of %s ends", a.Endpoint, a.ID)})
		}
	}
	for id, at := range f.Record.LeftAt {
		lines = append(lines, line{offset(at), "store: " + id + " leaves or is gone"})
	}
	for id, at := range f.Record.ExitedAt {
		lines = append(lines, line{offset(at), id + " has exited"})
	}
	for i, g := range f.Record.Gateways {
		if !g.EndedAt.IsZero() {
			lines = append(lines, line{offset(g.EndedAt), fmt.Sprintf("g%d has ended", i+1)})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	for _, l := range lines {
		fmt.Fprintf(out, "%8.3f %s\n", l.at.Seconds(), l.text)
	}
	for _, finding := range f.Findings {
		fmt.Fprintf(out, "%s\n", finding)
	}
}

// shownRequests returns the requests that a timeline shows.
func shownRequests(f *Failure) []string {
	var ids []string
	for _, finding := range f.Findings {
		ids = append(ids, finding.Requests...)
	}
	for _, r := range f.Record.Requests {
		ids = append(ids, r.ID)
	}
	var shown []string
	for _, id := range ids {
		if !slices.Contains(shown, id) && len(shown) < timelineRequests {
			shown = append(shown, id)
		}
	}
	return shown
}

// eventLines describes the events of a case.
func eventLines(c *plan.Case) []line {
	var lines []line
	for _, e := range c.Events {
		var words []string
		switch kind := string(e.Kind); {
		case e.Call != nil:
			words = append(words, fmt.Sprintf("%d x %s to g#%d, %d ms apart, reads %s, sends %s", e.Call.Count, e.Call.Route, e.Gateway, e.Call.GapMS, e.Call.Reading, e.Call.Sending))
		case strings.HasPrefix(kind, "gateway-"):
			words = append(words, fmt.Sprintf("g#%d", e.Gateway))
		case strings.HasPrefix(kind, "endpoint-"):
			words = append(words, fmt.Sprintf("endpoint #%d", e.Endpoint))
		}
		if e.Text != "" {
			words = append(words, e.Text)
		}
		if e.Count > 0 {
			words = append(words, fmt.Sprintf("(%d)", e.Count))
		}
		if e.ForMS > 0 {
			words = append(words, fmt.Sprintf("for %d ms", e.ForMS))
		}
		lines = append(lines, line{time.Duration(e.AtMS) * time.Millisecond, fmt.Sprintf("EVENT %s %s", e.Kind, strings.Join(words, " "))})
	}
	return lines
}

// Keep writes the case of a failure to a file, from which it can be played again.
func Keep(f *Failure, file string) error {
	kept := *f.Case
	kept.Rules, kept.Note = f.rules(), f.Findings[0].Detail
	return kept.Save(file)
}
