// Package emulator simulates, in virtual time, how several entries place requests on engines.
// It runs the real placement policy with its load trackers, the heartbeats between entries,
// and a model of the engines. A test can run a load and check what callers get without a
// network and with the same result each time.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/bench/virtual"
	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// Kind describes one kind of request.
type Kind struct {
	Name string
	// MeanTokens is the mean prompt length, Spread its standard deviation divided by the
	// mean, and MaxTokens the longest prompt.
	MeanTokens, Spread float64
	MaxTokens          int
	// Events is the number of events of each stream.
	Events int
	// RequestsPerSecond is the mean arrival rate.
	RequestsPerSecond float64
	// Target is the longest time to the first event, and MaxPause the longest pause between
	// events, with which a request counts as on time.
	Target, MaxPause time.Duration
	// Deadline is the time that callers have. A prompt that is passed over may wait for half of it, or
	// for Target if that is longer.
	Deadline time.Duration
	// Priority is the priority of the kind's route; 0 goes first.
	Priority int
	// Accounts are the client accounts that send the requests, by their weight; empty: one.
	Accounts []Account
}

// kindsDifferInPriority reports whether the routes of the kinds differ in priority.
func (c *Config) kindsDifferInPriority() bool {
	for i := range c.Kinds {
		if c.Kinds[i].Priority != c.Kinds[0].Priority {
			return true
		}
	}
	return false
}

// LoadChange changes the arrival rate of each kind from a time on.
type LoadChange struct {
	At time.Duration
	// RateFactors multiply RequestsPerSecond, one factor for each kind.
	RateFactors []float64
}

// Slowdown makes some engines slow for a time.
type Slowdown struct {
	From, To time.Duration
	// Engines is the number of slow engines, and Factor multiplies the time of their work.
	Engines int
	Factor  float64
}

// Config describes a simulated site, its load and its policy.
type Config struct {
	Seed             uint64
	Entries, Engines int
	Engine           directory.Engine
	Kinds            []Kind
	LoadChanges      []LoadChange
	Slowdowns        []Slowdown
	// Duration is the time during which requests arrive. A run lasts until all of them have
	// ended.
	Duration time.Duration
	// SlowdownKnownAfter is the delay after which the entries know that an engine has become
	// slow or normal again; 0: they never do.
	SlowdownKnownAfter time.Duration
	// Policy places the requests; empty means Product.
	Policy Policy
	// Disabled lists mechanisms of the product's policy that are switched off.
	Disabled []Mechanism
	// HeartbeatInterval is the time between an entry's heartbeats to the others; 0: 100 ms.
	HeartbeatInterval time.Duration
	// HeartbeatLoss is the share of heartbeats that are lost, 0 to 1.
	HeartbeatLoss float64
	// Skew is the arrival rate of the busiest entry divided by that of the least busy; the
	// others lie linearly between. 0 or 1: all entries get the same rate.
	Skew float64
	// Limits are the limits that engines state.
	Limits []Limit
	// Refusals are the refusals of engines that state a backoff, Departures the engines that leave.
	Refusals   []Refusal
	Departures []Departure
	// Evacuations are the evacuations of engines.
	Evacuations []Evacuation
	// Callers says what refused callers do; nil: they do not return. See SimulateReturns.
	Callers *Callers
	// Restarts is set for entries that restart.
	Restarts *Restarts
	// Warming is set for engines that warm up.
	Warming *Warming
	// Holders is the number of entries that share a limit; nil: admission.Holders.
	Holders func(perSecond float64, entries int) int
	// Admission returns what admits requests at an entry; nil: all are admitted.
	Admission func(entry string) Admission
}

// Policy names a placement policy.
type Policy string

// The product's policy and the baselines. A baseline sends each prompt to one engine, except
// for FixedSplit, knows only the requests of its own entry, queues nothing, and refuses only
// prompts that are larger than the KV cache of one engine.
const (
	Product Policy = "product"
	Random  Policy = "random"
	// LeastOutstanding picks the engine with the fewest of the entry's requests in flight.
	LeastOutstanding Policy = "least_outstanding"
	// TwoChoices draws two engines and picks the one with fewer requests in flight.
	TwoChoices Policy = "two_choices"
	// FixedSplit uses one half of the engines for short prompts and the other half for long
	// ones, which it prefills in parts.
	FixedSplit Policy = "fixed_split"
)

// Policies returns all policies, Product first.
func Policies() []Policy {
	return []Policy{Product, Random, LeastOutstanding, TwoChoices, FixedSplit}
}

