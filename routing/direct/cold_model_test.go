package direct

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"aspenyard.example/directory"
)

// The model of entries that send all that they may to one endpoint, which starts anew or becomes cold
// again. Each entry has its own view of the store, which it polls and where it renews its registration.
// Heartbeats are lost and late. Entries start, restart, freeze, and are cut off from the store, from
// each other or both; all registrations may lapse.
const (
	coldStep    = 50 * time.Millisecond
	coldRenewal = 4 * time.Second
	coldLease   = 12 * time.Second
	// coldContact is how long after an endpoint became cold again the bound counts: then every entry has
	// heard of it, or knows that it would not.
	coldContact = defaultListTTL + 1500*time.Millisecond
)

type coldEntry struct {
	name       string
	cold       *ColdEndpoints
	started    bool
	seen       *directory.EndpointState // the endpoint as this entry lists it
	since      time.Duration            // of the registration; 0 while there is none
	renewAt    time.Duration
	noStoreTo  time.Duration
	noPeersTo  time.Duration
	frozenTo   time.Duration
	suspended  []func() // what waits for the end of a freeze
	generation int
}

type coldModel struct {
	rand    *rand.Rand
	now     time.Duration
	service *directory.Service
	bound   float64
	entries []*coldEntry
	// leases holds until when each registered entry is registered.
	leases map[string]time.Duration
	// revision, coldLeftTo and born describe the endpoint, from and to when the bound counts.
	revision       uint64
	born           int64
	coldTo         time.Duration
	listedColdTo   time.Duration
	checked        [][2]time.Duration
	storeAwayUntil time.Duration
	changed        bool
	sendFrom       time.Duration // shortly before the change
	arrivals       []time.Duration
	due            map[int][]modelMessage // by step
}

func (m *coldModel) clock() time.Time { return at(0).Add(m.now) }

func (m *coldModel) draw(longest time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(longest)))
}

func (m *coldModel) after(delay time.Duration, run func()) {
	at := m.now + delay
	m.due[int(at/coldStep)] = append(m.due[int(at/coldStep)], modelMessage{at, run})
}

// run calls a function now, or when the entry is no longer frozen, if it has not restarted by then.
func (m *coldModel) run(e *coldEntry, generation int, run func()) {
	switch {
	case e.generation != generation:
	case m.now < e.frozenTo:
		e.suspended = append(e.suspended, func() { m.run(e, generation, run) })
	default:
		run()
	}
}

func (m *coldModel) reachesStore(e *coldEntry) bool {
	return m.now >= e.noStoreTo && m.now >= m.storeAwayUntil
}

func (m *coldModel) start(e *coldEntry) {
	e.cold, e.started, e.since, e.renewAt, e.frozenTo, e.suspended, e.seen = NewColdEndpoints(), true, 0, 0, 0, nil, nil
	e.generation++
	e.cold.SetBound(1.5, 5)
	e.cold.SetStarted(m.clock())
}

// poll reads the store: what it returns is as of now, and reaches the entry later.
func (m *coldModel) poll(e *coldEntry) {
	if !m.reachesStore(e) {
		return
	}
	began, generation := m.clock(), e.generation
	var names []string
	for _, other := range m.entries {
		if m.leases[other.name] > m.now {
			names = append(names, other.name)
		}
	}
	endpoint := directory.Endpoint{Incarnation: directory.Incarnation{ID: "e", StartUnixMilli: m.born}, Slots: 12, At: directory.At(0, m.revision), ColdLeft: max(m.listedColdTo-m.now, 0)}
	m.after(m.draw(200*time.Millisecond), func() {
		m.run(e, generation, func() {
			e.cold.SetEntries(m.clock(), e.name, names)
			e.cold.SetCurrent(began)
			if e.seen == nil || endpoint.At.After(e.seen.At) {
				e.seen = &directory.EndpointState{Endpoint: endpoint, ColdSeenAt: m.clock(), ColdUntil: m.clock().Add(endpoint.ColdLeft)}
			}
		})
	})
}

// renew renews or writes the entry's registration.
func (m *coldModel) renew(e *coldEntry) {
	if m.now < e.renewAt || !m.reachesStore(e) {
		return
	}
	e.renewAt = m.now + coldRenewal
	called, generation, listed := m.clock(), e.generation, m.leases[e.name] > m.now
	m.leases[e.name] = m.now + coldLease
	since := e.since
	m.after(m.draw(200*time.Millisecond), func() {
		m.run(e, generation, func() {
			if since == 0 || !listed {
				since = m.now
			}
			e.since = since
			e.cold.SetRegistered(at(0).Add(since), called.Add(coldLease))
		})
	})
}

