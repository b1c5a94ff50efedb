package power

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestPlanDistributesByDemand(t *testing.T) {
	is := is.New(t)
	ledger, err := DecodeLedger(nil)
	is.NoErr(err)
	reports := []Report{
		{Endpoint: "a", Incarnation: 1, FloorWatts: 1000, MaxWatts: 5000, WantWatts: 5000, LimitWatts: 1000},
		{Endpoint: "b", Incarnation: 1, FloorWatts: 1000, MaxWatts: 5000, WantWatts: 1500, LimitWatts: 1000},
	}
	next := Plan(ledger, 6000, reports)
	is.Equal(next.Grants["a"].Watts, uint64(4500)) // b can use no more than 1,500 W
	is.Equal(next.Grants["b"].Watts, uint64(1500))
	is.True(Plan(next, 6000, reports) == nil) // no further change
}

// Guards against a site that draws more than its cap. That happens if a decrease is counted
// before it is confirmed: the watts are granted to another endpoint while the first agent does
// not know of the decrease yet.
func TestDecreaseIsCountedUntilConfirmed(t *testing.T) {
	is := is.New(t)
	ledger, err := DecodeLedger(nil)
	is.NoErr(err)
	a := Report{Endpoint: "a", Incarnation: 1, FloorWatts: 1000, MaxWatts: 5000, WantWatts: 5000, LimitWatts: 1000}
	ledger = Plan(ledger, 6000, []Report{a})
	is.Equal(ledger.Grants["a"].Watts, uint64(5000))
	a.LimitWatts, a.Revision = 5000, ledger.Grants["a"].Revision
	b := Report{Endpoint: "b", Incarnation: 1, FloorWatts: 1000, MaxWatts: 5000, WantWatts: 5000, LimitWatts: 1000}
	ledger = Plan(ledger, 6000, []Report{a, b})
	is.Equal(ledger.Grants["a"].Watts, uint64(3000))
	is.Equal(ledger.Grants["b"].Watts, uint64(1000)) // the decrease of a is not confirmed, so its old watts are counted
	is.True(ledger.CountedWatts() <= 6000)
	a.LimitWatts, a.Revision = 3000, ledger.Grants["a"].Revision
	ledger = Plan(ledger, 6000, []Report{a, b})
	is.Equal(ledger.Grants["b"].Watts, uint64(3000))
}

func TestRemovedEndpointReleasesWatts(t *testing.T) {
	is := is.New(t)
	ledger := &Ledger{CapWatts: 5000, Grants: map[string]*Grant{"a": {Watts: 4000, CountedWatts: 4000, FloorWatts: 1000}}}
	silent := Plan(ledger, 5000, []Report{{Endpoint: "a", Silent: true}})
	is.True(silent == nil) // the grant of a silent agent stays
	gone := Plan(ledger, 5000, []Report{{Endpoint: "a", Silent: true, Gone: true}})
	is.Equal(gone.CountedWatts(), uint64(0))
}

// simAgent is a simulated agent with changing numbers of running and wanted sequences.
type simAgent struct {
	limit       *Limit
	incarnation uint64
	running     int
	demand      int
	alive       bool
}

const (
	simSlots = 8
	simFloor = 100
	simMax   = 500
)

func (a *simAgent) worstCaseDraw() uint64 { return a.limit.WorstCaseDraw(a.running) }

func (a *simAgent) report(name string) Report {
	return Report{
		Endpoint: name, Incarnation: a.incarnation, FloorWatts: simFloor, MaxWatts: simMax, WantWatts: a.limit.WorstCaseDraw(a.demand),
		LimitWatts: a.limit.EnforcedWatts(a.running), Revision: a.limit.Revision(), Silent: !a.alive,
	}
}

type grantMessage struct {
	name        string
	incarnation uint64
	revision    uint64
	watts       uint64
}