// Mechanism names a part of the product's policy that can be switched off.
type Mechanism string

// The mechanisms of the product's policy.
const (
	// Affinity: each entry prefers engines of its own.
	Affinity Mechanism = "affinity"
	// Heartbeats: entries report their load to each other.
	Heartbeats Mechanism = "heartbeats"
	// Announcing: an entry sends a heartbeat as soon as it sends a long prompt.
	Announcing Mechanism = "announcing"
	// Waiting: long prompts are queued while enough prefill is pending at the engines.
	Waiting Mechanism = "waiting"
	// Refusing: long prompts whose first token is expected too late are refused.
	Refusing Mechanism = "refusing"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Affinity, Heartbeats, Announcing, Waiting, Refusing}
}

// enabled reports whether a mechanism is not switched off.
func (c *Config) enabled(m Mechanism) bool { return !slices.Contains(c.Disabled, m) }

// Result counts the outcomes of the requests of one kind.
type Result struct {
	Kind string
	// Requests counts all requests; OnTime, LateFirst (first event after the target), LatePause
	// (a pause longer than allowed) and Refused add up to it.
	Requests                              int `json:"Asked"`
	OnTime, LateFirst, LatePause, Refused int
	// Largest counts the prompts in the longest tenth of the kind's length distribution,
	// LargestServed those of them that were not refused.
	Largest, LargestServed int
	// NotAdmitted counts the refused requests that were not admitted by priority, HeldBack those
	// that were refused after they had waited for half of their target.
	NotAdmitted, HeldBack int
	// Accounts counts the requests of each client account.
	Accounts map[string]AccountResult `json:",omitempty"`
}

// Add adds the counts of the same kind from another run.
func (r *Result) Add(other Result) {
	r.Requests += other.Requests
	r.OnTime += other.OnTime
	r.LateFirst += other.LateFirst
	r.LatePause += other.LatePause
	r.Refused += other.Refused
	r.Largest += other.Largest
	r.LargestServed += other.LargestServed
	r.NotAdmitted += other.NotAdmitted
	r.HeldBack += other.HeldBack
	r.addAccounts(other.Accounts)
}

// OnTimeShare is the share of requests that were on time, 0 to 1.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

const (
	// defaultHeartbeatInterval applies where Config.HeartbeatInterval is 0.
	defaultHeartbeatInterval = 100 * time.Millisecond
	// maxOutputTokens is the output length for which KV cache is reserved.
	maxOutputTokens = 1300
	// maxPlacements is the number of placements that are tried for a request until its
	// helpers have memory for it.
	maxPlacements = 4
	// maxReportedOutcomes is how many outcomes of long prompts a heartbeat carries.
	maxReportedOutcomes = 64
	serviceName         = "m"
	// minMessageDelay and maxMessageDelay bound the delay of a message between two nodes.
	minMessageDelay, maxMessageDelay = time.Millisecond, 4 * time.Millisecond
)

// simulation is the state of one run.
type simulation struct {
	virtual.Clock
	config *Config
	rand   *rand.Rand
	// loadRand draws the requests. With Config.Restarts it is a source of its own, so that runs which
	// differ in the placement get the same requests.
	loadRand  *rand.Rand
	epoch     time.Time
	engines   map[directory.Incarnation]*engine
	endpoints []*directory.EndpointState
	service   *directory.Service
	entries   []*entry
	results   []Result
	// heartbeats counts the rounds of heartbeats.
	heartbeats       int
	refusalResult    RefusalResult
	departureResult  DepartureResult
	evacuationResult EvacuationResult
	restartResult    RestartResult
	// returnResults are the results of callers by kind, callers counts them, and inFlight the
	// requests at engines. They are used where Config.Callers is set.
	returnResults     []ReturnResult
	callers, inFlight int
}

// entry is one simulated entry.
type entry struct {
	name string
	// inFlight counts its requests at each engine; only the baselines use it.
	inFlight map[*engine]int
	tracker  *direct.LoadTracker
	policy   *direct.Policy
	// endpoints are the engines that it knows to take requests.
	endpoints []*directory.EndpointState
	// admission is nil where all requests are admitted.
	admission Admission
	// returns is nil unless Config.Callers is set.
	returns *admission.Returns
	state   entryState
	// starting is set once the entry has restarted.
	starting *startingEntry
}

