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

// Conditions of a run, beside its workload.
type Conditions struct {
	// Entries share the arrivals; each has its own view.
	Entries int
	// ReportInterval and ReportDelay time the load reports.
	ReportInterval, ReportDelay time.Duration
	// KillShare of the engines dies half way through.
	KillShare float64
	// RetryShare of the refused requests come back once, when they were told to.
	RetryShare float64
}

// outcome is what became of one request.
type outcome struct {
	job job
	// first is the time to first token; ended the time to the end.
	first, ended time.Duration
	done         bool
	refused      bool
	retryAfter   time.Duration
	retries      int
	late         bool // its deadline passed before its end
}

// experiment runs the real routing and admission code before model engines in
// virtual time.
type experiment struct {
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
	// cached and prompts count prompt tokens served from the prefix cache and all.
	cached, prompts int
	numbered        uint64
}

// benchEntry is one entry's knowledge.
type benchEntry struct {
	policy *routing.Policy
	view   []routing.Endpoint
	sent   map[string]int
}

// Count implements routing.Outstanding.
func (e *benchEntry) Count(endpoint string) int { return e.sent[endpoint] }

// benchEngine is one engine with its agent's queue.
type benchEngine struct {
	index    int
	name     string
	model    *standin.Model
	queue    *admission.Queue
	stepping bool
	dead     bool
	jobs     map[uint64]*pendingRequest
}

// pendingRequest is one request on its way.
type pendingRequest struct {
	outcome *outcome
	entry   *benchEntry
	engine  *benchEngine
	id      string
	number  uint64
	tried   map[string]bool
	tokens  int
}

func (m *experiment) clock() time.Time { return m.epoch.Add(m.Now()) }

// simulate runs the jobs under a policy and returns what became of each.
func simulate(policy string, jobs []job, w Workload, c Conditions) (*experiment, error) {
	m := &experiment{
		workload: w, conditions: c, epoch: time.Unix(1_780_000_000, 0), pending: map[string]*pendingRequest{},
		random: rand.New(rand.NewPCG(w.Seed, 11)), budgets: map[admission.Class]*admission.RetryBudget{},
	}
	for class := admission.Urgent; class <= admission.Bulk; class++ {
		m.budgets[class] = admission.NewRetryBudget()
	}
	for i := range w.Engines {
		m.engines = append(m.engines, newBenchEngine(i, w.Engine))
	}
	for range c.Entries {
		e := &benchEntry{sent: map[string]int{}}
		var err error
		if e.policy, err = routing.New(policy, m.random, e); err != nil {
			return nil, err
		}
		m.entries = append(m.entries, e)
		e.view = make([]routing.Endpoint, len(m.engines))
		for i, engine := range m.engines {
			e.view[i] = engine.describe(e.policy, m.clock())
		}
	}
	for i := range jobs {
		j := jobs[i]
		m.AfterFunc(j.at, func() { m.arrive(j) })
	}
	m.AfterFunc(0, m.report)
	if c.KillShare > 0 {
		m.AfterFunc(w.Duration/2, m.killSome)
	}
	m.RunUntil(w.Duration + drainTime)
	return m, nil
}

// drainTime is how long after the last arrival a run goes on.
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

// describe is the endpoint as its report has it: the agent's for the policy that
// uses the agents' queue, else the engine's own.
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
	endpoint.Running, endpoint.Queued, endpoint.FreeMemory = load.Running, load.Waiting, load.FreeTokens
	endpoint.Backlog[0] = load.BacklogTokens
	return endpoint
}

// report takes every engine's load now and shows it to the entries after the lag.
func (m *experiment) report() {
	for _, entry := range m.entries {
		for i, engine := range m.engines {
			shown := engine.describe(entry.policy, m.clock())
			m.AfterFunc(m.conditions.ReportDelay, func() {
				if !entry.view[i].Reported.After(shown.Reported) {
					entry.view[i] = shown
				}
			})
		}
	}
	m.AfterFunc(m.conditions.ReportInterval, m.report)
}

func (m *experiment) arrive(j job) {
	f := &pendingRequest{outcome: &outcome{job: j}, entry: m.entries[j.id%len(m.entries)], tried: map[string]bool{}}
	m.outcomes = append(m.outcomes, f.outcome)
	m.dispatch(f)
	m.AfterFunc(j.allowed, func() { m.expire(f) })
}

// dispatch routes a request, as an entry does.
func (m *experiment) dispatch(f *pendingRequest) {
	j := f.outcome.job
	request := routing.Request{
		Model: benchModel, Class: j.class, PromptTokens: j.prompt, OutputTokens: j.output, Prefix: j.beginnings(),
		DataCentre: "dc", Tried: f.tried,
	}
	var refusal admission.Decision
	var asking routing.RetryState
	for again := true; again; {
		picked := asking.Pick(m.clock(), f.entry.policy, &request, j.key, f.entry.view)
		if picked == nil {
			break
		}
		engine := m.find(picked.Name)
		verdict := admission.Decision{Code: result.NoEndpoint, RetryAfter: time.Second}
		if !engine.dead {
			verdict = m.offer(f, engine, request.Key)
		}
		if verdict.Accepted {
			return
		}
		f.tried[engine.name] = true
		if refusal.Code == 0 || verdict.Deferred || verdict.RetryAfter < refusal.RetryAfter {
			refusal = verdict
		}
		again = asking.RecordRefusal(&request, f.entry.view, refusal.Code.Busy())
	}
	m.refuse(f, refusal)
}