// send sends as many requests as the entry may, at most a few in a step.
func (m *coldModel) send(e *coldEntry) {
	for range 4 {
		if e.seen == nil || m.now < m.sendFrom {
			return
		}
		target, generation := e.seen, e.generation
		ticket, ok := e.cold.Take(m.clock(), m.service, target)
		if !ok {
			return
		}
		if m.rand.IntN(20) == 0 {
			ticket.GiveBack() // there was no connection
			continue
		}
		connect := time.Duration(0)
		if m.rand.IntN(5) == 0 {
			connect = m.draw(400 * time.Millisecond)
		}
		m.after(connect, func() {
			m.run(e, generation, func() {
				if !ticket.Sent(m.clock()) {
					ticket.GiveBack()
					return
				}
				sentAt := m.clock()
				m.after(m.draw(45*time.Millisecond), func() { m.arrive(e, generation, target, ticket, sentAt) })
			})
		})
	}
}

// arrive handles a request at the endpoint. One for an earlier incarnation does not count.
func (m *coldModel) arrive(e *coldEntry, generation int, target *directory.EndpointState, ticket *ColdTicket, sentAt time.Time) {
	if target.StartUnixMilli != m.born {
		m.run(e, generation, ticket.GiveBack)
		return
	}
	m.arrivals = append(m.arrivals, m.now)
	if m.rand.IntN(3) == 0 { // not every response states it
		return
	}
	left := max(m.coldTo-m.now, 0)
	m.after(m.draw(1200*time.Millisecond), func() {
		m.run(e, generation, func() { e.cold.Observe(m.clock(), target, sentAt, left) })
	})
}

// report sends an entry's reports to all others.
func (m *coldModel) report(from *coldEntry, full bool) {
	if !m.changed {
		return
	}
	reports := from.cold.Reports(m.clock(), full, 64, func(yield func(*directory.EndpointState) bool) {
		if from.seen != nil {
			yield(from.seen)
		}
	})
	for _, to := range m.entries {
		if to == from || !to.started || m.now < from.noPeersTo || m.now < to.noPeersTo || m.rand.IntN(4) == 0 {
			continue
		}
		delay, generation := m.draw(300*time.Millisecond), to.generation
		m.after(delay, func() { m.run(to, generation, func() { to.cold.Merge(m.clock(), delay/2, reports) }) })
	}
}

func (m *coldModel) step(tick int) {
	for i, e := range m.entries {
		if !e.started || m.now < e.frozenTo {
			continue
		}
		for len(e.suspended) > 0 {
			run := e.suspended[0]
			e.suspended = e.suspended[1:]
			run()
		}
		if (tick+i)%10 == 0 {
			m.poll(e)
			heard := 0
			for _, other := range m.entries {
				if other != e && other.started && m.now >= other.noPeersTo && m.now >= e.noPeersTo && m.now >= other.frozenTo {
					heard++
				}
			}
			e.cold.SetHeard(heard)
		}
		m.renew(e)
		m.send(e)
		if (tick+i)%4 == 0 {
			m.report(e, (tick+i)%20 == 0)
		}
	}
	for len(m.due[tick]) > 0 { // in order of time; what runs may add more
		i := 0
		for j, d := range m.due[tick] {
			if d.at < m.due[tick][i].at {
				i = j
			}
		}
		next := m.due[tick][i]
		m.due[tick] = slices.Delete(m.due[tick], i, i+1)
		m.now = next.at
		next.run()
	}
	delete(m.due, tick)
}

// coldEvent is a change of the endpoint or a disturbance of some entries.
type coldEvent struct {
	at, span time.Duration
	kind     string
	first, n int
}

func (m *coldModel) apply(event coldEvent) {
	for i := range event.n {
		e := m.entries[(event.first+i)%len(m.entries)]
		switch event.kind {
		case "start", "restart":
			m.start(e)
		case "kill":
			e.started = false
			e.generation++
		case "freeze":
			e.frozenTo = m.now + event.span
		case "cut from the store":
			e.noStoreTo = m.now + event.span
		case "cut from peers":
			e.noPeersTo = m.now + event.span
		case "cut from all":
			e.noStoreTo, e.noPeersTo = m.now+event.span, m.now+event.span
		case "lapse":
			clear(m.leases)
		case "store away":
			m.storeAwayUntil = m.now + event.span
		}
	}
}