// request is one simulated request.
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
	// latestStart is how long after its arrival the request may still leave the queue.
	latestStart time.Duration
	// sentAt is when the request was sent to its engine.
	sentAt time.Duration
	// arrivals is the number of engines that refused it, tried are these engines.
	arrivals int
	tried    []directory.Incarnation
	// passedOver is set for a long prompt that is admitted in spite of the backlog.
	passedOver bool
	// countedAfterBackoff is set while it counts as one of the requests after a backoff.
	countedAfterBackoff bool
	account             string
	// admitted is set while a request that was admitted by priority has no response.
	admitted bool
	// kindIndex is the index of kind. caller and status are set where Config.Callers is.
	kindIndex int
	caller    *caller
	status    admission.ReturnStatus
}

// Simulate runs a load until its last request has ended and returns a result for each kind,
// in the order of the kinds.
func Simulate(c *Config) []Result {
	results, _ := SimulateStatements(c)
	return results
}

// SimulateLimits is Simulate; it also returns what the engines with limits got.
func SimulateLimits(c *Config) ([]Result, LimitResult) {
	results, statements := SimulateStatements(c)
	return results, statements.Limits
}

// StatementResult is what the engines got that made statements about themselves.
type StatementResult struct {
	Limits      LimitResult
	Refusals    RefusalResult
	Departures  DepartureResult
	Evacuations EvacuationResult
	Warming     WarmingResult
}

// SimulateStatements is Simulate; it also returns what the engines got that made statements.
func SimulateStatements(c *Config) ([]Result, StatementResult) {
	sim := newSimulation(c)
	sim.run()
	return sim.results, StatementResult{sim.limitResult(), sim.completeRefusals(), sim.departureResult, sim.evacuationResult, sim.warmingResult()}
}

// newSimulation returns a simulation whose load and heartbeats are scheduled.
func newSimulation(c *Config) *simulation {
	sim := &simulation{config: c, rand: rand.New(rand.NewPCG(c.Seed, 1)), epoch: time.Unix(0, 0), engines: map[directory.Incarnation]*engine{}}
	sim.loadRand = sim.rand
	if c.Restarts != nil {
		sim.loadRand = rand.New(rand.NewPCG(c.Seed, 2))
	}
	sim.service = &directory.Service{Name: serviceName, Engine: &c.Engine}
	for _, k := range c.Kinds {
		sim.results = append(sim.results, Result{Kind: k.Name})
		sim.service.AddTargetPause(k.MaxPause)
	}
	sim.setUp()
	return sim
}

func (sim *simulation) run() { sim.RunUntil(math.MaxInt64) }

// setUp creates the engines and entries and schedules heartbeats, arrivals and slowdowns.
func (sim *simulation) setUp() {
	for i := range sim.config.Engines {
		endpoint := &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: fmt.Sprintf("e-%03d", i)}, Service: serviceName, Slots: sim.config.Engine.Slots}, Position: i}
		sim.endpoints = append(sim.endpoints, endpoint)
		sim.engines[endpoint.Incarnation] = &engine{sim: sim, spec: &sim.config.Engine, slowdown: 1, endpoint: direct.HashEndpoint(endpoint.Incarnation), incarnation: endpoint.Incarnation}
	}
	for i := range sim.config.Entries {
		tracker := direct.NewLoadTracker()
		tracker.SetEntryCount(sim.config.Entries)
		if sim.config.enabled(Affinity) {
			tracker.SetRank(i, sim.config.Entries)
		}
		tracker.Limits().SetEntries(sim.wallTime(), fmt.Sprint(i), sim.entryNames())
		if sim.config.Holders != nil {
			tracker.Limits().SetHolders(sim.config.Holders)
		}
		e := &entry{name: fmt.Sprint(i), endpoints: sim.endpoints, inFlight: map[*engine]int{}, tracker: tracker, policy: direct.NewPolicy(tracker, rand.New(rand.NewPCG(sim.config.Seed, uint64(i+2))))}
		if sim.config.Admission != nil {
			e.admission = sim.config.Admission(e.name)
			e.admission.SetEntries(sim.config.Entries)
		}
		sim.entries = append(sim.entries, e)
		if sim.config.enabled(Heartbeats) {
			sim.AfterFunc(sim.heartbeatInterval()*time.Duration(i)/time.Duration(sim.config.Entries), func() { sim.sendHeartbeats(e) })
		}
	}
	for i := range sim.config.Kinds {
		sim.AfterFunc(0, func() { sim.arrive(i) })
	}
	if sim.config.Warming != nil {
		sim.scheduleWarming(sim.config.Warming)
	}
	if sim.config.Restarts != nil {
		sim.scheduleRestarts(sim.config.Restarts)
	}
	for i := range sim.config.Slowdowns {
		sim.scheduleSlowdown(&sim.config.Slowdowns[i])
	}
	for i := range sim.config.Limits {
		sim.scheduleLimit(&sim.config.Limits[i])
	}
	for i := range sim.config.Refusals {
		sim.scheduleRefusal(&sim.config.Refusals[i])
	}
	for i := range sim.config.Departures {
		sim.scheduleDeparture(&sim.config.Departures[i])
	}
	for i := range sim.config.Evacuations {
		sim.scheduleEvacuation(&sim.config.Evacuations[i])
	}
}

