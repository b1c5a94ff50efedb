package bench

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/bench/virtual"
	"aspenyard.example/result"
	"aspenyard.example/routing"
	standin "aspenyard.example/standin/engine"
)

// Conditions are the parameters of a run beside its workload.
type Conditions struct {
	// Entries is the number of entries. They take requests in turn, and each has its own view
	// of the endpoints.
	Entries int
	// ReportInterval is the time between load reports, ReportDelay the time until a report
	// reaches the entries.
	ReportInterval, ReportDelay time.Duration
	// KillShare is the share of the engines that are killed half way through the run.
	KillShare float64
	// RetryShare is the share of refused requests that are retried, once, after the
	// Retry-After of the refusal.
	RetryShare float64
}

// outcome is the outcome of one request.
type outcome struct {
	job job
	// firstToken is the time to first token, ended the time to the end of the response.
	firstToken, ended time.Duration
	done              bool
	refused           bool
	retryAfter        time.Duration
	retries           int
	late              bool // the deadline passed before the end
}

// simulation runs the real routing and admission code against models of the engines in virtual time.
type simulation struct {
	virtual.Clock
	workload   Workload
	conditions Conditions
	epoch      time.Time
	entries    []*benchEntry
	engines    []*benchEngine
	pending    map[string]*pendingRequest
	outcomes   []*outcome
	random     *rand.Rand
	budgets    map[admission.Class]*admission.RetryBudget
	// cachedTokens counts the prompt tokens served from prefix caches, promptTokens all prompt
	// tokens.
	cachedTokens, promptTokens int
	lastNumber                 uint64
}

// benchEntry is one entry's view of the endpoints, with its requests in flight at each.
type benchEntry struct {
	policy   *routing.Policy
	view     []routing.Endpoint
	inFlight map[string]int
}

// Count implements routing.Outstanding.
func (e *benchEntry) Count(endpoint string) int { return e.inFlight[endpoint] }

// benchEngine is one engine with the queue of its agent.
type benchEngine struct {
	index    int
	name     string
	model    *standin.Model
	queue    *admission.Queue
	stepping bool
	dead     bool
	jobs     map[uint64]*pendingRequest
}

// pendingRequest is a request that has not ended. number identifies its attempt in the agent's queue,
// id in the engine.
type pendingRequest struct {
	outcome *outcome
	entry   *benchEntry
	engine  *benchEngine
	id      string
	number  uint64
	tried   map[string]bool
	tokens  int
}

// wallTime is the virtual time as routing and admission read it.
func (s *simulation) wallTime() time.Time { return s.epoch.Add(s.Now()) }

// simulate runs the jobs under a policy and returns the simulation with their outcomes.
func simulate(policy string, jobs []job, w Workload, c Conditions) (*simulation, error) {
	s := &simulation{
		workload: w, conditions: c, epoch: time.Unix(1_780_000_000, 0), pending: map[string]*pendingRequest{},
		random: rand.New(rand.NewPCG(w.Seed, 11)), budgets: map[admission.Class]*admission.RetryBudget{},
	}
	for class := admission.Urgent; class <= admission.Bulk; class++ {
		s.budgets[class] = admission.NewRetryBudget()
	}
	for i := range w.Engines {
		s.engines = append(s.engines, newBenchEngine(i, w.Engine))
	}
	for range c.Entries {
		e := &benchEntry{inFlight: map[string]int{}}
		var err error
		if e.policy, err = routing.New(policy, s.random, e); err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
		e.view = make([]routing.Endpoint, len(s.engines))
		for i, engine := range s.engines {
			e.view[i] = engine.describe(e.policy, s.wallTime())
		}
	}
	for i := range jobs {
		j := jobs[i]
		s.AfterFunc(j.arrivesAt, func() { s.arrive(j) })
	}
	s.AfterFunc(0, s.sendReports)
	if c.KillShare > 0 {
		s.AfterFunc(w.Duration/2, s.killEngines)
	}
	s.RunUntil(w.Duration + drainTime)
	return s, nil
}

// drainTime is how long a run continues after the last arrival.
const drainTime = 3 * time.Minute

func newBenchEngine(i int, config standin.Config) *benchEngine {
	config = config.WithDefaults()
	return &benchEngine{
		index: i, name: string(rune('a'+i/26)) + string(rune('a'+i%26)), model: standin.NewModel(config), jobs: map[uint64]*pendingRequest{},
		queue: admission.NewQueue(admission.Config{
			MaxRunning: config.MaxRunning, MemoryTokens: config.MemoryTokens, PrefillRate: config.PrefillRate(),
		}),
	}
}

