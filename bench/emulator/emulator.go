// Package emulator plays the placing of requests over several entries before model engines
// in virtual time: the real policy with its ledgers, what entries tell each other, and a
// model of engines. It exists so that a test can play a load and check what callers get,
// without a network and the same way each time.
package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"aspenyard.example/bench/virtual"
	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// MeanTokens is the mean prompt, Spread its standard deviation over the mean, MostTokens
	// the longest.
	MeanTokens, Spread float64
	MaxTokens          int
	// Events is how many a stream has.
	Events int
	// RequestsPerSecond is how many come.
	RequestsPerSecond float64
	// Target is the time to the first event, MaxPause that between events.
	Target, MaxPause time.Duration
}

// LoadChange changes how many requests of each kind come, from a time on.
type LoadChange struct {
	At time.Duration
	// RateFactors multiply PerSecond, by kind.
	RateFactors []float64
}

// Slowdown makes engines slow for a time.
type Slowdown struct {
	From, To time.Duration
	// Engines is how many, Pace how many times as long their work takes.
	Engines int
	Factor  float64
}

// Config is a site and its load.
type Config struct {
	Seed             uint64
	Entries, Engines int
	Engine           directory.Engine
	Kinds            []Kind
	LoadChanges      []LoadChange
	Slowdowns        []Slowdown
	// Duration is for how long requests come.
	Duration time.Duration
	// SlowdownKnownAfter is how long after it the entries know that an engine has turned slow; 0:
	// never.
	SlowdownKnownAfter time.Duration
	// Policy places requests; empty: the product's.
	Policy Policy
	// Disabled are mechanisms of the product's policy that are taken out.
	Disabled []Mechanism
	// HeartbeatInterval is the time between two words of an entry to the others; 0: 100 ms.
	HeartbeatInterval time.Duration
	// HeartbeatLoss is the part of these words that is lost, 0 to 1.
	HeartbeatLoss float64
	// Skew is how many times as much the busiest entry gets as the idlest; the others lie
	// between. 0 or 1: callers come to all alike.
	Skew float64
}

// Policy names a way of placing requests.
type Policy string

// The product's policy and what it is compared with. The others send each prompt to one
// engine, know only what their own entry has sent, hold nothing back, and refuse only what
// is over one engine's memory.
const (
	Product          Policy = "product"
	Random           Policy = "random"
	LeastOutstanding Policy = "least_outstanding"
	TwoChoices       Policy = "two_choices"
	// FixedSplit keeps one half of the engines for prompts that are not long and prefills
	// long ones in parts on the other.
	FixedSplit Policy = "fixed_split"
)

// Policies lists all.
func Policies() []Policy {
	return []Policy{Product, Random, LeastOutstanding, TwoChoices, FixedSplit}
}

// Mechanism names a part of the product's policy.
type Mechanism string

// What can be taken out.
const (
	// Affinity: each entry prefers engines of its own.
	Affinity Mechanism = "affinity"
	// Heartbeats: entries tell each other what they have sent.
	Heartbeats Mechanism = "heartbeats"
	// Announcing: long prompts are told at once.
	Announcing Mechanism = "announcing"
	// Waiting: long prompts wait while engines have enough to prefill.
	Waiting Mechanism = "waiting"
	// Refusing: what is expected too late is refused.
	Refusing Mechanism = "refusing"
)

// Mechanisms lists all.
func Mechanisms() []Mechanism {
	return []Mechanism{Affinity, Heartbeats, Announcing, Waiting, Refusing}
}

func (c *Config) enabled(m Mechanism) bool { return !slices.Contains(c.Disabled, m) }

// Result is what callers of one kind got.
type Result struct {
	Kind string
	// OnTime, LateFirst, LatePause and Refused sum up to Asked.
	Asked, OnTime, LateFirst, LatePause, Refused int
	// Largest is how many are longer than nine of ten, LargestServed how many of them were
	// not refused.
	Largest, LargestServed int
}

// Add adds what callers of the same kind got in another play.
func (r *Result) Add(other Result) {
	r.Asked += other.Asked
	r.OnTime += other.OnTime
	r.LateFirst += other.LateFirst
	r.LatePause += other.LatePause
	r.Refused += other.Refused
	r.Largest += other.Largest
	r.LargestServed += other.LargestServed
}