// wallTime is the virtual time as the policy reads it.
func (sim *simulation) wallTime() time.Time { return sim.epoch.Add(sim.Now()) }

// arrive starts a request of a kind and schedules the arrival of the next one.
func (sim *simulation) arrive(kind int) {
	if sim.Now() >= sim.config.Duration {
		return
	}
	k := &sim.config.Kinds[kind]
	rate := k.RequestsPerSecond * sim.rateFactor(kind)
	if rate > 0 && sim.Now() > 0 {
		r := &request{sim: sim, entry: sim.pickEntry(), kind: k, kindIndex: kind, result: &sim.results[kind], promptTokens: sim.drawPromptTokens(k), arrivedAt: sim.Now()}
		r.result.Requests++
		r.account = k.pickAccount(sim)
		r.countAccount(func(a *AccountResult) { a.Requests++ })
		if k.inLargestTenth(r.promptTokens) {
			r.result.Largest++
		}
		r.start()
	}
	sim.AfterFunc(time.Duration(sim.loadRand.ExpFloat64()/max(rate, minRate)*float64(time.Second)), func() { sim.arrive(kind) })
}

// start handles a request that has arrived. Short prompts are placed at once; a long prompt is
// refused if its first token is expected too late, else queued.
func (r *request) start() {
	sim := r.sim
	if sim.config.Policy != "" && sim.config.Policy != Product {
		r.placeBaseline()
		return
	}
	if !r.arriveAsCaller() || !r.admit() {
		return
	}
	if !direct.IsLongPrompt(sim.service, r.promptTokens) {
		r.place()
		return
	}
	expected := r.entry.policy.AddLongPrompt(sim.wallTime(), sim.service, len(r.entry.policy.Usable(sim.wallTime(), sim.wallTime().Add(r.kind.Target), r.entry.endpoints)), r.promptTokens)
	r.passedOver = r.entry.policy.PassedOver(sim.wallTime(), r.route(), r.promptTokens)
	if r.passedOver && sim.config.enabled(Waiting) {
		r.latestStart = expected.LatestStart(max(r.kind.Deadline/2, r.kind.Target))
		r.queued = r.entry.policy.WaitUncounted(&direct.Request{Service: sim.service, PromptTokens: r.promptTokens, PassedOver: true})
		r.waitForCapacity()
		return
	}
	if expected.TooLate(r.kind.Target) && sim.config.enabled(Refusing) {
		r.recordOutcome(false)
		r.refuse(admission.CauseCapacity, max(backlogFactor*(expected.FirstToken()-r.kind.Target), minAdvice))
		return
	}
	r.latestStart = expected.LatestStart(r.kind.Target)
	r.queued = r.entry.policy.Enqueue(sim.service, r.promptTokens)
	r.waitForCapacity()
}

// waitForCapacity polls until the engines have capacity for a queued prompt, and refuses it if
// they have none by its latest start.
func (r *request) waitForCapacity() {
	sim := r.sim
	hasCapacity := !sim.config.enabled(Waiting) || r.queued.MayStart(sim.wallTime(), r.entry.endpoints)
	if !hasCapacity && sim.Now()-r.arrivedAt < r.latestStart {
		sim.AfterFunc(direct.QueuePollInterval, r.waitForCapacity)
		return
	}
	if !r.passedOver {
		r.queued.Dequeue()
	}
	if !hasCapacity && sim.config.enabled(Refusing) {
		r.recordOutcome(false)
		r.countHeldBack()
		r.refuse(admission.CauseCapacity, minAdvice)
		return
	}
	r.place()
}