// TestSiteNeverExceedsItsCap runs two coordinators with stale copies of one ledger, lost and
// outdated reports, grants that are lost, duplicated, delayed and reordered, agents that
// restart while their engine goes on, and changed caps. No endpoint's draw ever exceeds its
// counted watts, and their sum never exceeds the cap reported as in force.
func TestSiteNeverExceedsItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		agents := map[string]*simAgent{}
		for _, name := range names {
			agents[name] = &simAgent{incarnation: 1, alive: true, limit: NewLimit(1, simFloor, simMax, simSlots)}
			agents[name].limit.SetCapped(true)
		}
		stored, err := DecodeLedger(nil)
		if err != nil {
			t.Fatal(err)
		}
		capWatts := uint64(1200)
		reports := map[string]Report{}
		for _, name := range names {
			reports[name] = agents[name].report(name)
		}
		copies := []*Ledger{stored, stored}
		var messages []grantMessage
		agent := func(t *rapid.T) (string, *simAgent) {
			name := rapid.SampledFrom(names).Draw(t, "agent")
			return name, agents[name]
		}
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				name, a := agent(t)
				reports[name] = a.report(name)
			},
			"read": func(t *rapid.T) { copies[rapid.IntRange(0, 1).Draw(t, "coordinator")] = stored },
			"plan": func(t *rapid.T) {
				coordinator := rapid.IntRange(0, 1).Draw(t, "coordinator")
				list := make([]Report, 0, len(reports))
				for _, name := range names {
					list = append(list, reports[name])
				}
				next := Plan(copies[coordinator], capWatts, list)
				if next == nil || copies[coordinator].Revision != stored.Revision {
					return // the compare-and-swap would fail
				}
				stored, copies[coordinator] = next, next
				for name, grant := range next.Grants {
					messages = append(messages, grantMessage{name, grant.Incarnation, grant.Revision, grant.Watts})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(messages) > 0 {
					m := rapid.SampledFrom(messages).Draw(t, "message") // any message, also repeatedly
					agents[m.name].limit.Apply(m.incarnation, m.revision, m.watts)
				}
			},
			"work": func(t *rapid.T) {
				_, a := agent(t)
				a.demand = rapid.IntRange(0, simSlots).Draw(t, "demand")
				if a.demand < a.running || a.running < a.limit.Slots() {
					a.running = min(a.demand, max(a.running, a.limit.Slots()))
				}
			},
			"restart": func(t *rapid.T) {
				_, a := agent(t)
				a.incarnation++
				a.running = 0 // a new agent cancels its predecessor's sequences before its first report
				a.limit = NewLimit(a.incarnation, simFloor, simMax, simSlots)
				a.limit.SetCapped(true)
			},
			"cap": func(t *rapid.T) { capWatts = rapid.Uint64Range(500, 2000).Draw(t, "cap") },
			"": func(t *rapid.T) {
				draw := uint64(0)
				for _, name := range names {
					a := agents[name]
					if a.running > 0 {
						draw += a.worstCaseDraw()
					}
					if g := stored.Grants[name]; g != nil && a.running > 0 && a.worstCaseDraw() > g.CountedWatts {
						t.Fatalf("endpoint %s draws %d W, but the ledger counts %d W", name, a.worstCaseDraw(), g.CountedWatts)
					}
				}
				if draw > stored.CapInForceWatts() {
					t.Fatalf("the site draws %d W, above the cap in force of %d W", draw, stored.CapInForceWatts())
				}
			},
		})
	})
}

func TestLimitRefusesOldAndForeignGrants(t *testing.T) {
	is := is.New(t)
	limit := NewLimit(7, 1000, 5000, 32)
	limit.SetCapped(true)
	is.Equal(limit.Slots(), 0)
	is.True(limit.Apply(7, 4, 3000))
	is.Equal(limit.Slots(), 16)
	is.True(!limit.Apply(7, 3, 5000)) // an older revision
	is.True(!limit.Apply(6, 9, 5000)) // another incarnation
	is.Equal(limit.Slots(), 16)
	is.Equal(fmt.Sprint(limit.EnforcedWatts(20)), "3500") // more sequences run than the grant allows
}
