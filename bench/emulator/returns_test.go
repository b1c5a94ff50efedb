package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// herdSite is a site whose engines are all gone for two seconds while the callers of short prompts
// send four times as much.
func herdSite(seed uint64, entries int) *Config {
	c := statementSite(seed, entries)
	c.Duration = 14 * time.Second
	c.LoadChanges = []LoadChange{{3 * time.Second, []float64{4, 1}}, {9 * time.Second, []float64{1, 1}}}
	c.Callers = &Callers{
		Deadline: 10 * time.Second, Impatient: 0.2, InFlight: 1,
		Outages: []EngineOutage{{From: 4 * time.Second, To: 6 * time.Second, Engines: c.Engines}},
	}
	return c
}

// engineLossSite is a site that loses nine tenths of its engines for two seconds, and half of them later
// while all callers send more.
func engineLossSite(seed uint64, entries int) *Config {
	c := statementSite(seed, entries)
	c.LoadChanges = []LoadChange{{8 * time.Second, []float64{3, 3}}, {12 * time.Second, []float64{1, 1}}}
	c.Callers = &Callers{
		Deadline: 10 * time.Second, Impatient: 0.2, InFlight: 1,
		Outages: []EngineOutage{{From: 3 * time.Second, To: 5 * time.Second, Engines: c.Engines * 9 / 10}, {From: 8 * time.Second, To: 12 * time.Second, Engines: c.Engines / 2}},
	}
	return c
}

// Guards against callers that are refused, return as they were told and are refused again. With -v it
// logs the figures of several ways to tell the time on the same loads.
func TestRefusedCallersReturnWhenTheyAreServed(t *testing.T) {
	entryCounts := []int{4, 25}
	if testing.Verbose() {
		entryCounts = append(entryCounts, 68)
	}
	sites := map[string]func(uint64, int) *Config{"herd": herdSite, "scarcity": engineLossSite}
	for _, site := range []string{"herd", "scarcity"} {
		for _, entries := range entryCounts {
			again := map[Advice]int{}
			for _, advice := range []Advice{ConstantAdvice, RandomAdvice, ScheduleAdvice} {
				config := sites[site](1, entries)
				config.Callers.Advice = advice
				_, results := SimulateReturns(config)
				for _, r := range results {
					again[advice] += r.RefusedAgain
					t.Logf("%-8s %2d entries %-8s %-6s: %5d callers, %5d refused, %5d again; served %.3f, on time %.3f; %4d of %4d impatient served", site, entries, advice, r.Kind,
						r.Callers, r.Refused, r.RefusedAgain, float64(r.Served)/float64(r.Callers), float64(r.OnTime)/float64(r.Callers), r.ImpatientServed, r.Impatient)
				}
			}
			is := is.New(t)
			is.True(again[ScheduleAdvice] < again[ConstantAdvice])
		}
	}
}