// place places a request and sends it. A placement whose helpers lack memory is replaced by
// one at another engine; the request is refused when none is left.
func (r *request) place() {
	sim := r.sim
	placement := direct.Request{Service: sim.service, PromptTokens: r.promptTokens, OutputTokens: maxOutputTokens, MaxPause: r.kind.MaxPause, PassedOver: r.passedOver, SpreadMemory: sim.config.kindsDifferInPriority(), Tried: map[directory.Incarnation]bool{}}
	for _, tried := range r.tried {
		placement.Tried[tried] = true
	}
	for range maxPlacements {
		plan := r.entry.policy.Place(sim.wallTime(), &placement, r.entry.endpoints)
		if plan == nil || plan.Refused() {
			break
		}
		if !r.entry.tracker.Limits().Take(sim.wallTime(), direct.HashEndpoint(plan.Endpoint.Incarnation)) {
			continue
		}
		allowed, counted := r.entry.tracker.Backoffs().Take(sim.wallTime(), plan.Endpoint.Incarnation)
		if !allowed {
			continue
		}
		if !r.takeCold(plan) {
			continue
		}
		r.countedAfterBackoff = counted
		j := newJob(r, plan)
		for _, h := range plan.Helpers {
			j.helpers = append(j.helpers, sim.engines[h.Incarnation])
		}
		if j.reserveMemory() {
			r.recordOutcome(true)
			r.submit(plan, j)
			return
		}
		if counted {
			r.entry.tracker.Backoffs().Unanswered(plan.Endpoint.Incarnation)
		}
		placement.Tried[plan.Endpoint.Incarnation] = true
	}
	r.recordOutcome(false)
	r.refuse(admission.CauseCapacity, capacityAdvice)
}

func (r *request) route() direct.RouteHash { return direct.HashRoute(serviceName, r.kind.Name) }

// recordOutcome records whether a long prompt was admitted. The entry's next heartbeat reports it.
func (r *request) recordOutcome(admitted bool) {
	if direct.IsLongPrompt(r.sim.service, r.promptTokens) {
		r.entry.tracker.RecordOutcome(r.sim.wallTime(), direct.LengthOutcome{Route: r.route(), Tokens: r.promptTokens, Admitted: admitted})
	}
}

// submit records the request's load and sends it to its plan's endpoint.
func (r *request) submit(plan *direct.Plan, j *job) {
	r.load = r.entry.tracker.Begin(r.sim.wallTime(), plan)
	r.countInFlight()
	if plan.Long && r.sim.config.enabled(Announcing) && r.sim.config.enabled(Heartbeats) {
		r.sim.sendHeartbeat(r.entry)
	}
	r.engine = r.sim.engines[plan.Endpoint.Incarnation]
	r.sentAt = r.sim.Now()
	engine := r.engine
	r.sim.AfterFunc(r.sim.messageDelay(), func() {
		engine.recordDeparture()
		engine.recordEvacuation(false)
		for _, helper := range j.helpers {
			helper.recordEvacuation(true)
		}
		if engine.refuses(j) {
			j.releaseMemory()
			r.handleRefusal(engine.refusals.refusal, plan)
			return
		}
		engine.recordCold()
		for _, h := range j.helpers {
			h.recordCold()
		}
		r.observeCold(plan)
		engine.submit(j)
	})
}

// observeHead tells the entry what the engine states in the response's head.
func (r *request) observeHead() {
	r.observeLimit()
	r.observeDeparture()
	r.observeServed()
	if r.countedAfterBackoff {
		r.sim.AfterFunc(r.sim.messageDelay(), func() { r.entry.tracker.Backoffs().Answered(r.sim.wallTime(), r.engine.incarnation) })
	}
}

// finishPrefill ends the prefill part of the request's load at its first event.
func (r *request) finishPrefill() {
	if r.load != nil {
		r.load.FinishPrefill()
	}
	r.recordFirstResponse()
}

// finish ends the request's load and counts its outcome.
func (r *request) finish(j *job) {
	if r.load != nil {
		r.load.End()
	} else {
		r.entry.inFlight[r.engine]--
	}
	if r.kind.inLargestTenth(r.promptTokens) {
		r.result.LargestServed++
	}
	r.countServed(j)
	r.countAfterRestart(j)
	r.servedCaller(j.firstEventAt-r.arrivedAt <= r.kind.Target && r.longestPause <= r.kind.MaxPause)
	switch {
	case j.firstEventAt-r.arrivedAt > r.kind.Target:
		r.result.LateFirst++
	case r.longestPause > r.kind.MaxPause:
		r.result.LatePause++
	default:
		r.result.OnTime++
	}
}
