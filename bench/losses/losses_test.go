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

var dayStart = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// testTime is a time of the logged day, in seconds after its start.
func testTime(seconds float64) time.Time {
	return dayStart.Add(time.Duration(seconds * float64(time.Second)))
}

// servedRequest is a request for a stream at endpoint e-1 that was served on time.
func servedRequest(id string, arrivedAt float64, tokens int) Request {
	return Request{ID: id, Route: "short", ArrivedAt: testTime(arrivedAt), EndedAt: testTime(arrivedAt + 1), PromptTokens: tokens, Code: result.OK, TimeToFirstEvent: 100 * time.Millisecond, Endpoint: "e-1"}
}

// part is a prefill part at endpoint e-1 between two times in seconds, with a prefill in ms.
func part(request, route string, from, to float64, ms int) PrefillPart {
	return PrefillPart{RequestID: request, Route: route, Endpoint: "e-1", SentAt: testTime(from), FirstTokenAt: testTime(to), PrefillTime: time.Duration(ms) * time.Millisecond}
}

// causeOf returns the cause that is reported for a request, empty for none. A second request fixes
// the start of the report.
func causeOf(q Request, starts []time.Time, parts ...PrefillPart) Cause {
	report := Analyze(&Records{Requests: []Request{servedRequest("anchor", 0, 1000), q}, ProcessStarts: starts, Parts: parts})
	if len(report.Losses) != 1 {
		return ""
	}
	return report.Losses[0].Cause
}

func TestRequestsAreClassifiedByCause(t *testing.T) {
	late := func(how Lateness, change func(q *Request)) Request {
		q := servedRequest("q", 10, 1000)
		q.Late = how
		if change != nil {
			change(&q)
		}
		return q
	}
	first := func(q *Request) { q.TimeToFirstEvent = time.Second }
	pause := func(q *Request) { q.PauseStart, q.PauseEnd = testTime(10.2), testTime(10.6) }
	for name, c := range map[string]struct {
		q      Request
		starts []time.Time
		parts  []PrefillPart
		want   Cause
	}{
		"on time":               {servedRequest("q", 10, 1000), nil, nil, ""},
		"refused":               {late(OnTime, func(q *Request) { q.Code, q.Refused = 3004, true }), nil, nil, CauseRefused},
		"no configuration":      {late(OnTime, func(q *Request) { q.Code, q.Refused = result.NotReady, true }), nil, nil, CauseNotReady},
		"deadline":              {late(OnTime, func(q *Request) { q.Code = result.DeadlineExceeded }), nil, nil, CauseDeadline},
		"failed":                {late(OnTime, func(q *Request) { q.Code = 4003 }), nil, nil, CauseFailed},
		"after a start":         {late(LateFirst, first), []time.Time{testTime(9)}, nil, CauseRestart},
		"long after a start":    {late(LateFirst, first), []time.Time{testTime(7)}, []PrefillPart{part("q", "short", 10, 11, 400)}, CauseSlowPrefill},
		"resumed":               {late(LatePause, func(q *Request) { pause(q); q.Resumed = true }), nil, nil, CauseResumed},
		"queued":                {late(LateFirst, func(q *Request) { first(q); q.QueueTime = 600 * time.Millisecond }), nil, nil, CauseQueued},
		"not started":           {late(LateFirst, first), nil, []PrefillPart{part("q", "short", 10, 11, 20), part("x", "long", 9, 10.5, 100)}, CauseNotStarted},
		"slow prefill":          {late(LateBoth, first), nil, []PrefillPart{part("q", "short", 10, 11, 20), part("x", "long", 9, 10.5, 400)}, CauseSlowPrefill},
		"pause":                 {late(LatePause, pause), nil, []PrefillPart{part("x", "long", 10.1, 10.5, 300), part("y", "short", 10.1, 10.5, 50), part("z", "long", 11, 12, 900)}, "pause: parts of long"},
		"pause, its own part":   {late(LatePause, pause), nil, []PrefillPart{part("q", "short", 10, 10.5, 300)}, causePauseUnknown},
		"plain service":         {late(LateFirst, func(q *Request) { q.PromptTokens = 0 }), nil, nil, CauseLateResponse},
		"excluded":              {late(OnTime, func(q *Request) { q.Code, q.Excluded = 2004, true }), nil, nil, ""},
		"process started later": {late(LateFirst, first), []time.Time{testTime(10.5)}, nil, CauseNotStarted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(causeOf(c.q, c.starts, c.parts...), c.want)
		})
	}
}

