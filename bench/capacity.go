package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/catalogue"
	"aspenyard.example/entry"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
	"aspenyard.example/power"
	"aspenyard.example/routing"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

// Cost is the measured cost of one operation or object.
type Cost struct {
	// Name is the operation or object, Size the size of the system that it was measured in.
	Name string `json:"name"`
	Size string `json:"size"`
	// Microseconds is the time on one thread, Bytes the size on the wire or in the store, and
	// HeapBytes the live heap that is kept.
	Microseconds float64 `json:"microseconds,omitempty"`
	Bytes        int     `json:"bytes,omitempty"`
	HeapBytes    int     `json:"heap_bytes,omitempty"`
	Note         string  `json:"note,omitempty"`
}

// measureDuration is how long microsPerCall repeats an operation.
const measureDuration = 200 * time.Millisecond

// microsPerCall measures the mean time of a call of f, in microseconds.
func microsPerCall(f func()) float64 {
	calls := 0
	start := time.Now()
	for time.Since(start) < measureDuration {
		f()
		calls++
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / float64(calls)
}

// heapGrowth measures by how many bytes the live heap grows when build runs and its result is kept.
func heapGrowth(build func() any) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// Capacity measures the costs on which docs/CAPACITY.md is based.
func Capacity() ([]Cost, error) {
	var costs []Cost
	for _, measure := range []func() ([]Cost, error){
		heartbeatCosts, routingCosts, catalogueCosts, powerCosts, agentCosts, limiterCosts, claimCosts, returnCosts,
	} {
		measured, err := measure()
		if err != nil {
			return nil, err
		}
		costs = append(costs, measured...)
	}
	return costs, nil
}

// AgentHeartbeat returns a typical heartbeat of agent i of a fleet.
func AgentHeartbeat(i int, sequence uint64) *wire.Heartbeat {
	return &wire.Heartbeat{
		Node: fmt.Sprintf("worker-%05d", i), Role: membership.RoleAgent, DataCentre: "bogota-1", Addr: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		Incarnation: 1_780_000_000_000, Sequence: sequence, Models: []string{"model-a", "model-b"}, Endpoint: fmt.Sprintf("worker-%05d", i),
		EngineAddr: "10.0.0.1:8000", OperatorsAddr: "10.0.0.1:7401", CatalogueRevision: 40_000, CatalogueHash: rand.Uint64(),
		Load: &wire.Load{
			Running: 12, Queued: 3, BacklogTokens: []uint64{4000, 0, 9000, 0, 0, 0, 120000, 0, 0, 0, 0, 0}, TakenMs: 123_456_789,
			FreeMemoryTokens: 210_000, MemoryTokens: 400_000, PrefillTokensPerSecond: 20_000, MaxRunning: 32,
		},
		Power: &wire.Power{FloorWatts: 1000, LimitWatts: 4200, WantWatts: 3900, MaxWatts: 5000, GrantRevision: 81_234},
	}
}

// fleetSizes are the numbers of endpoints in a data centre at which costs are measured.
var fleetSizes = []int{100, 400, 1600}

// heartbeatCosts measures an agent's heartbeat and an entry's work on heartbeats.
func heartbeatCosts() ([]Cost, error) {
	var costs []Cost
	heartbeat, err := proto.Marshal(AgentHeartbeat(1, 1))
	if err != nil {
		return nil, err
	}
	const headers = 28 // UDP and IPv4
	costs = append(costs, Cost{Name: "agent's heartbeat on the wire", Size: "1", Bytes: len(heartbeat) + headers, Note: "with UDP and IP headers"})
	for _, size := range fleetSizes {
		loop, err := newIdleLoop()
		if err != nil {
			return nil, err
		}
		sequence := uint64(0)
		round := func() {
			sequence++
			now := time.Now()
			for i := range size {
				data, _ := proto.Marshal(AgentHeartbeat(i, sequence))
				loop.Receive(now, data)
			}
		}
		encoding := microsPerCall(func() {
			for i := range size {
				_, _ = proto.Marshal(AgentHeartbeat(i, sequence))
			}
		})
		received := (microsPerCall(round) - encoding) / float64(size)
		kept := heapGrowth(func() any { round(); loop.Step(time.Now()); return loop })
		tick := microsPerCall(func() {
			sequence++
			data, _ := proto.Marshal(AgentHeartbeat(0, sequence))
			loop.Receive(time.Now(), data)
			loop.Step(time.Now())
		})
		costs = append(costs,
			Cost{Name: "heartbeat received and answered by an entry", Size: fmt.Sprint(size, " agents"), Microseconds: received},
			Cost{Name: "tick of an entry: detector, view, routing snapshot", Size: fmt.Sprint(size, " agents"), Microseconds: tick - received, HeapBytes: kept / size, Note: "heap per agent"},
		)
	}
	return costs, nil
}

// newIdleLoop returns the membership loop of an entry that is not started.
func newIdleLoop() (*membership.Loop, error) {
	s := settings.Entry{
		Node:          settings.Node{Name: "entry-0", DataCentre: "bogota-1", Listen: "127.0.0.1:1", OperatorsListen: "127.0.0.1:2", Platform: "127.0.0.1:3"},
		CallersListen: "127.0.0.1:4",
	}
	if err := s.Check().Err(); err != nil {
		return nil, err
	}
	e, err := entry.New(s, zap.NewNop())
	if err != nil {
		return nil, err
	}
	return e.Loop(), nil
}

// benchEndpoints returns endpoints in a typical state, as routing sees them.
func benchEndpoints(n int) []routing.Endpoint {
	endpoints := make([]routing.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = routing.Endpoint{
			Name: fmt.Sprintf("worker-%05d", i), DataCentre: "bogota-1", Models: []string{"model-a", "model-b"},
			MemoryTokens: 400_000, PrefillRate: 20_000, MaxRunning: 32, FreeMemory: 200_000, Running: i % 32, Reported: time.Now(),
		}
	}
	return endpoints
}

// routingCosts measures the routing of a request.
func routingCosts() ([]Cost, error) {
	var costs []Cost
	for _, size := range fleetSizes {
		policy, err := routing.New(routing.PolicyAspenyard, rand.New(rand.NewPCG(1, 1)), nil)
		if err != nil {
			return nil, err
		}
		endpoints := benchEndpoints(size)
		prompts := [][]uint64{routing.PrefixHashes(Prompt(1, 4000), admission.BytesPerToken), routing.PrefixHashes(Prompt(2, 4000), admission.BytesPerToken)}
		i := 0
		cost := microsPerCall(func() {
			i++
			policy.Route(time.Now(), &routing.Request{
				Model: "model-a", PromptTokens: 4000, OutputTokens: 200, Prefix: prompts[i%2], DataCentre: "bogota-1",
			}, endpoints)
		})
		costs = append(costs, Cost{Name: "routing one request", Size: fmt.Sprint(size, " endpoints"), Microseconds: cost})
	}
	prompt := Prompt(3, 100_000)
	costs = append(costs, Cost{Name: "hashing a prompt's beginnings", Size: "100,000 tokens", Microseconds: microsPerCall(func() { routing.PrefixHashes(prompt, admission.BytesPerToken) })})
	return costs, nil
}

// accountRecord returns the catalogue record of client account i.
func accountRecord(i int) *catalogue.Record {
	return &catalogue.Record{
		Type: catalogue.TypeAccount, ID: fmt.Sprintf("account-%05d", i), Owner: "citara-ops", EditID: "0123456789abcdef01234567",
		EditedBy: "ops-desk", EditedAt: time.Unix(1_780_000_000, 0).UTC(), Revision: uint64(i + 1),
		Account: &catalogue.Account{KeySHA256: catalogue.HashKey(fmt.Sprint(i)), Limits: catalogue.Limits{RequestsPerSecond: 20, TokensPerSecond: 40_000, Concurrent: 50}},
	}
}

// catalogueCosts measures replicas and edits of the catalogue.
func catalogueCosts() ([]Cost, error) {
	var costs []Cost
	for _, accounts := range []int{480, 4_800, 48_000} {
		replica := catalogue.NewReplica()
		kept := heapGrowth(func() any { fillReplica(replica, accounts); return replica })
		record := accountRecord(7)
		page := catalogue.PageOf(record.Key())
		revision := replica.View().Revisions()[page]
		apply := microsPerCall(func() {
			revision++
			next := *record
			next.Revision = revision
			replica.Apply(catalogue.Change{Page: page, Revision: revision, Records: []*catalogue.Record{&next}})
		})
		store := newMemoryStore()
		copyPage(store, replica.View(), page)
		edit := microsPerCall(func() {
			current := recordRevision(store, page, record.Key())
			_, _ = catalogue.Apply(context.Background(), store, catalogue.Edit{Record: accountRecord(7), Expect: current, ID: fmt.Sprint(rand.Uint64())}, 0)
		})
		size := fmt.Sprint(accounts, " accounts")
		costs = append(costs,
			Cost{Name: "catalogue replica", Size: size, HeapBytes: kept},
			Cost{Name: "one edit applied to a replica", Size: size, Microseconds: apply},
			Cost{Name: "one edit made by an entry (decode, change, encode a page)", Size: size, Microseconds: edit, Bytes: len(store.values[catalogue.PageKey(page)].Data), Note: "bytes of the page"},
		)
	}
	encoded, err := json.Marshal(accountRecord(7))
	costs = append(costs, Cost{Name: "one record pulled by a node", Size: "1", Bytes: len(encoded)})
	replica := catalogue.NewReplica()
	fillReplica(replica, 48_000)
	costs = append(costs, Cost{Name: "recognising a client account by its key", Size: "48000 accounts", Microseconds: microsPerCall(func() { replica.View().AccountByKey("account-00007.secret") })})
	return costs, err
}

// fillReplica applies the records of a number of accounts to a replica.
func fillReplica(replica *catalogue.Replica, accounts int) {
	var changes [catalogue.PageCount]catalogue.Change
	for i := range accounts {
		record := accountRecord(i)
		page := catalogue.PageOf(record.Key())
		changes[page].Page, changes[page].Revision = page, uint64(accounts)
		changes[page].Records = append(changes[page].Records, record)
	}
	for _, change := range changes {
		replica.Apply(change)
	}
}

// copyPage writes one page of a catalogue view to an empty store.
func copyPage(store *memoryStore, view *catalogue.View, number int) {
	page := catalogue.Page{Records: map[string]*catalogue.Record{}}
	for _, change := range view.ChangesSince(nil) {
		if change.Page == number {
			page.Revision = change.Revision
			for _, record := range change.Records {
				page.Records[record.Key()] = record
			}
		}
	}
	data, _ := json.Marshal(page)
	_ = store.CompareAndSwap(context.Background(), catalogue.PageKey(number), data, 0)
}

// recordRevision is the revision of a record in the store, 0 if it is not there.
func recordRevision(store *memoryStore, page int, key string) uint64 {
	value, _ := store.Get(context.Background(), catalogue.PageKey(page))
	decoded, err := catalogue.DecodePage(value.Data)
	if err != nil || decoded.Records[key] == nil {
		return 0
	}
	return decoded.Records[key].Revision
}

// powerCosts measures the planning of a site's power ledger.
func powerCosts() ([]Cost, error) {
	var costs []Cost
	for _, endpoints := range []int{25, 400, 1_200} {
		ledger, err := power.DecodeLedger(nil)
		if err != nil {
			return nil, err
		}
		reports := make([]power.Report, endpoints)
		for i := range reports {
			reports[i] = power.Report{Endpoint: fmt.Sprintf("worker-%05d", i), Incarnation: 1, FloorWatts: 1000, MaxWatts: 5000, WantWatts: 3000, LimitWatts: 1000}
		}
		random := rand.New(rand.NewPCG(1, 2))
		cost := microsPerCall(func() {
			reports[random.IntN(endpoints)].WantWatts = uint64(1000 + random.IntN(4000))
			if next := power.Plan(ledger, uint64(3000*endpoints), reports); next != nil {
				ledger = next
			}
		})
		data, err := ledger.Encode()
		if err != nil {
			return nil, err
		}
		costs = append(costs, Cost{Name: "planning a site's power ledger", Size: fmt.Sprint(endpoints, " endpoints"), Microseconds: cost, Bytes: len(data), Note: "bytes of the ledger"})
	}
	return costs, nil
}

// agentCosts measures an agent's bookkeeping of requests.
func agentCosts() ([]Cost, error) {
	table := attempt.NewTable(1, time.Second, time.Hour)
	queue := admission.NewQueue(admission.Config{MaxRunning: 1 << 20, MemoryTokens: 1 << 30, PrefillRate: 20_000, MaxWait: [3]time.Duration{time.Hour, time.Hour, time.Hour}})
	now := time.Now()
	cost := microsPerCall(func() {
		r := table.Reserve(now)
		queue.Offer(now, admission.Job{ID: r.Number, Account: "a", PromptTokens: 1000, OutputTokens: 100, Deadline: now.Add(time.Hour)})
		table.Accept(now, r)
		queue.MarkReady(r.Number)
		id, _ := queue.StartNext()
		table.Start(r)
		queue.MarkPrefilled(id)
		table.Finish(now, r, nil)
		queue.Remove(id)
	})
	kept := heapGrowth(func() any {
		full := attempt.NewTable(1, time.Second, time.Hour)
		for range 10_000 {
			r := full.Reserve(now)
			full.Accept(now, r)
			full.Start(r)
			full.Finish(now, r, &wire.End{Code: 1000, Ran: "yes"})
		}
		return full
	})
	return []Cost{
		{Name: "one request through an agent's table and queue", Size: "1", Microseconds: cost},
		{Name: "outcome kept by an agent", Size: "1", HeapBytes: kept / 10_000, Note: "kept for an hour"},
	}, nil
}

// limiterCosts measures the client accounts' limits.
func limiterCosts() ([]Cost, error) {
	limiter := admission.NewLimiter()
	limits := admission.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrent: 1 << 30}
	names := make([]string, 48_000)
	for i := range names {
		names[i] = fmt.Sprintf("account-%05d", i)
	}
	kept := heapGrowth(func() any {
		for _, name := range names {
			limiter.Admit(time.Now(), name, limits, 1, 1000)
		}
		return limiter
	})
	i := 0
	cost := microsPerCall(func() {
		i++
		limiter.Admit(time.Now(), names[i%len(names)], limits, 1, 1000)
		limiter.Done(names[i%len(names)])
	})
	return []Cost{{Name: "one request through the limits", Size: "48000 accounts", Microseconds: cost, HeapBytes: kept / len(names), Note: "heap per active account"}}, nil
}