const benchModel = "model"

// describe returns the endpoint with its load as reported: by the agent for a policy that uses the
// agents' queues, else by the engine.
func (e *benchEngine) describe(policy *routing.Policy, at time.Time) routing.Endpoint {
	c := e.model.Config()
	endpoint := routing.Endpoint{
		Name: e.name, DataCentre: "dc", Models: []string{benchModel}, MemoryTokens: c.MemoryTokens,
		PrefillRate: c.PrefillRate(), MaxRunning: c.MaxRunning, Reported: at, Suspect: e.dead,
	}
	if policy.Admission {
		report := e.queue.Report()
		endpoint.Running, endpoint.Queued, endpoint.FreeMemory, endpoint.Backlog = report.Running, report.Queued, report.FreeMemoryTokens, report.Backlog
		return endpoint
	}
	load := e.model.Load()
	endpoint.Running, endpoint.Queued, endpoint.FreeMemory = load.Running, load.Waiting, load.FreeMemoryTokens
	endpoint.Backlog[0] = load.BacklogTokens
	return endpoint
}

// sendReports sends the current load of every engine to the entries, which receive it after the report
// delay.
func (s *simulation) sendReports() {
	for _, entry := range s.entries {
		for i, engine := range s.engines {
			endpoint := engine.describe(entry.policy, s.wallTime())
			s.AfterFunc(s.conditions.ReportDelay, func() {
				if !entry.view[i].Reported.After(endpoint.Reported) {
					entry.view[i] = endpoint
				}
			})
		}
	}
	s.AfterFunc(s.conditions.ReportInterval, s.sendReports)
}

// arrive starts a request at one of the entries.
func (s *simulation) arrive(j job) {
	p := &pendingRequest{outcome: &outcome{job: j}, entry: s.entries[j.id%len(s.entries)], tried: map[string]bool{}}
	s.outcomes = append(s.outcomes, p.outcome)
	s.dispatch(p)
	s.AfterFunc(j.timeout, func() { s.expire(p) })
}

// dispatch routes a request as an entry does: it offers it to endpoints until one accepts it or none
// is left to ask.
func (s *simulation) dispatch(p *pendingRequest) {
	j := p.outcome.job
	request := routing.Request{
		Model: benchModel, Class: j.class, PromptTokens: j.promptTokens, OutputTokens: j.outputTokens, Prefix: j.prefixHashes(),
		DataCentre: "dc", Tried: p.tried,
	}
	var refusal admission.Decision
	var retryState routing.RetryState
	for again := true; again; {
		picked := retryState.Pick(s.wallTime(), p.entry.policy, &request, j.key, p.entry.view)
		if picked == nil {
			break
		}
		engine := s.engineByName(picked.Name)
		decision := admission.Decision{Code: result.NoEndpoint, RetryAfter: time.Second}
		if !engine.dead {
			decision = s.offer(p, engine, request.Key)
		}
		if decision.Accepted {
			return
		}
		p.tried[engine.name] = true
		if refusal.Code == 0 || decision.Deferred || decision.RetryAfter < refusal.RetryAfter {
			refusal = decision
		}
		again = retryState.RecordRefusal(&request, p.entry.view, refusal.Code.Busy())
	}
	s.refuse(p, refusal)
}

// engineByName returns the engine of this name.
func (s *simulation) engineByName(name string) *benchEngine {
	for _, engine := range s.engines {
		if engine.name == name {
			return engine
		}
	}
	return nil
}

// refuse records a refusal and schedules the caller's retry, if it makes one.
func (s *simulation) refuse(p *pendingRequest, decision admission.Decision) {
	p.outcome.refused = true
	p.outcome.retryAfter = decision.RetryAfter
	j := p.outcome.job
	if j.retried || decision.Code == result.PromptTooLong || s.random.Float64() >= s.conditions.RetryShare {
		return
	}
	j.retried = true
	s.AfterFunc(decision.RetryAfter, func() {
		j.arrivesAt = s.Now()
		s.arrive(j)
	})
}

