package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testEngines are engines of customer A at normal speed with the given share of their slots in use.
func testEngines(count int, use float64) func() []EngineState {
	return func() []EngineState {
		list := make([]EngineState, count)
		for i := range list {
			list[i] = EngineState{Slowdown: 1, Slots: 12, InFlight: int(12 * use)}
		}
		return list
	}
}

func shortArrival(account string) *Arrival {
	return &Arrival{Service: "m", Tier: TierOf(1, 0), Account: account, Kind: "short", Cost: 160 * time.Millisecond, Prefill: 20 * time.Millisecond, Slack: 150 * time.Millisecond}
}

func longArrival(account string) *Arrival {
	return &Arrival{Service: "m", Tier: TierOf(1, 2), Account: account, Kind: "long", Cost: 5 * time.Second, Prefill: 5 * time.Second, Slack: 8 * time.Second}
}

// cluster is a number of controllers that exchange reports, some of which are lost or late.
type cluster struct {
	rand    *rand.Rand
	now     time.Time
	entries []*Controller
	loss    float64
	delay   time.Duration
	pending []pendingReport
	// memory is the KV cache of each engine, used like its slots; 0: not known.
	memory int
	// offered and admitted count requests by kind and account since the last reset.
	offered, admitted map[string]float64
}

type pendingReport struct {
	at    time.Time
	from  int
	loads []TierLoad
	full  bool
}

func newCluster(n int) *cluster {
	c := &cluster{rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	for i := range n {
		entry := NewController(DefaultControllerConfig(), fmt.Sprint(i))
		entry.SetEntries(n)
		c.entries = append(c.entries, entry)
	}
	c.reset()
	return c
}

func (c *cluster) reset() { c.offered, c.admitted = map[string]float64{}, map[string]float64{} }

// share is the share of a kind's and account's requests that was admitted since the last reset.
func (c *cluster) share(key string) float64 { return c.admitted[key] / max(c.offered[key], 1) }

// engines returns engines with the given share of their slots and memory in use.
func (c *cluster) engines(use float64) func() []EngineState {
	return func() []EngineState {
		list := testEngines(60, use)()
		for i := range list {
			list[i].KVCacheTokens, list[i].MemoryTokens = c.memory, int(use*float64(c.memory))
		}
		return list
	}
}

const clusterStep = 10 * time.Millisecond

// load is the mean number of arrivals a second.
type load struct {
	arrival   *Arrival
	perSecond float64
}

// run offers load for a time.
func (c *cluster) run(duration time.Duration, use float64, load ...load) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(clusterStep) {
		c.exchange()
		for _, l := range load {
			a := l.arrival
			for arrivals := l.perSecond * clusterStep.Seconds(); arrivals > 0; arrivals-- {
				if arrivals < 1 && c.rand.Float64() >= arrivals {
					break
				}
				entry := c.entries[c.rand.IntN(len(c.entries))]
				key := a.Kind + "/" + a.Account
				c.offered[key]++
				if entry.Admit(c.now, a, c.engines(use)).Admitted {
					c.admitted[key]++
					entry.Started(c.now, a.Service, a.Tier, false)
				}
			}
		}
	}
}

// exchange sends the entries' reports each 100 ms and delivers those that are due.
func (c *cluster) exchange() {
	if c.now.UnixMilli()%100 == 0 {
		for i, e := range c.entries {
			delay := time.Millisecond + time.Duration(c.rand.Float64()*float64(c.delay))
			full := c.now.UnixMilli()%1000 == 0
			c.pending = append(c.pending, pendingReport{c.now.Add(delay), i, e.Reports(c.now, full), full})
		}
	}
	var later []pendingReport
	for _, r := range c.pending {
		if r.at.After(c.now) {
			later = append(later, r)
			continue
		}
		for i, e := range c.entries {
			if i != r.from && c.rand.Float64() >= c.loss {
				e.Merge(c.now, fmt.Sprint(r.from), r.loads, r.full)
			}
		}
	}
	c.pending = later
}

// spread is the largest difference between entries' shares of a tier.
func (c *cluster) spread(tier Tier) float64 {
	least, most := math.Inf(1), 0.0
	for _, e := range c.entries {
		e.Refresh(c.now, "m", testEngines(60, 0.8)())
		share := e.Status("m", tier).Share
		least, most = min(least, share), max(most, share)
	}
	return most - least
}

