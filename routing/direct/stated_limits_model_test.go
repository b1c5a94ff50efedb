package direct

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model of entries that send all that they may to one endpoint, which states a limit that
// changes. Reports between entries are lost, late and out of order, lists of entries are behind,
// clocks differ, and entries restart, freeze, join, leave and are cut off from the others.
const (
	modelStep     = 50 * time.Millisecond
	modelDuration = 16 * time.Second
	// Users' rule: from modelContact after a change, any modelWindow; an entry counts from
	// modelTold after it knew.
	modelContact = 3 * time.Second
	modelWindow  = 4 * time.Second
	modelTold    = 500 * time.Millisecond
	// modelRenewal is how long after the end of its registration an entry registers again.
	modelRenewal = 5 * time.Second
)

// modelEvent is a change of the limit (value -1 ends it) or a disturbance of an entry.
type modelEvent struct {
	at    time.Duration
	kind  string
	entry int
	value float64
	span  time.Duration
}

type modelEntry struct {
	name   string
	limits *EndpointLimits
	offset time.Duration // of its clock
	// registered is set while the entry is in the list, present while it runs.
	registered, present              bool
	frozenUntil, cutUntil, excusedTo time.Duration
	knowsSince                       time.Duration // -1 while it knows no limit
}

type modelArrival struct {
	at, knownFor time.Duration
	excused      bool
}

type limitModel struct {
	rand     *rand.Rand
	now      time.Duration
	entries  []*modelEntry
	limit    float64
	changes  []modelEvent
	arrivals []modelArrival
	due      []modelMessage
}

// modelMessage is something that happens later.
type modelMessage struct {
	at  time.Duration
	run func()
}

func (m *limitModel) after(delay time.Duration, run func()) {
	m.due = append(m.due, modelMessage{m.now + delay, run})
}

func (m *limitModel) draw(longest time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(longest)))
}

func (m *limitModel) clock(e *modelEntry) time.Time { return at(0).Add(m.now + e.offset) }

func (m *limitModel) names() []string {
	var names []string
	for _, e := range m.entries {
		if e.registered {
			names = append(names, e.name)
		}
	}
	return names
}

// publishList tells every entry the list, each after a delay of its own.
func (m *limitModel) publishList() {
	names := m.names()
	for _, e := range m.entries {
		m.after(m.draw(time.Second), func() { e.limits.SetEntries(m.clock(e), e.name, names) })
	}
}

func (m *limitModel) restart(e *modelEntry) {
	e.limits = NewEndpointLimits()
	e.limits.SetEntries(m.clock(e), e.name, m.names())
	e.present, e.registered, e.knowsSince = true, true, -1
	e.excusedTo = m.now + modelWindow
}

func (m *limitModel) apply(event modelEvent) {
	e := m.entries[event.entry]
	switch event.kind {
	case "limit":
		m.limit = event.value
		m.changes = append(m.changes, event)
		for _, e := range m.entries {
			e.knowsSince = -1
		}
	case "restart":
		m.restart(e)
	case "join":
		if !e.present {
			m.restart(e)
			m.publishList()
		}
	case "lapse": // all registrations end, and the entries that run register again
		var lapsed []*modelEntry
		for _, e := range m.entries {
			if e.registered {
				e.registered = false
				lapsed = append(lapsed, e)
			}
		}
		m.publishList()
		for _, e := range lapsed {
			m.after(m.draw(modelRenewal), func() {
				if e.present {
					e.registered = true
					m.publishList()
				}
			})
		}
	case "leave":
		e.present, e.registered = false, false
		m.publishList()
	case "freeze":
		e.frozenUntil, e.excusedTo = m.now+event.span, m.now+event.span+modelWindow
	case "cut":
		e.cutUntil = m.now + event.span
	}
}

// send sends one request, if the entry may, and handles its response later.
func (m *limitModel) send(e *modelEntry) {
	if !e.limits.Take(m.clock(e), 1) {
		return
	}
	incarnation, sentAt, latency := e.limits, m.clock(e), m.draw(1500*time.Millisecond)
	m.after(m.draw(50*time.Millisecond), func() {
		known := time.Duration(-1)
		if e.knowsSince >= 0 {
			known = m.now - e.knowsSince
		}
		m.arrivals = append(m.arrivals, modelArrival{m.now, known, m.now < e.excusedTo})
		m.after(latency, func() {
			stated := m.limit
			m.after(m.draw(200*time.Millisecond), func() {
				if e.limits == incarnation && e.present {
					e.limits.Observe(m.clock(e), 1, sentAt, stated >= 0, max(stated, 0))
				}
			})
		})
	})
}