// changeEndpoint starts the endpoint anew, or makes it cold again.
func (m *coldModel) changeEndpoint(anew bool, span time.Duration) {
	m.revision++
	if n := len(m.checked); n > 0 {
		m.checked[n-1][1] = min(m.checked[n-1][1], m.now)
	}
	m.coldTo = m.now + span
	m.listedColdTo = m.coldTo
	from := m.now + coldContact
	if anew {
		m.born, from = m.born+1, m.now
		m.arrivals = nil // those of the previous incarnation were checked by the caller
	}
	m.checked = append(m.checked, [2]time.Duration{from, m.coldTo})
}

// broken returns a description of a broken bound.
func (m *coldModel) broken() string {
	for _, span := range m.checked {
		var counted []time.Duration
		for _, a := range m.arrivals {
			if a >= span[0] && a < min(span[1], m.now) {
				counted = append(counted, a)
			}
		}
		first := 0
		for i := range counted {
			for counted[i]-counted[first] >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > m.bound {
				return fmt.Sprintf("%d requests in the second before %v, allowed: %v", n, counted[i], m.bound)
			}
		}
	}
	return ""
}

// Guards against entries that together send a cold endpoint more than it tolerates in any second, whatever
// is lost or late and whoever starts, freezes, or is cut off.
func TestEntriesTogetherSendAColdEndpointNoMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 4, 9, 9, 25}).Draw(t, "entries")
		perSecond := rapid.SampledFrom([]float64{2, 10, 32}).Draw(t, "per second")
		m := &coldModel{rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), leases: map[string]time.Duration{}, due: map[int][]modelMessage{}, born: 1, revision: 1}
		m.service = &directory.Service{Name: "m", ColdTime: 20 * time.Second, ColdPerSecond: perSecond}
		m.bound = 1.5*perSecond + 5
		together := rapid.Bool().Draw(t, "start together")
		var established []*coldEntry
		for i := range count {
			e := &coldEntry{name: fmt.Sprint("n", i)}
			m.entries = append(m.entries, e)
			switch {
			case together:
				m.start(e)
			case i < count/2 || i == 0:
				m.start(e)
				e.since, m.leases[e.name] = -time.Hour, coldLease
				e.cold.SetStarted(at(0).Add(e.since))
				e.cold.SetRegistered(at(0).Add(e.since), at(0).Add(coldLease))
				established = append(established, e)
			}
		}
		for _, e := range established {
			e.cold.SetEntries(at(0), e.name, slices.Sorted(maps.Keys(m.leases)))
			e.cold.SetCurrent(at(0))
		}
		var events []coldEvent
		for range rapid.IntRange(0, 8).Draw(t, "disturbances") {
			events = append(events, coldEvent{
				at:    time.Duration(rapid.IntRange(0, 30000).Draw(t, "at")) * time.Millisecond,
				span:  time.Duration(rapid.IntRange(100, 25000).Draw(t, "span")) * time.Millisecond,
				kind:  rapid.SampledFrom([]string{"start", "restart", "kill", "freeze", "cut from the store", "cut from peers", "cut from all", "lapse", "store away"}).Draw(t, "kind"),
				first: rapid.IntRange(0, count-1).Draw(t, "first"), n: rapid.IntRange(1, count).Draw(t, "n"),
			})
		}
		slices.SortStableFunc(events, func(a, b coldEvent) int { return int(a.at - b.at) })
		anew := rapid.Bool().Draw(t, "anew")
		changeAt := time.Duration(rapid.IntRange(0, 12000).Draw(t, "change")) * time.Millisecond
		m.sendFrom = changeAt - 2*time.Second
		for tick := 0; !m.changed || m.now < m.coldTo; tick++ {
			for len(events) > 0 && events[0].at <= m.now {
				m.apply(events[0])
				events = events[1:]
			}
			if !m.changed && changeAt <= m.now {
				m.changed = true
				m.changeEndpoint(anew, 20*time.Second)
			}
			m.now = time.Duration(tick) * coldStep
			m.step(tick)
		}
		if broken := m.broken(); broken != "" {
			t.Fatal(broken)
		}
	})
}
