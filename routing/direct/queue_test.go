package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// reportOthers records the demand, and the load of some endpoints, as reported by another
// entry.
func reportOthers(p *Policy, demand Demand, loads ...EndpointLoad) {
	demand.Service = "m"
	p.tracker.ReplacePeerLoad(testNow, "other", []Demand{demand}, loads)
}

// Guards against keeping the longest prompts queued while engines are idle.
func TestALongPromptStartsWhereEnoughEnginesAreIdle(t *testing.T) {
	is := is.New(t)
	p, list := newPolicy(1), endpoints(40)
	queued := p.Enqueue(service(), 380_000)
	defer queued.Dequeue()
	is.True(queued.MayStart(testNow, list))
	backlog := Demand{LongPrefill: time.Minute, PendingPrefill: time.Minute}
	reportOthers(p, backlog)
	is.True(queued.MayStart(testNow, list)) // the pending prefill is on other engines
	reportOthers(p, backlog, sameLoad(list, EndpointLoad{PendingPrefill: time.Second})...)
	is.True(!queued.MayStart(testNow, list))
	reportOthers(p, backlog, loadsOf(list, 1)...)
	is.True(!queued.MayStart(testNow, list)) // the requests in flight would be delayed
}

// Guards against prompts that are refused or held back because of one that is passed over and waits for longer.
func TestAPromptThatWaitsOutsideTheQueueIsNotCounted(t *testing.T) {
	is := is.New(t)
	p, list := newPolicy(1), endpoints(40)
	reportOthers(p, Demand{LongPrefill: time.Minute, PendingPrefill: time.Minute}, sameLoad(list, EndpointLoad{PendingPrefill: time.Second})...)
	before := p.EstimateFirstToken(testNow, service(), len(list), 150_000)
	waiting := p.WaitUncounted(&Request{Service: service(), PromptTokens: 380_000})
	is.True(!waiting.MayStart(testNow, list)) // no capacity
	is.Equal(p.EstimateFirstToken(testNow, service(), len(list), 150_000), before)
	reportOthers(p, Demand{})
	is.True(waiting.MayStart(testNow, list))
}

// sameLoad returns the same load for each endpoint.
func sameLoad(list []*directory.EndpointState, load EndpointLoad) []EndpointLoad {
	var all []EndpointLoad
	for _, e := range list {
		load.Endpoint = HashEndpoint(e.Incarnation)
		all = append(all, load)
	}
	return all
}

// Guards against all entries using the same free capacity: they see it at the same moment,
// before they learn of each other's starts.
func TestEntriesDoNotAllUseTheSameCapacity(t *testing.T) {
	is := is.New(t)
	const entries, rounds = 40, 20
	list, prefill := endpoints(40), PrefillTime(siteEngine(), 150_000)
	started := 0
	for seed := range uint64(rounds) {
		for i := range uint64(entries) {
			p := newPolicy(1 + seed*entries + i)
			reportOthers(p, Demand{LongPrefill: time.Minute, PendingPrefill: 2 * time.Second, QueuedPrefill: (entries - 1) * prefill})
			queued := p.Enqueue(service(), 150_000)
			for range pollsPerHeartbeat {
				if queued.MayStart(testNow, list) {
					started++
					break
				}
			}
		}
	}
	capacity := float64(40 * pendingPrefillLimit)
	taken := float64(started) / rounds * float64(prefill)
	t.Logf("%.2f of the capacity used in one heartbeat", taken/capacity)
	is.True(taken < 1.3*capacity)
	is.True(taken > 0.3*capacity)

	alone := newPolicy(1)
	for range entries {
		is.True(alone.Enqueue(service(), 150_000).MayStart(testNow, list)) // no other entry uses the capacity
	}
}

// Guards against return times that are computed from other costs than the capacity.
func TestTheCapacityOfAServiceServesItsRequests(t *testing.T) {
	is := is.New(t)
	engine := siteEngine()
	list := endpoints(3)
	is.Equal(ServiceCapacity(service(), list), 3.0)
	list[1] = &directory.EndpointState{Endpoint: list[1].Endpoint, MissingSince: testNow}
	is.Equal(ServiceCapacity(service(), list), 2.0)
	is.Equal(ServiceCapacity(&directory.Service{}, list), float64(list[0].Slots+list[2].Slots))
	// A full engine decodes one pass of each of its slots in PassTime.
	is.Equal(RequestCost(service(), 0, engine.Stride*engine.Slots), PassTime(engine))
	is.Equal(RequestCost(service(), 5000, 0), PrefillTime(engine, 5000))
	is.Equal(RequestCost(&directory.Service{}, 5000, 100), time.Duration(0))
}