func (m *experiment) find(name string) *benchEngine {
	for _, engine := range m.engines {
		if engine.name == name {
			return engine
		}
	}
	return nil
}

func (m *experiment) refuse(f *pendingRequest, verdict admission.Decision) {
	f.outcome.refused = true
	f.outcome.retryAfter = verdict.RetryAfter
	j := f.outcome.job
	if j.retried || verdict.Code == result.PromptTooLong || m.random.Float64() >= m.conditions.RetryShare {
		return
	}
	j.retried = true
	m.AfterFunc(verdict.RetryAfter, func() {
		j.at = m.Now()
		m.arrive(j)
	})
}

// offer hands a request to an engine: through the agent's queue, or straight.
func (m *experiment) offer(f *pendingRequest, engine *benchEngine, key uint64) admission.Decision {
	j := f.outcome.job
	m.numbered++
	f.engine, f.number = engine, m.numbered
	f.id = engine.name + "-" + time.Duration(m.numbered).String()
	if !f.entry.policy.Admission {
		engine.jobs[f.number] = f
		f.entry.sent[engine.name]++
		m.submit(f, 0)
		return admission.Decision{Accepted: true}
	}
	verdict := engine.queue.Offer(m.clock(), admission.Job{
		ID: f.number, DeferralKey: key, Account: j.account, Class: j.class, PromptTokens: j.prompt, OutputTokens: j.output,
		Deadline: m.epoch.Add(j.at + j.allowed),
	})
	f.entry.view[engine.index] = engine.describe(f.entry.policy, m.clock())
	if !verdict.Accepted {
		return verdict
	}
	engine.jobs[f.number] = f
	f.entry.sent[engine.name]++
	engine.queue.MarkReady(f.number)
	m.pump(engine)
	return verdict
}

func (m *experiment) pump(engine *benchEngine) {
	for {
		number, found := engine.queue.StartNext()
		if !found {
			return
		}
		f := engine.jobs[number]
		m.submit(f, int(admission.LevelOf(f.outcome.job.class, f.outcome.job.prompt)))
	}
}

func (m *experiment) submit(f *pendingRequest, priority int) {
	j := f.outcome.job
	m.pending[f.id] = f
	sequence := &standin.Sequence{ID: f.id, Priority: priority, PromptTokens: j.prompt, MaxTokens: j.output, Blocks: j.blocks()}
	if f.engine.model.Submit(sequence) != nil {
		m.end(f)
		m.refuse(f, admission.Decision{Code: result.PromptTooLong})
		return
	}
	m.step(f.engine)
}

// step runs an engine's batch steps, one after the other, while it has work.
func (m *experiment) step(engine *benchEngine) {
	if engine.stepping || engine.dead || !engine.model.Busy() {
		return
	}
	engine.stepping = true
	duration, events := engine.model.Step()
	m.AfterFunc(duration, func() {
		engine.stepping = false
		if engine.dead {
			return
		}
		for _, e := range events {
			m.token(e)
		}
		m.step(engine)
	})
}

func (m *experiment) token(e standin.Event) {
	f := m.pending[e.ID]
	if f == nil {
		return
	}
	f.tokens++
	if f.tokens == 1 && f.outcome.first == 0 {
		f.outcome.first = m.Now() - f.outcome.job.at
		f.engine.queue.MarkPrefilled(f.number)
		if f.entry.policy.Admission {
			m.pump(f.engine)
		}
		m.prompts += f.outcome.job.prompt
		for _, state := range f.engine.model.States() {
			if state.ID == f.id {
				m.cached += state.Cached
			}
		}
	}
	if e.Finished {
		f.outcome.done = true
		f.outcome.ended = m.Now() - f.outcome.job.at
		m.budgets[f.outcome.job.class].RecordSuccess()
		m.end(f)
	}
}

// end frees what a request holds.
func (m *experiment) end(f *pendingRequest) {
	engine := f.engine
	if engine == nil || engine.jobs[f.number] == nil {
		return
	}
	delete(engine.jobs, f.number)
	delete(m.pending, f.id)
	f.entry.sent[engine.name]--
	engine.model.Release(f.id)
	engine.queue.Remove(f.number)
	if f.entry.policy.Admission {
		m.pump(engine)
	}
	m.step(engine)
}

func (m *experiment) expire(f *pendingRequest) {
	if f.outcome.done || f.outcome.refused {
		return
	}
	f.outcome.late = true
	m.end(f)
}

// killSome ends a share of the engines; their requests go on elsewhere as far as
// the retry budget allows.
func (m *experiment) killSome() {
	count := int(m.conditions.KillShare * float64(len(m.engines)))
	for _, engine := range m.engines[:count] {
		engine.dead = true
		for _, number := range slices.Sorted(maps.Keys(engine.jobs)) {
			f := engine.jobs[number]
			delete(m.pending, f.id)
			f.entry.sent[engine.name]--
			f.tried[engine.name] = true
			if !m.budgets[f.outcome.job.class].Take() {
				f.outcome.refused, f.outcome.retryAfter = true, time.Second
				continue
			}
			f.outcome.retries++
			f.tokens = 0
			m.dispatch(f)
		}
		engine.jobs = map[uint64]*pendingRequest{}
	}
}
