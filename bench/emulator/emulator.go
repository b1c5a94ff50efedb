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

func (c *Config) has(m Mechanism) bool { return !slices.Contains(c.Disabled, m) }

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
	// heartbeat is the time between two words of an entry to the others.
	heartbeat = 100 * time.Millisecond
	// outputTokens bound an answer, for the memory that it needs.
	outputTokens = 1300
	// placings is how many endpoints a request is placed on until one has room.
	placings = 4
	service  = "m"
	// shortestWay and longestWay bound how long a message takes.
	shortestWay, longestWay = time.Millisecond, 4 * time.Millisecond
)

// world is one play.
type world struct {
	virtual.Clock
	config  *Config
	rand    *rand.Rand
	epoch   time.Time
	engines map[directory.Incarnation]*engine
	list    []*directory.EndpointState
	service *directory.Service
	entries []*entry
	results []Result
}

// entry is one entry's view and policy.
type entry struct {
	name string
	// outstanding is what it has sent to each engine, for the baselines.
	outstanding map[*engine]int
	ledger      *direct.LoadTracker
	policy      *direct.Policy
}

// request is one caller's request.
type request struct {
	world  *world
	entry  *entry
	kind   *Kind
	result *Result
	tokens int
	began  time.Duration
	gap    time.Duration
	charge *direct.RequestLoad
	engine *engine
	held   *direct.QueuedPrompt
	// latest is until when it may be held back, from its arrival.
	latest time.Duration
}

// Simulate plays a load and gives what callers of each kind got.
func Simulate(c *Config) []Result {
	w := &world{config: c, rand: rand.New(rand.NewPCG(c.Seed, 1)), epoch: time.Unix(0, 0), engines: map[directory.Incarnation]*engine{}}
	w.service = &directory.Service{Name: service, Engine: &c.Engine}
	for _, k := range c.Kinds {
		w.results = append(w.results, Result{Kind: k.Name})
		w.service.AddTargetPause(k.MaxPause)
	}
	w.populate()
	w.RunUntil(math.MaxInt64)
	return w.results
}

func (w *world) populate() {
	for i := range w.config.Engines {
		listed := &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: fmt.Sprintf("e-%03d", i)}, Service: service, Slots: w.config.Engine.Slots}, Position: i}
		w.list = append(w.list, listed)
		w.engines[listed.Incarnation] = &engine{world: w, model: &w.config.Engine, pace: 1}
	}
	for i := range w.config.Entries {
		ledger := direct.NewLoadTracker()
		ledger.SetEntryCount(w.config.Entries)
		if w.config.has(Affinity) {
			ledger.SetRank(i, w.config.Entries)
		}
		e := &entry{name: fmt.Sprint(i), outstanding: map[*engine]int{}, ledger: ledger, policy: direct.NewPolicy(ledger, rand.New(rand.NewPCG(w.config.Seed, uint64(i+2))))}
		w.entries = append(w.entries, e)
		if w.config.has(Heartbeats) {
			w.AfterFunc(w.heartbeat()*time.Duration(i)/time.Duration(w.config.Entries), func() { w.beat(e) })
		}
	}
	for i := range w.config.Kinds {
		w.AfterFunc(0, func() { w.arrive(i) })
	}
	for i := range w.config.Slowdowns {
		w.slow(&w.config.Slowdowns[i])
	}
}

// slow makes the last engines slow, which are those for long prompts, and every other one.
func (w *world) slow(s *Slowdown) {
	for i := range s.Engines {
		listed := w.list[len(w.list)-1-2*i]
		set := func(pace float64) {
			w.engines[listed.Incarnation].pace = pace
			if w.config.SlowdownKnownAfter > 0 {
				w.AfterFunc(w.config.SlowdownKnownAfter, func() { w.tellPace(listed.Incarnation, pace, s.To) })
			}
		}
		w.AfterFunc(s.From, func() { set(s.Factor) })
		w.AfterFunc(s.To, func() { set(1) })
	}
}

// tellPace tells all entries how slow an engine is, again and again while it lasts.
func (w *world) tellPace(life directory.Incarnation, pace float64, until time.Duration) {
	for _, e := range w.entries {
		e.ledger.SetSlowdown(w.clock(), life, pace)
	}
	if pace > 1 && w.Now() < until {
		w.AfterFunc(time.Second, func() { w.tellPace(life, w.engines[life].pace, until) })
	}
}

func (w *world) clock() time.Time { return w.epoch.Add(w.Now()) }

// beat tells the other entries of one's load, and again while requests come.
func (w *world) beat(e *entry) {
	w.tell(e)
	if w.Now() < w.config.Duration {
		w.AfterFunc(w.heartbeat(), func() { w.beat(e) })
	}
}

func (w *world) heartbeat() time.Duration { return cmp.Or(w.config.HeartbeatInterval, heartbeat) }

func (w *world) tell(e *entry) {
	demands, opens := e.ledger.Demands(w.clock()), e.ledger.Loads(w.clock())
	for _, other := range w.entries {
		lost := w.config.HeartbeatLoss > 0 && w.rand.Float64() < w.config.HeartbeatLoss
		if other != e && !lost {
			w.AfterFunc(w.way(), func() { other.ledger.ReplacePeerLoad(w.clock(), e.name, demands, opens) })
		}
	}
}