// OnTimeShare is the part of requests that were on time.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Asked, 1)) }

const (
	// defaultHeartbeatInterval is the time between two words of an entry to the others.
	defaultHeartbeatInterval = 100 * time.Millisecond
	// maxOutputTokens bound an answer, for the memory that it needs.
	maxOutputTokens = 1300
	// maxPlacements is how many endpoints a request is placed on until one has room.
	maxPlacements = 4
	serviceName   = "m"
	// minMessageDelay and maxMessageDelay bound how long a message takes.
	minMessageDelay, maxMessageDelay = time.Millisecond, 4 * time.Millisecond
)

// simulation is one play.
type simulation struct {
	virtual.Clock
	config    *Config
	rand      *rand.Rand
	epoch     time.Time
	engines   map[directory.Incarnation]*engine
	endpoints []*directory.EndpointState
	service   *directory.Service
	entries   []*entry
	results   []Result
}

// entry is one entry's view and policy.
type entry struct {
	name string
	// inFlight is what it has sent to each engine, for the baselines.
	inFlight map[*engine]int
	tracker  *direct.LoadTracker
	policy   *direct.Policy
}

// request is one caller's request.
type request struct {
	sim          *simulation
	entry        *entry
	kind         *Kind
	result       *Result
	promptTokens int
	arrivedAt    time.Duration
	longestPause time.Duration
	load         *direct.RequestLoad
	engine       *engine
	queued       *direct.QueuedPrompt
	// latestStart is until when it may be held back, from its arrival.
	latestStart time.Duration
}

// Simulate plays a load and gives what callers of each kind got.
func Simulate(c *Config) []Result {
	sim := &simulation{config: c, rand: rand.New(rand.NewPCG(c.Seed, 1)), epoch: time.Unix(0, 0), engines: map[directory.Incarnation]*engine{}}
	sim.service = &directory.Service{Name: serviceName, Engine: &c.Engine}
	for _, k := range c.Kinds {
		sim.results = append(sim.results, Result{Kind: k.Name})
		sim.service.AddTargetPause(k.MaxPause)
	}
	sim.setUp()
	sim.RunUntil(math.MaxInt64)
	return sim.results
}

func (sim *simulation) setUp() {
	for i := range sim.config.Engines {
		listed := &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: fmt.Sprintf("e-%03d", i)}, Service: serviceName, Slots: sim.config.Engine.Slots}, Position: i}
		sim.endpoints = append(sim.endpoints, listed)
		sim.engines[listed.Incarnation] = &engine{sim: sim, spec: &sim.config.Engine, slowdown: 1}
	}
	for i := range sim.config.Entries {
		ledger := direct.NewLoadTracker()
		ledger.SetEntryCount(sim.config.Entries)
		if sim.config.enabled(Affinity) {
			ledger.SetRank(i, sim.config.Entries)
		}
		e := &entry{name: fmt.Sprint(i), inFlight: map[*engine]int{}, tracker: ledger, policy: direct.NewPolicy(ledger, rand.New(rand.NewPCG(sim.config.Seed, uint64(i+2))))}
		sim.entries = append(sim.entries, e)
		if sim.config.enabled(Heartbeats) {
			sim.AfterFunc(sim.heartbeatInterval()*time.Duration(i)/time.Duration(sim.config.Entries), func() { sim.sendHeartbeats(e) })
		}
	}
	for i := range sim.config.Kinds {
		sim.AfterFunc(0, func() { sim.arrive(i) })
	}
	for i := range sim.config.Slowdowns {
		sim.scheduleSlowdown(&sim.config.Slowdowns[i])
	}
}

// scheduleSlowdown makes the last engines scheduleSlowdown, which are those for long prompts, and every other one.
func (sim *simulation) scheduleSlowdown(s *Slowdown) {
	for i := range s.Engines {
		listed := sim.endpoints[len(sim.endpoints)-1-2*i]
		set := func(pace float64) {
			sim.engines[listed.Incarnation].slowdown = pace
			if sim.config.SlowdownKnownAfter > 0 {
				sim.AfterFunc(sim.config.SlowdownKnownAfter, func() { sim.reportSlowdown(listed.Incarnation, pace, s.To) })
			}
		}
		sim.AfterFunc(s.From, func() { set(s.Factor) })
		sim.AfterFunc(s.To, func() { set(1) })
	}
}