// Guards against entries that refuse different shares of the same tier, also while reports are lost
// and late, and against admitting more than the engines can do.
func TestEntriesAgreeOnShares(t *testing.T) {
	for _, c := range []struct {
		entries int
		loss    float64
		delay   time.Duration
		spread  float64
	}{{4, 0, 0, 0.1}, {25, 0, 0, 0.1}, {25, 0.3, 300 * time.Millisecond, 0.2}} {
		t.Run(fmt.Sprintf("%d entries, %v lost, up to %v late", c.entries, c.loss, c.delay), func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(c.entries)
			cluster.loss, cluster.delay = c.loss, c.delay
			short, long := shortArrival("a"), longArrival("a")
			urgent := load{short, 500} // 80 engines' worth
			cluster.run(4*time.Second, 0.8, urgent)
			cluster.reset()
			cluster.run(4*time.Second, 0.8, urgent)
			capacity := cluster.entries[0].Refresh(cluster.now, "m", testEngines(60, 0.8)()).Capacity
			work := cluster.admitted["short/a"] * milliseconds(short.Cost) / 4
			t.Logf("admitted %.0f ms a second of %.0f; shares differ by %.3f", work, capacity, cluster.spread(short.Tier))
			is.True(math.Abs(work-capacity) < 0.08*capacity)
			is.True(cluster.spread(short.Tier) < c.spread)
			cluster.run(4*time.Second, 0.8, urgent, load{long, 20})
			cluster.reset()
			cluster.run(4*time.Second, 0.8, urgent, load{long, 20})
			is.True(cluster.share("long/a") < 0.1 && cluster.admitted["long/a"] > 0)
		})
	}
}

// Guards against requests that are admitted beyond the memory of the engines, against engine time that is
// kept from others while memory is short, and against reports that leave out the memory.
func TestMemoryIsALimitOfItsOwn(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(8)
	cluster.memory = 100_000
	large, small := *longArrival("a"), *longArrival("a")
	large.Cost, large.Memory, large.Kind = 500*time.Millisecond, 2*time.Second, "large"
	small.Cost, small.Memory, small.Kind, small.Tier = 500*time.Millisecond, 0, "small", large.Tier+1
	loads := []load{{&large, 60}, {&small, 50}} // 55 engines' worth of time, 120 of memory
	cluster.run(8*time.Second, 0.8, loads...)
	cluster.reset()
	cluster.run(8*time.Second, 0.8, loads...)
	status := cluster.entries[0].Refresh(cluster.now, "m", cluster.engines(0.8)())
	t.Log(cluster.share("large/a"), cluster.share("small/a"), status)
	is.True(status.Scarce && status.Resource == EngineMemory)
	is.True(math.Abs(cluster.share("large/a")-0.85*60/120) < 0.05)
	is.True(cluster.share("small/a") > 0.97)
}

// Guards against a large client account that displaces small ones of the same tier.
func TestClientAccountsShareATier(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(8)
	loads := []load{{shortArrival("large"), 600}, {shortArrival("small"), 40}, {shortArrival("other"), 80}}
	cluster.run(3*time.Second, 0.8, loads...)
	cluster.reset()
	cluster.run(3*time.Second, 0.8, loads...)
	t.Log(cluster.admitted, cluster.offered)
	is.True(cluster.share("short/small") > 0.97 && cluster.share("short/other") > 0.97)
	is.True(cluster.share("short/large") < 0.4) // less than the mean share
}

// Guards against an entry that hears nothing and admits as if it were alone.
func TestAnEntryWithoutReportsCountsTheOthersLikeItself(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(10)
	cluster.loss = 1
	twice := load{shortArrival("a"), 640} // what is given out
	cluster.run(4*time.Second, 0.8, twice)
	cluster.reset()
	cluster.run(4*time.Second, 0.8, twice)
	t.Log(cluster.share("short/a"))
	is.True(cluster.share("short/a") > 0.4 && cluster.share("short/a") < 0.6)
}

// Guards against refusals while engines are idle, and while capacity suffices.
func TestNothingIsRefusedWithoutNeed(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(4)
	short := shortArrival("a")
	cluster.run(4*time.Second, 0.8, load{short, 250})
	is.Equal(cluster.share("short/a"), 1.0) // 40 engines' worth
	cluster.run(4*time.Second, 0.4, load{short, 500})
	is.Equal(cluster.share("short/a"), 1.0) // the estimate is wrong: engines are idle
}

