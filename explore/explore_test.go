package explore

import (
	"bytes"
	"context"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
)

// failsWith returns a player for which a case breaks a rule if it has all of the kinds, and another rule otherwise.
func failsWith(kinds ...plan.Kind) player {
	return func(_ context.Context, c *plan.Case) ([]oracle.Finding, *oracle.Record) {
		for _, kind := range kinds {
			if !slices.ContainsFunc(c.Events, func(e plan.Event) bool { return e.Kind == kind }) {
				return []oracle.Finding{{Rule: "LOST"}}, &oracle.Record{}
			}
		}
		return []oracle.Finding{{Rule: "MIXED"}}, &oracle.Record{}
	}
}

// Guards against a reduction that keeps events which do not matter, loses one that does, or ends at another fault.
func TestAFailureIsReducedToTheEventsThatItNeeds(t *testing.T) {
	is := is.New(t)
	kinds := []plan.Kind{plan.EndpointDrains, plan.GatewayStops, plan.Request}
	reduced := 0
	for seed := range uint64(2000) {
		c := plan.Draw(seed, nil)
		p := failsWith(kinds...)
		findings, record := p(context.Background(), c)
		if findings[0].Rule != "MIXED" {
			continue
		}
		reduced++
		before := len(c.Events)
		f := reduce(context.Background(), &Failure{Case: c, Record: record, Findings: findings}, time.Minute, 4, p)
		is.Equal(len(f.Case.Events), len(kinds))
		is.NoErr(f.Case.Validate())
		is.Equal(f.Findings[0].Rule, "MIXED")
		is.Equal(len(c.Events), before) // the case that was found stays as it is
		for _, e := range f.Case.Events {
			is.True(e.Call == nil || e.Call.Count == 1)
		}
	}
	is.True(reduced > 0)
}

// Guards against settings that are taken for others.
func TestBadSettingsAreRefusedByName(t *testing.T) {
	for name, spoil := range map[string]func(s *Settings){
		"for": func(s *Settings) { s.Duration = 0 }, "cases": func(s *Settings) { s.Cases = -1 }, "parallel": func(s *Settings) { s.Parallel = 0 },
		"memory": func(s *Settings) { s.MemoryBytes = 1 }, "reduce": func(s *Settings) { s.ReduceFor = -1 }, "stop-after": func(s *Settings) { s.StopAfter = -1 },
		"kinds": func(s *Settings) { s.Kinds = []plan.Kind{"earthquake"} }, "rules": func(s *Settings) { s.Rules = []string{"HASTE"} },
	} {
		s := Settings{Duration: time.Minute, Parallel: 1, MemoryBytes: minMemoryBytes}
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		spoil(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a coverage that counts requests that have ended, or not those that wait.
func TestWaitsFollowFromWhatWasSeen(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	r := &oracle.Request{SentAt: at(100), FirstByteAt: at(400), EndedAt: at(800)}
	arrivals := []*oracle.Arrival{{At: at(200), EndedAt: at(250)}, {At: at(300), EndedAt: at(600), Ran: true}}
	for ms, want := range map[int][]Wait{50: {WaitSending}, 150: {WaitPlace}, 260: {WaitPlace}, 350: {WaitResponse, WaitResent}, 500: {WaitStream, WaitResent}, 700: {WaitTaken, WaitResent}, 900: nil} {
		is.Equal(waitsAt(r, arrivals, at(ms)), want)
	}
}

// Guards against gateways that break a rule in an order of events that once was found to break it, or that shows each part
// of the world at work.
func TestTheKeptCasesBreakNoRule(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatal("no kept cases", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, err := plan.Load(file)
			is.NoErr(err)
			failures, err := Replay(context.Background(), c, 1, io.Discard)
			is.NoErr(err)
			if len(failures) > 0 {
				var timeline bytes.Buffer
				WriteTimeline(&timeline, failures[0])
				t.Error(timeline.String())
			}
		})
	}
}

// shortCases is the number of cases of the short search, which begins at shortSeed.
const (
	shortCases = 40
	shortSeed  = 20261205
)

// Guards against gateways that break a rule in orders of events drawn from a fixed seed. Rules with a time bound are not
// judged on a machine that is busy.
func TestAShortSearchFindsNothing(t *testing.T) {
	is := is.New(t)
	result, err := Search(context.Background(), Settings{Seed: shortSeed, Duration: time.Hour, Cases: shortCases, Parallel: shortCases, MemoryBytes: 1 << 30})
	is.NoErr(err)
	is.NoErr(result.FirstError)
	is.Equal(result.Cases, shortCases)
	for _, f := range result.Failures {
		var timeline bytes.Buffer
		WriteTimeline(&timeline, f)
		t.Error(timeline.String())
	}
}