// offer sends a request to an engine: through the agent's queue if the policy uses it, else directly.
func (s *simulation) offer(p *pendingRequest, engine *benchEngine, key uint64) admission.Decision {
	j := p.outcome.job
	s.lastNumber++
	p.engine, p.number = engine, s.lastNumber
	p.id = engine.name + "-" + time.Duration(s.lastNumber).String()
	if !p.entry.policy.Admission {
		engine.jobs[p.number] = p
		p.entry.inFlight[engine.name]++
		s.submit(p, 0)
		return admission.Decision{Accepted: true}
	}
	decision := engine.queue.Offer(s.wallTime(), admission.Job{
		ID: p.number, DeferralKey: key, Account: j.account, Class: j.class, PromptTokens: j.promptTokens, OutputTokens: j.outputTokens,
		Deadline: s.epoch.Add(j.arrivesAt + j.timeout),
	})
	p.entry.view[engine.index] = engine.describe(p.entry.policy, s.wallTime())
	if !decision.Accepted {
		return decision
	}
	engine.jobs[p.number] = p
	p.entry.inFlight[engine.name]++
	engine.queue.MarkReady(p.number)
	s.startJobs(engine)
	return decision
}

// startJobs sends to the engine the requests that its agent's queue starts now.
func (s *simulation) startJobs(engine *benchEngine) {
	for {
		number, found := engine.queue.StartNext()
		if !found {
			return
		}
		p := engine.jobs[number]
		s.submit(p, int(admission.LevelOf(p.outcome.job.class, p.outcome.job.promptTokens)))
	}
}

// submit gives a request to its engine; one that the engine can never hold is refused.
func (s *simulation) submit(p *pendingRequest, priority int) {
	j := p.outcome.job
	s.pending[p.id] = p
	sequence := &standin.Sequence{ID: p.id, Priority: priority, PromptTokens: j.promptTokens, MaxTokens: j.outputTokens, Blocks: j.blocks()}
	if p.engine.model.Submit(sequence) != nil {
		s.release(p)
		s.refuse(p, admission.Decision{Code: result.PromptTooLong})
		return
	}
	s.step(p.engine)
}

// step runs an engine's batch steps one after the other while it has work.
func (s *simulation) step(engine *benchEngine) {
	if engine.stepping || engine.dead || !engine.model.Busy() {
		return
	}
	engine.stepping = true
	duration, events := engine.model.Step()
	s.AfterFunc(duration, func() {
		engine.stepping = false
		if engine.dead {
			return
		}
		for _, e := range events {
			s.handleToken(e)
		}
		s.step(engine)
	})
}

// handleToken handles one token of a stream.
func (s *simulation) handleToken(e standin.Event) {
	p := s.pending[e.ID]
	if p == nil {
		return
	}
	p.tokens++
	if p.tokens == 1 && p.outcome.firstToken == 0 {
		p.outcome.firstToken = s.Now() - p.outcome.job.arrivesAt
		p.engine.queue.MarkPrefilled(p.number)
		if p.entry.policy.Admission {
			s.startJobs(p.engine)
		}
		s.promptTokens += p.outcome.job.promptTokens
		for _, state := range p.engine.model.States() {
			if state.ID == p.id {
				s.cachedTokens += state.CachedTokens
			}
		}
	}
	if e.Finished {
		p.outcome.done = true
		p.outcome.ended = s.Now() - p.outcome.job.arrivesAt
		s.budgets[p.outcome.job.class].RecordSuccess()
		s.release(p)
	}
}

// release frees what a request holds at its engine and its agent.
func (s *simulation) release(p *pendingRequest) {
	engine := p.engine
	if engine == nil || engine.jobs[p.number] == nil {
		return
	}
	delete(engine.jobs, p.number)
	delete(s.pending, p.id)
	p.entry.inFlight[engine.name]--
	engine.model.Release(p.id)
	engine.queue.Remove(p.number)
	if p.entry.policy.Admission {
		s.startJobs(engine)
	}
	s.step(engine)
}

// expire ends a request whose deadline has passed.
func (s *simulation) expire(p *pendingRequest) {
	if p.outcome.done || p.outcome.refused {
		return
	}
	p.outcome.late = true
	s.release(p)
}

// killEngines kills a share of the engines. Their requests are retried elsewhere as far as the retry
// budget allows, and refused otherwise.
func (s *simulation) killEngines() {
	count := int(s.conditions.KillShare * float64(len(s.engines)))
	for _, engine := range s.engines[:count] {
		engine.dead = true
		for _, number := range slices.Sorted(maps.Keys(engine.jobs)) {
			p := engine.jobs[number]
			delete(s.pending, p.id)
			p.entry.inFlight[engine.name]--
			p.tried[engine.name] = true
			if !s.budgets[p.outcome.job.class].Take() {
				p.outcome.refused, p.outcome.retryAfter = true, time.Second
				continue
			}
			p.outcome.retries++
			p.tokens = 0
			s.dispatch(p)
		}
		engine.jobs = map[uint64]*pendingRequest{}
	}
}
