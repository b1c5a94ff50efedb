package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// tellOthers lets a policy hear that others have so much to prefill, and of some engines.
func tellOthers(p *Policy, demand Demand, open ...EndpointLoad) {
	demand.Service = "m"
	p.ledger.ReplacePeerLoad(testNow, "other", []Demand{demand}, open)
}

// Guards against holding the longest prompts back while engines are idle.
func TestALongPromptStartsWhereEnoughEnginesAreIdle(t *testing.T) {
	is := is.New(t)
	p, list := policy(1), endpoints(40)
	held := p.Enqueue(service(), 380_000)
	defer held.Dequeue()
	is.True(held.MayStart(testNow, list))
	backlog := Demand{LongPrefill: time.Minute, PendingPrefill: time.Minute}
	tellOthers(p, backlog)
	is.True(held.MayStart(testNow, list)) // what is read is read elsewhere
	tellOthers(p, backlog, eachOf(list, EndpointLoad{PendingPrefill: time.Second})...)
	is.True(!held.MayStart(testNow, list))
	tellOthers(p, backlog, opens(list, 1)...)
	is.True(!held.MayStart(testNow, list)) // they would be made late
}

// eachOf gives the same of each endpoint.
func eachOf(list []*directory.EndpointState, o EndpointLoad) []EndpointLoad {
	var all []EndpointLoad
	for _, e := range list {
		o.Endpoint = HashEndpoint(e.Incarnation)
		all = append(all, o)
	}
	return all
}

// Guards against entries that see the same room at the same moment and all fill it.
func TestEntriesTakeTurnsAtTheRoomThatAllSee(t *testing.T) {
	is := is.New(t)
	const entries, rounds = 40, 20
	list, prefill := endpoints(40), PrefillTime(siteEngine(), 150_000)
	started := 0
	for seed := range uint64(rounds) {
		for i := range uint64(entries) {
			p := policy(1 + seed*entries + i)
			tellOthers(p, Demand{LongPrefill: time.Minute, PendingPrefill: 2 * time.Second, QueuedPrefill: (entries - 1) * prefill})
			held := p.Enqueue(service(), 150_000)
			for range looksPerHeartbeat {
				if held.MayStart(testNow, list) {
					started++
					break
				}
			}
		}
	}
	room := float64(40 * readingLimit)
	taken := float64(started) / rounds * float64(prefill)
	t.Logf("%.2f of the room taken in one heartbeat", taken/room)
	is.True(taken < 1.3*room)
	is.True(taken > 0.3*room)

	alone := policy(1)
	for range entries {
		is.True(alone.Enqueue(service(), 150_000).MayStart(testNow, list)) // nobody else takes it
	}
}
