package losses

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/result"

	"aspenyard.example/bench/days"
)

var day = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return day.Add(time.Duration(seconds * float64(time.Second))) }

// ask is a request for a stream at endpoint e-1 that was served on time.
func ask(id string, began float64, tokens int) Request {
	return Request{ID: id, Route: "short", Began: at(began), Ended: at(began + 1), PromptTokens: tokens, Code: result.OK, First: 100 * time.Millisecond, Endpoint: "e-1"}
}

func part(request, route string, from, to float64, ms int) Part {
	return Part{Request: request, Route: route, Endpoint: "e-1", From: at(from), To: at(to), Prefill: time.Duration(ms) * time.Millisecond}
}

// one makes the account of a single late request, beside one that anchors the start.
func one(q Request, starts []time.Time, parts ...Part) Cause {
	a := New(&Records{Requests: []Request{ask("anchor", 0, 1000), q}, Starts: starts, Parts: parts})
	if len(a.Losses) != 1 {
		return ""
	}
	return a.Losses[0].Cause
}

func TestRequestsAreSortedByWhatTheyWereLostTo(t *testing.T) {
	late := func(how Late, change func(q *Request)) Request {
		q := ask("q", 10, 1000)
		q.Late = how
		if change != nil {
			change(&q)
		}
		return q
	}
	first := func(q *Request) { q.First = time.Second }
	pause := func(q *Request) { q.PauseFrom, q.PauseTo = at(10.2), at(10.6) }
	for name, c := range map[string]struct {
		q      Request
		starts []time.Time
		parts  []Part
		want   Cause
	}{
		"on time":                 {ask("q", 10, 1000), nil, nil, ""},
		"refused":                 {late(OnTime, func(q *Request) { q.Code, q.Refused = 3004, true }), nil, nil, CauseRefused},
		"no configuration":        {late(OnTime, func(q *Request) { q.Code, q.Refused = result.NotReady, true }), nil, nil, CauseNotReady},
		"deadline":                {late(OnTime, func(q *Request) { q.Code = result.DeadlineExceeded }), nil, nil, CauseDeadline},
		"failed":                  {late(OnTime, func(q *Request) { q.Code = 4003 }), nil, nil, CauseFailed},
		"after a start":           {late(LateFirst, first), []time.Time{at(9)}, nil, CauseRestart},
		"long after a start":      {late(LateFirst, first), []time.Time{at(7)}, []Part{part("q", "short", 10, 11, 400)}, CauseFirst},
		"resumed":                 {late(LatePause, func(q *Request) { pause(q); q.Resumed = true }), nil, nil, CauseResumed},
		"held back":               {late(LateFirst, func(q *Request) { first(q); q.Waited = 600 * time.Millisecond }), nil, nil, CauseWaited},
		"not begun":               {late(LateFirst, first), nil, []Part{part("q", "short", 10, 11, 20), part("x", "long", 9, 10.5, 100)}, CauseBlocked},
		"read too late":           {late(LateBoth, first), nil, []Part{part("q", "short", 10, 11, 20), part("x", "long", 9, 10.5, 400)}, CauseFirst},
		"pause":                   {late(LatePause, pause), nil, []Part{part("x", "long", 10.1, 10.5, 300), part("y", "short", 10.1, 10.5, 50), part("z", "long", 11, 12, 900)}, "pause: parts of long"},
		"pause, its own part":     {late(LatePause, pause), nil, []Part{part("q", "short", 10, 10.5, 300)}, causePauseNone},
		"plain service":           {late(LateFirst, func(q *Request) { q.PromptTokens = 0 }), nil, nil, CauseAnswer},
		"nothing that was owed":   {late(OnTime, func(q *Request) { q.Code, q.NotOwed = 2004, true }), nil, nil, ""},
		"its start came after it": {late(LateFirst, first), []time.Time{at(10.5)}, nil, CauseBlocked},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(one(c.q, c.starts, c.parts...), c.want)
		})
	}
}

func TestSharesAreWeighedBySizeAndAddUpBySecond(t *testing.T) {
	is := is.New(t)
	big := ask("b", 2.5, 3000)
	big.Code, big.Refused = 3004, true
	a := New(&Records{Requests: []Request{ask("a", 0, 1000), ask("c", 1, 2000), big}})
	is.Equal(a.Routes, []RouteTotal{{Route: "short", Asked: 3, MeanTokens: 2000, OnTime: 2}})
	is.Equal(len(a.Losses), 1)
	want := (0.3 + 0.7*1.5) / 3
	is.True(a.Losses[0].Share > want-1e-9 && a.Losses[0].Share < want+1e-9)
	is.Equal(len(a.Seconds[CauseRefused]), 3)
	is.True(a.Seconds[CauseRefused][2] > 1.34)
}

func TestPromptsAreDividedBySize(t *testing.T) {
	is := is.New(t)
	r := &Records{Parts: []Part{part("x", "long", 0, 100, 400), {Request: "x", Endpoint: "e-2", From: at(0), To: at(1), Prefill: 200 * time.Millisecond}}}
	for i := range 40 {
		q := ask("q", float64(10+i), 1000*(i+1))
		switch {
		case i >= 38:
			q.Code, q.Refused, q.Refusal = 3004, true, RefusedParts
		case i >= 36:
			q.Code = 4003
		case i >= 32:
			q.Late, q.Waited, q.Expected = LateFirst, 2*time.Second, time.Second
		}
		r.Requests = append(r.Requests, q)
	}
	sizes := New(r).Sizes
	is.Equal(len(sizes), sizeClasses+1)
	first, fifth, tenth := sizes[0], sizes[4], sizes[5]
	is.Equal(first.Name, "fifth 1")
	is.Equal([]int{first.Least, first.Most, first.Asked, first.OnTime}, []int{1000, 8000, 8, 8})
	is.Equal([]int{fifth.Asked, fifth.OnTime, fifth.LateOrResumed, fifth.Refused[RefusedParts], fifth.Failed}, []int{8, 0, 4, 2, 2})
	is.Equal([]time.Duration{fifth.Held, fifth.Expected, fifth.First}, []time.Duration{2 * time.Second, time.Second, 100 * time.Millisecond})
	is.Equal([]int{tenth.Asked, tenth.Refused[RefusedParts], tenth.Failed}, []int{4, 2, 2})
	is.Equal(first.Reading, 0.5)                // one of two engines, by another request
	is.Equal(first.Ahead, 200*time.Millisecond) // 400 ms at one of two
}

func TestThePageIsWritten(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	late := ask("q", 1, 1000)
	late.Late = LateFirst
	a := New(&Records{Requests: []Request{ask("a", 0, 1000), late}})
	is.NoErr(a.Write(dir, "day", &days.Played{Worth: 0.7, Classes: []days.Class{{Name: "kind", Asked: 2}}, Prices: map[string]float64{"orders": 0.01}}))
	page, err := os.ReadFile(filepath.Join(dir, "day.md"))
	is.NoErr(err)
	for _, text := range []string{"Worth 0.700", "| kind | 2 |", "| orders | 0.0100 |", "| short | 2 | 1000 | 1 |"} {
		is.True(strings.Contains(string(page), text))
	}
	_, err = os.Stat(filepath.Join(dir, "day.svg"))
	is.NoErr(err)
	is.True(New(&Records{}).Write(dir, "day", nil) != nil) // nothing to tell
}