// Guards against scarcity that begins and ends in turns at a load near the capacity, and against
// scarcity that does not end.
func TestScarcityDoesNotFlap(t *testing.T) {
	is := is.New(t)
	c, now := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0)
	changes, scarce := 0, false
	offer := func(duration time.Duration, perSecond float64) {
		for end := now.Add(duration); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / perSecond)) {
			d := c.Admit(now, shortArrival("a"), testEngines(60, 0.8))
			if d.Scarce != scarce {
				changes, scarce = changes+1, d.Scarce
			}
		}
	}
	for range 10 { // a load that swings around 319 a second, all that is given out
		offer(500*time.Millisecond, 470)
		offer(500*time.Millisecond, 150)
	}
	is.True(scarce)
	is.Equal(changes, 1)
	offer(4*time.Second, 200)
	is.True(!scarce)
	is.Equal(changes, 2)
}

// Guards against scarcity that begins with the estimate of a moment, and against urgent requests that have
// become late before it begins.
func TestScarcityBeginsAfterTheMostUrgentTarget(t *testing.T) {
	is := is.New(t)
	c, now := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0)
	urgent := shortArrival("a")
	urgent.Target = 400 * time.Millisecond
	began := func(use float64, offered float64) time.Duration {
		for since := now; now.Sub(since) < 5*time.Second; now = now.Add(time.Second / 100) {
			if d := c.Admit(now, urgent, testEngines(60, use)); d.Scarce {
				return now.Sub(since)
			}
			c.Merge(now, "other", []TierLoad{{Service: "m", Tier: urgent.Tier, Offered: offered, Started: 500}}, true)
		}
		return -1
	}
	began(0.8, 0)
	is.True(!c.Refresh(now, "m", testEngines(60, 0.8)()).Scarce)
	waited := began(0.8, 100_000)
	is.True(waited >= urgent.Target && waited < 2*urgent.Target)
	c = NewController(DefaultControllerConfig(), "e")
	is.Equal(began(0.7, 100_000), time.Duration(-1)) // all are on time, and engines are not fully used
	c.Merge(now, "other", []TierLoad{{Service: "m", Tier: urgent.Tier, Offered: 100_000, Started: 500, Late: 50}}, true)
	for range 10 {
		c.Refresh(now, "m", testEngines(60, 0.7)())
		now = now.Add(100 * time.Millisecond)
	}
	is.True(c.Refresh(now, "m", testEngines(60, 0.7)()).Scarce)
}

// Guards against a burst of urgent requests, too short for rates to show it, that fills the engines'
// queues for seconds.
func TestABurstIsAdmittedAsFarAsEnginesCanStartIt(t *testing.T) {
	is := is.New(t)
	c, now, admitted := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0), 0
	engines := func() []EngineState { // each request that was admitted is at an engine
		list := testEngines(60, 0)()
		for i := range list {
			list[i].InFlight = admitted / len(list)
			list[i].PendingPrefill = time.Duration(admitted/len(list)) * 20 * time.Millisecond
		}
		return list
	}
	for range 3000 {
		now = now.Add(30 * time.Microsecond)
		if c.Admit(now, shortArrival("a"), engines).Admitted {
			admitted++
		}
	}
	t.Log(admitted)
	is.True(admitted >= 60*5 && admitted <= 60*9) // 150 ms are enough for seven prompts of 20 ms
}

// Guards against capacity that is given out on in full while admitted requests are late, and against
// a factor that does not recover.
func TestLatenessShrinksTheCapacity(t *testing.T) {
	is := is.New(t)
	var f feedback
	now := time.Unix(1000, 0)
	f.update(now, 0)
	late := urgentLateness([]*demandSum{{started: 100, late: 40}, {started: 20, late: 20}})
	is.Equal(late, 0.4) // that of the most urgent half
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		f.update(now, late)
	}
	is.True(math.Abs(f.update(now, late)-0.7) < 0.01)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		f.update(now, 0)
	}
	is.True(f.update(now, 0) > 0.99)
	is.Equal(urgentLateness([]*demandSum{{started: 2, late: 2}}), 0.0) // too few to tell
}

// Guards against engines that are slow, full or busy with prefill and count like free ones.
func TestEnginesAreCountedByWhatTheyCanDo(t *testing.T) {
	is := is.New(t)
	engines := []EngineState{
		{Slowdown: 1, Slots: 12, InFlight: 6},
		{Slowdown: 4, Slots: 12, InFlight: 12},
		{Slowdown: 1, Slots: 12, PendingPrefill: time.Second},
		{Slowdown: 1, Slots: 12, KVCacheTokens: 100, MemoryTokens: 75},
	}
	sum := SumEngines(engines)
	is.Equal(sum.Rate, 3250.0)
	is.Equal(sum.Use, (0.5+0.25*1+1+0.75)/3.25)
	const slack, cost, prefill = 150 * time.Millisecond, 160 * time.Millisecond, 20 * time.Millisecond
	places := func(e EngineState) float64 {
		n, able := Places([]EngineState{e}, slack, cost, prefill)
		is.True(able)
		return n
	}
	is.True(places(engines[0]) > 6 && places(engines[0]) < 7.5)
	is.True(places(engines[1]) < 0.2) // no free slot, and slow
	is.Equal(places(engines[2]), 0.0)
	is.Equal(SumEngines(nil).Use, 0.0)
	is.Equal(sum.MemoryRate, 1000.0) // that of engines whose memory is known
	is.Equal(sum.MemoryUse, 0.75)
}