// report sends an entry's reports to all others.
func (m *limitModel) report(from *modelEntry, full bool) {
	reports := from.limits.Reports(m.clock(from), full, 64)
	for _, to := range m.entries {
		if to == from || m.now < from.cutUntil || m.now < to.cutUntil || m.rand.Float64() < 0.3 {
			continue
		}
		delay := m.draw(time.Second)
		m.after(delay, func() {
			late := max(delay, to.frozenUntil-m.now+delay)
			m.after(max(to.frozenUntil-m.now, 0), func() {
				if to.present {
					to.limits.Merge(m.clock(to), max(late-m.draw(50*time.Millisecond), 0), reports)
				}
			})
		})
	}
}

// step runs what is due, and lets every running entry send and report.
func (m *limitModel) step() {
	for {
		i := slices.IndexFunc(m.due, func(d modelMessage) bool { return d.at <= m.now })
		if i < 0 {
			break
		}
		run := m.due[i].run
		m.due = slices.Delete(m.due, i, i+1)
		run()
	}
	for i, e := range m.entries {
		if !e.present || m.now < e.frozenUntil {
			continue
		}
		switch limited := e.limits.Limited(m.clock(e), 1); {
		case !limited || m.limit < 0:
			e.knowsSince = -1
		case e.knowsSince < 0:
			e.knowsSince = m.now
		}
		m.send(e)
		if tick := int(m.now/modelStep) + i; tick%2 == 0 {
			m.report(e, tick%20 == 0)
		}
	}
}

// run plays events and returns a description of a broken bound.
func (m *limitModel) run(events []modelEvent) string {
	for ; m.now < modelDuration; m.now += modelStep {
		for len(events) > 0 && events[0].at <= m.now {
			m.apply(events[0])
			events = events[1:]
		}
		m.step()
	}
	for i, change := range m.changes {
		end := modelDuration
		if i+1 < len(m.changes) {
			end = m.changes[i+1].at
		}
		if change.value < 0 {
			continue
		}
		var counted []time.Time
		for _, a := range m.arrivals {
			if a.at >= change.at+modelContact && a.at < end && a.knownFor >= modelTold && !a.excused {
				counted = append(counted, at(0).Add(a.at))
			}
		}
		if most, allowed := maxWithin(counted, modelWindow), 1.5*change.value*modelWindow.Seconds()+5; float64(most) > allowed {
			return fmt.Sprintf("%d requests in %v at a limit of %v named at %v; allowed %v", most, modelWindow, change.value, change.at, allowed)
		}
	}
	return ""
}

// Guards against entries that together exceed a limit, whatever is lost, late or out of order.
func TestEntriesKeepALimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "entries")
		m := &limitModel{rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), limit: -1}
		for i := range count {
			m.entries = append(m.entries, &modelEntry{name: fmt.Sprint("n", i), registered: true, offset: time.Duration(i) * time.Hour})
		}
		for _, e := range m.entries {
			m.restart(e)
			e.excusedTo = 0
		}
		limit := func(value float64, from, to int) modelEvent {
			return modelEvent{at: time.Duration(rapid.IntRange(from, to).Draw(t, "ms")) * time.Millisecond, kind: "limit", value: value}
		}
		values := rapid.SampledFrom([]float64{0, 0.2, 1, 1.3, 2, 5, 10})
		events := []modelEvent{limit(values.Draw(t, "first"), 500, 1500)}
		if rapid.Bool().Draw(t, "changes") {
			events = append(events, limit(rapid.SampledFrom([]float64{-1, 0.2, 1, 5}).Draw(t, "second"), 5000, 7000), limit(values.Draw(t, "third"), 8000, 9000))
		}
		for range rapid.IntRange(0, 6).Draw(t, "disturbances") {
			events = append(events, modelEvent{
				at: time.Duration(rapid.IntRange(0, 15000).Draw(t, "at")) * time.Millisecond, kind: rapid.SampledFrom([]string{"restart", "join", "leave", "lapse", "freeze", "cut"}).Draw(t, "kind"),
				entry: rapid.IntRange(0, count-1).Draw(t, "entry"), span: time.Duration(rapid.IntRange(100, 10000).Draw(t, "span")) * time.Millisecond,
			})
		}
		slices.SortStableFunc(events, func(a, b modelEvent) int { return cmp.Compare(a.at, b.at) })
		if broken := m.run(events); broken != "" {
			t.Fatal(broken)
		}
	})
}