func TestLossSharesAreWeightedBySizeAndSummedBySecond(t *testing.T) {
	is := is.New(t)
	big := servedRequest("b", 2.5, 3000)
	big.Code, big.Refused = 3004, true
	report := Analyze(&Records{Requests: []Request{servedRequest("a", 0, 1000), servedRequest("c", 1, 2000), big}})
	is.Equal(report.Routes, []RouteTotal{{Route: "short", Requests: 3, MeanPromptTokens: 2000, OnTime: 2}})
	is.Equal(len(report.Losses), 1)
	want := (0.3 + 0.7*1.5) / 3
	is.True(report.Losses[0].Share > want-1e-9 && report.Losses[0].Share < want+1e-9)
	is.Equal(len(report.LossBySecond[CauseRefused]), 3)
	is.True(report.LossBySecond[CauseRefused][2] > 1.34)
}

func TestPromptsAreGroupedBySize(t *testing.T) {
	is := is.New(t)
	r := &Records{Parts: []PrefillPart{part("x", "long", 0, 100, 400), {RequestID: "x", Endpoint: "e-2", SentAt: testTime(0), FirstTokenAt: testTime(1), PrefillTime: 200 * time.Millisecond}}}
	for i := range 40 {
		q := servedRequest("q", float64(10+i), 1000*(i+1))
		switch {
		case i >= 38:
			q.Code, q.Refused, q.RefusalReason = 3004, true, RefusedLongParts
		case i >= 36:
			q.Code = 4003
		case i >= 32:
			q.Late, q.QueueTime, q.ExpectedFirstToken = LateFirst, 2*time.Second, time.Second
		}
		r.Requests = append(r.Requests, q)
	}
	sizes := Analyze(r).SizeClasses
	is.Equal(len(sizes), sizeClassCount+1)
	first, fifth, tenth := sizes[0], sizes[4], sizes[5]
	is.Equal(first.Name, "fifth 1")
	is.Equal([]int{first.MinTokens, first.MaxTokens, first.Requests, first.OnTime}, []int{1000, 8000, 8, 8})
	is.Equal([]int{fifth.Requests, fifth.OnTime, fifth.LateOrResumed, fifth.Refused[RefusedLongParts], fifth.Failed}, []int{8, 0, 4, 2, 2})
	is.Equal([]time.Duration{fifth.QueueTime, fifth.ExpectedFirstToken, fifth.TimeToFirstEvent}, []time.Duration{2 * time.Second, time.Second, 100 * time.Millisecond})
	is.Equal([]int{tenth.Requests, tenth.Refused[RefusedLongParts], tenth.Failed}, []int{4, 2, 2})
	is.Equal(first.PrefillingShare, 0.5)                 // one of two engines, by another request
	is.Equal(first.PendingPrefill, 200*time.Millisecond) // 400 ms at one of two
}

func TestWriteCreatesPageAndPlot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	late := servedRequest("q", 1, 1000)
	late.Late = LateFirst
	report := Analyze(&Records{Requests: []Request{servedRequest("a", 0, 1000), late}})
	is.NoErr(report.Write(dir, "day", &days.DayReport{Worth: 0.7, Classes: []days.Class{{Name: "kind", Requests: 2}}, Prices: map[string]float64{"orders": 0.01}}))
	page, err := os.ReadFile(filepath.Join(dir, "day.md"))
	is.NoErr(err)
	for _, text := range []string{"Worth 0.700", "| kind | 2 |", "| orders | 0.0100 |", "| short | 2 | 1000 | 1 |"} {
		is.True(strings.Contains(string(page), text))
	}
	_, err = os.Stat(filepath.Join(dir, "day.svg"))
	is.NoErr(err)
	is.True(Analyze(&Records{}).Write(dir, "day", nil) != nil) // no request counts
}