// claimCosts measures the claim of a call that is not repeatable.
func claimCosts() ([]Cost, error) {
	claim := &attempt.Claim{
		Digest: attempt.Digest("excuse-filing", []byte("x")), Attempt: "0123456789abcdef01234567", RequestID: "0123456789abcdef01234567",
		State: attempt.ClaimDone, Endpoint: "worker-00001", Addr: "10.0.0.1:7400", Reservation: attempt.Reservation{Incarnation: 1_780_000_000_000, Number: 123_456},
		Outcome: &attempt.ClaimOutcome{Code: 1000, ServiceStatus: 200, Body: make([]byte, 300)},
	}
	data, err := claim.Encode()
	return []Cost{{Name: "claim with its outcome in the store", Size: "300-byte reply", Bytes: len(data), Note: "2 reads and 2 writes of the store a call"}}, err
}

// memoryStore is an in-memory store that never fails.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]infra.Value
}

func newMemoryStore() *memoryStore { return &memoryStore{values: map[string]infra.Value{}} }

// Get implements infra.Store.
func (s *memoryStore) Get(_ context.Context, key string) (infra.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], nil
}

// CompareAndSwap implements infra.Store.
func (s *memoryStore) CompareAndSwap(_ context.Context, key string, data []byte, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return infra.ErrConflict
	}
	s.revision++
	s.values[key] = infra.Value{Key: key, Data: data, Revision: s.revision}
	return nil
}

// Watch implements infra.Store. It returns the current value at once.
func (s *memoryStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (infra.Value, error) {
	return s.Get(ctx, key)
}