// Guards against requests that are told that capacity is scarce when there is no engine at all, as
// after all have ended: placement knows the reason, and when to return.
func TestWithoutEnginesOnlyPlacementRefuses(t *testing.T) {
	is := is.New(t)
	c, now := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0)
	engines := testEngines(60, 0.8)
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		if i == 2000 { // capacity is scarce, and all engines end
			is.True(c.Admit(now, shortArrival("a"), engines).Scarce)
			engines = testEngines(0, 0)
			now = now.Add(time.Second)
		}
		if d := c.Admit(now, shortArrival("a"), engines); i >= 2000 {
			is.True(d.Admitted && !math.IsNaN(d.Share))
		}
	}
}

// Guards against resumed streams that are refused although part of them was served.
func TestExemptRequestsAreAdmitted(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(1)
	short := shortArrival("a")
	cluster.run(3*time.Second, 0.8, load{short, 2000})
	exempt := *short
	exempt.Exempt = true
	for range 20 {
		is.True(cluster.entries[0].Admit(cluster.now, &exempt, testEngines(60, 0.8)).Admitted)
	}
}

// Guards against sums over the few entries that an entry hears among thousands.
func TestReportsAreScaledUpToAllEntries(t *testing.T) {
	is := is.New(t)
	c, now := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0)
	c.SetEntries(101)
	for i := range 4 { // 25 times as many are not heard
		c.Merge(now, fmt.Sprint(i), []TierLoad{{Service: "m", Tier: 16, Offered: 500}}, true)
	}
	demand := c.Refresh(now, "m", testEngines(60, 0.8)()).Demand
	is.Equal(demand, 50_000.0)
	demand = c.Refresh(now.Add(2*reportTTL), "m", testEngines(60, 0.8)()).Demand
	is.Equal(demand, 0.0) // reports are not used for long
}

// Guards against heartbeats that report every load each time, and against reports that leave out what
// other entries must know at once, or drop what a report that is not full leaves out.
func TestReportsAreShortWhileCapacitySuffices(t *testing.T) {
	is := is.New(t)
	c, now := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0)
	offer := func(duration time.Duration, perSecond float64) {
		for end := now.Add(duration); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / perSecond)) {
			c.Admit(now, shortArrival("a"), testEngines(60, 0.8))
		}
	}
	offer(6*time.Second, 100) // a third of what is given out
	is.Equal(len(c.Reports(now, true)), 1)
	is.Equal(len(c.Reports(now, false)), 0)
	offer(500*time.Millisecond, 200)
	is.Equal(len(c.Reports(now, false)), 1) // it has changed
	offer(2*time.Second, 200)
	is.Equal(len(c.Reports(now, false)), 1)
	is.Equal(len(c.Reports(now, false)), 1) // close to the capacity
	other := NewController(DefaultControllerConfig(), "f")
	other.SetEntries(2)
	other.Merge(now, "e", c.Reports(now, true), true)
	other.Merge(now, "e", nil, false)
	demand := other.Refresh(now, "m", testEngines(60, 0.8)()).Demand
	is.True(demand > 25_000)
	other.Merge(now, "e", nil, true)
	demand = other.Refresh(now, "m", testEngines(60, 0.8)()).Demand
	is.Equal(demand, 0.0)
}

// Guards against refusing every request where engines are so slow that each is late, and against
// requests whose cost is not known.
func TestRequestsThatAreLateInAnyCaseAreNotAllRefused(t *testing.T) {
	is := is.New(t)
	c, now := NewController(DefaultControllerConfig(), "e"), time.Unix(1000, 0)
	slow := func() []EngineState { return []EngineState{{Slowdown: 20, Slots: 12, InFlight: 2}} }
	for range 20 {
		now = now.Add(5 * time.Second)
		is.True(c.Admit(now, shortArrival("a"), slow).Admitted)
		is.True(c.Admit(now, &Arrival{Service: "m", Tier: 20}, slow).Admitted)
	}
}