// way is how long a message takes: those of several entries overtake each other.
func (w *world) way() time.Duration {
	return shortestWay + time.Duration(w.rand.Int64N(int64(longestWay-shortestWay)))
}

// arrive begins a request of a kind and lets the next one come.
func (w *world) arrive(kind int) {
	if w.Now() >= w.config.Duration {
		return
	}
	k := &w.config.Kinds[kind]
	rate := k.RequestsPerSecond * w.factor(kind)
	if rate > 0 && w.Now() > 0 {
		r := &request{world: w, entry: w.anyEntry(), kind: k, result: &w.results[kind], tokens: w.tokens(k), began: w.Now()}
		r.result.Asked++
		if k.large(r.tokens) {
			r.result.Largest++
		}
		r.begin()
	}
	w.AfterFunc(time.Duration(w.rand.ExpFloat64()/max(rate, leastRate)*float64(time.Second)), func() { w.arrive(kind) })
}

// anyEntry gives the entry that a caller comes to.
func (w *world) anyEntry() *entry {
	n := len(w.entries)
	if w.config.Skew <= 1 || n == 1 {
		return w.entries[w.rand.IntN(n)]
	}
	weight := func(i int) float64 { return 1 + (w.config.Skew-1)*float64(i)/float64(n-1) }
	left := w.rand.Float64() * float64(n) * (1 + w.config.Skew) / 2
	for i := range n {
		if left -= weight(i); left < 0 {
			return w.entries[i]
		}
	}
	return w.entries[n-1]
}

// leastRate lets a kind that does not come look again at the turns.
const leastRate = 0.5

func (w *world) factor(kind int) float64 {
	factor := 1.0
	for _, t := range w.config.LoadChanges {
		if w.Now() >= t.At {
			factor = t.RateFactors[kind]
		}
	}
	return factor
}

// largeQuantile is how many standard deviations of a normal distribution nine of ten are
// under.
const largeQuantile = 1.2816

// large tells whether a prompt is longer than nine of ten of its kind.
func (k *Kind) large(tokens int) bool {
	sigma := k.sigma()
	return float64(tokens) > k.MeanTokens*math.Exp(largeQuantile*sigma-sigma*sigma/2)
}

// sigma is the standard deviation of the logarithm of a prompt's length.
func (k *Kind) sigma() float64 { return math.Sqrt(math.Log(1 + k.Spread*k.Spread)) }

// tokens draws a prompt's length: log-normal, with the kind's mean and spread.
func (w *world) tokens(k *Kind) int {
	sigma := k.sigma()
	drawn := k.MeanTokens * math.Exp(sigma*w.rand.NormFloat64()-sigma*sigma/2)
	return min(max(int(drawn), 1), k.MaxTokens)
}

// begin places a request; a long prompt is refused when it would be late, or waits.
func (r *request) begin() {
	w := r.world
	if w.config.Policy != "" && w.config.Policy != Product {
		r.placeBaseline()
		return
	}
	if !direct.IsLongPrompt(w.service, r.tokens) {
		r.place()
		return
	}
	expected := r.entry.policy.AddLongPrompt(w.clock(), w.service, len(w.list), r.tokens)
	if expected.TooLate(r.kind.Target) && w.config.has(Refusing) {
		r.result.Refused++
		return
	}
	r.latest = expected.LatestStart(r.kind.Target)
	r.held = r.entry.policy.Enqueue(w.service, r.tokens)
	r.wait()
}

// wait holds the request back until there is room, and refuses it if that is too late.
func (r *request) wait() {
	w := r.world
	room := !w.config.has(Waiting) || r.held.MayStart(w.clock(), w.list)
	if !room && w.Now()-r.began < r.latest {
		w.AfterFunc(direct.QueuePollInterval, r.wait)
		return
	}
	r.held.Dequeue()
	if !room && w.config.has(Refusing) {
		r.result.Refused++
		return
	}
	r.place()
}

// place sends a request to an engine, or to another one where its memory finds no room.
func (r *request) place() {
	w := r.world
	placing := direct.Request{Service: w.service, PromptTokens: r.tokens, OutputTokens: outputTokens, MaxPause: r.kind.MaxPause, Tried: map[directory.Incarnation]bool{}}
	for range placings {
		plan := r.entry.policy.Place(w.clock(), &placing, w.list)
		if plan == nil || plan.Overloaded {
			break
		}
		j := newJob(r, plan)
		for _, h := range plan.Helpers {
			j.helpers = append(j.helpers, w.engines[h.Incarnation])
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
	r.charge = r.entry.ledger.Begin(r.world.clock(), plan)
	if plan.Long && r.world.config.has(Announcing) && r.world.config.has(Heartbeats) {
		r.world.tell(r.entry)
	}
	r.engine = r.world.engines[plan.Endpoint.Incarnation]
	r.world.AfterFunc(r.world.way(), func() { r.engine.submit(j) })
}

func (r *request) prefilled() {
	if r.charge != nil {
		r.charge.FinishPrefill()
	}
}

func (r *request) done(j *job) {
	if r.charge != nil {
		r.charge.End()
	} else {
		r.entry.outstanding[r.engine]--
	}
	if r.kind.large(r.tokens) {
		r.result.LargestServed++
	}
	switch {
	case j.first-r.began > r.kind.Target:
		r.result.LateFirst++
	case r.gap > r.kind.MaxPause:
		r.result.LatePause++
	default:
		r.result.OnTime++
	}
}