// reportSlowdown tells all entries how slow an engine is, again and again while it lasts.
func (sim *simulation) reportSlowdown(life directory.Incarnation, pace float64, until time.Duration) {
	for _, e := range sim.entries {
		e.tracker.SetSlowdown(sim.wallTime(), life, pace)
	}
	if pace > 1 && sim.Now() < until {
		sim.AfterFunc(time.Second, func() { sim.reportSlowdown(life, sim.engines[life].slowdown, until) })
	}
}

func (sim *simulation) wallTime() time.Time { return sim.epoch.Add(sim.Now()) }

// sendHeartbeats tells the other entries of one's load, and again while requests come.
func (sim *simulation) sendHeartbeats(e *entry) {
	sim.sendHeartbeat(e)
	if sim.Now() < sim.config.Duration {
		sim.AfterFunc(sim.heartbeatInterval(), func() { sim.sendHeartbeats(e) })
	}
}

func (sim *simulation) heartbeatInterval() time.Duration {
	return cmp.Or(sim.config.HeartbeatInterval, defaultHeartbeatInterval)
}

func (sim *simulation) sendHeartbeat(e *entry) {
	demands, opens := e.tracker.Demands(sim.wallTime()), e.tracker.Loads(sim.wallTime())
	for _, other := range sim.entries {
		lost := sim.config.HeartbeatLoss > 0 && sim.rand.Float64() < sim.config.HeartbeatLoss
		if other != e && !lost {
			sim.AfterFunc(sim.messageDelay(), func() { other.tracker.ReplacePeerLoad(sim.wallTime(), e.name, demands, opens) })
		}
	}
}

// messageDelay is how long a message takes: those of several entries overtake each other.
func (sim *simulation) messageDelay() time.Duration {
	return minMessageDelay + time.Duration(sim.rand.Int64N(int64(maxMessageDelay-minMessageDelay)))
}

// arrive begins a request of a kind and lets the next one come.
func (sim *simulation) arrive(kind int) {
	if sim.Now() >= sim.config.Duration {
		return
	}
	k := &sim.config.Kinds[kind]
	rate := k.RequestsPerSecond * sim.rateFactor(kind)
	if rate > 0 && sim.Now() > 0 {
		r := &request{sim: sim, entry: sim.pickEntry(), kind: k, result: &sim.results[kind], promptTokens: sim.drawPromptTokens(k), arrivedAt: sim.Now()}
		r.result.Asked++
		if k.inLargestTenth(r.promptTokens) {
			r.result.Largest++
		}
		r.start()
	}
	sim.AfterFunc(time.Duration(sim.rand.ExpFloat64()/max(rate, minRate)*float64(time.Second)), func() { sim.arrive(kind) })
}

// pickEntry gives the entry that a caller comes to.
func (sim *simulation) pickEntry() *entry {
	n := len(sim.entries)
	if sim.config.Skew <= 1 || n == 1 {
		return sim.entries[sim.rand.IntN(n)]
	}
	weight := func(i int) float64 { return 1 + (sim.config.Skew-1)*float64(i)/float64(n-1) }
	left := sim.rand.Float64() * float64(n) * (1 + sim.config.Skew) / 2
	for i := range n {
		if left -= weight(i); left < 0 {
			return sim.entries[i]
		}
	}
	return sim.entries[n-1]
}

// minRate lets a kind that does not come look again at the turns.
const minRate = 0.5

func (sim *simulation) rateFactor(kind int) float64 {
	factor := 1.0
	for _, t := range sim.config.LoadChanges {
		if sim.Now() >= t.At {
			factor = t.RateFactors[kind]
		}
	}
	return factor
}

// ninthDecileZ is how many standard deviations of a normal distribution nine of ten are
// under.
const ninthDecileZ = 1.2816

// inLargestTenth tells whether a prompt is longer than nine of ten of its kind.
func (k *Kind) inLargestTenth(tokens int) bool {
	sigma := k.logSigma()
	return float64(tokens) > k.MeanTokens*math.Exp(ninthDecileZ*sigma-sigma*sigma/2)
}

// logSigma is the standard deviation of the logarithm of a prompt's length.
func (k *Kind) logSigma() float64 { return math.Sqrt(math.Log(1 + k.Spread*k.Spread)) }

// drawPromptTokens draws a prompt's length: log-normal, with the kind's mean and spread.
func (sim *simulation) drawPromptTokens(k *Kind) int {
	sigma := k.logSigma()
	drawn := k.MeanTokens * math.Exp(sigma*sim.rand.NormFloat64()-sigma*sigma/2)
	return min(max(int(drawn), 1), k.MaxTokens)
}

// start places a request; a long prompt is refused when it would be late, or waits.
func (r *request) start() {
	sim := r.sim
	if sim.config.Policy != "" && sim.config.Policy != Product {
		r.placeBaseline()
		return
	}
	if !direct.IsLongPrompt(sim.service, r.promptTokens) {
		r.place()
		return
	}
	expected := r.entry.policy.AddLongPrompt(sim.wallTime(), sim.service, len(sim.endpoints), r.promptTokens)
	if expected.TooLate(r.kind.Target) && sim.config.enabled(Refusing) {
		r.result.Refused++
		return
	}
	r.latestStart = expected.LatestStart(r.kind.Target)
	r.queued = r.entry.policy.Enqueue(sim.service, r.promptTokens)
	r.waitForRoom()
}

// waitForRoom holds the request back until there is room, and refuses it if that is too late.
func (r *request) waitForRoom() {
	sim := r.sim
	room := !sim.config.enabled(Waiting) || r.queued.MayStart(sim.wallTime(), sim.endpoints)
	if !room && sim.Now()-r.arrivedAt < r.latestStart {
		sim.AfterFunc(direct.QueuePollInterval, r.waitForRoom)
		return
	}
	r.queued.Dequeue()
	if !room && sim.config.enabled(Refusing) {
		r.result.Refused++
		return
	}
	r.place()
}

// place sends a request to an engine, or to another one where its memory finds no room.
func (r *request) place() {
	sim := r.sim
	placing := direct.Request{Service: sim.service, PromptTokens: r.promptTokens, OutputTokens: maxOutputTokens, MaxPause: r.kind.MaxPause, Tried: map[directory.Incarnation]bool{}}
	for range maxPlacements {
		plan := r.entry.policy.Place(sim.wallTime(), &placing, sim.endpoints)
		if plan == nil || plan.Overloaded {
			break
		}
		j := newJob(r, plan)
		for _, h := range plan.Helpers {
			j.helpers = append(j.helpers, sim.engines[h.Incarnation])
		}
		if j.reserve() {
			r.submit(plan, j)
			return
		}
		placing.Tried[plan.Endpoint.Incarnation] = true
	}
	r.result.Refused++
}

// submit gives a request to the first engine of its plan.
func (r *request) submit(plan *direct.Plan, j *job) {
	r.load = r.entry.tracker.Begin(r.sim.wallTime(), plan)
	if plan.Long && r.sim.config.enabled(Announcing) && r.sim.config.enabled(Heartbeats) {
		r.sim.sendHeartbeat(r.entry)
	}
	r.engine = r.sim.engines[plan.Endpoint.Incarnation]
	r.sim.AfterFunc(r.sim.messageDelay(), func() { r.engine.submit(j) })
}

func (r *request) finishPrefill() {
	if r.load != nil {
		r.load.FinishPrefill()
	}
}

func (r *request) finish(j *job) {
	if r.load != nil {
		r.load.End()
	} else {
		r.entry.inFlight[r.engine]--
	}
	if r.kind.inLargestTenth(r.promptTokens) {
		r.result.LargestServed++
	}
	switch {
	case j.firstEventAt-r.arrivedAt > r.kind.Target:
		r.result.LateFirst++
	case r.longestPause > r.kind.MaxPause:
		r.result.LatePause++
	default:
		r.result.OnTime++
	}
}
