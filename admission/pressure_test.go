package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pressedEntry simulates an entry with a processor of one core that serves requests in order.
type pressedEntry struct {
	pressure *EntryPressure
	rand     *rand.Rand
	backlog  float64 // seconds of work
	admitted map[float64]int
	refused  map[float64]int
}

func newPressedEntry() *pressedEntry {
	return &pressedEntry{pressure: NewEntryPressure(EntryLimits{Cores: 1}), rand: rand.New(rand.NewPCG(1, 2)), admitted: map[float64]int{}, refused: map[float64]int{}}
}

// run simulates a load, as a multiple of the entry's capacity, of requests of 1 ms with the given ranks. It
// returns the admitted and refused requests by rank.
func (e *pressedEntry) run(d time.Duration, load float64, ranks ...float64) {
	clear(e.admitted)
	clear(e.refused)
	for range d / MeasureInterval {
		for range int(load * 100) {
			rank := ranks[e.rand.IntN(len(ranks))]
			if e.pressure.Admit(rank) {
				e.admitted[rank]++
				e.backlog += 0.001
			} else {
				e.refused[rank]++
			}
		}
		used := min(e.backlog, 0.1)
		e.backlog -= used
		e.pressure.Observe(EntryUse{Elapsed: MeasureInterval, Processor: time.Duration(used * 1e9), TimerLate: min(time.Duration(e.backlog*1e9), MeasureInterval)})
	}
}

// Guards against an entry that refuses requests which it could serve: at 0.85 of its limit, however late its
// timers are, and without a limit.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	is := is.New(t)
	e := newPressedEntry()
	e.run(20*time.Second, 0.85, 0, 1)
	is.Equal(len(e.refused), 0)
	for range 100 {
		e.pressure.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 85 * time.Millisecond, TimerLate: time.Minute, SendWaiting: 1 << 40, Sent: 1 << 40})
	}
	is.True(e.pressure.Pressure(Processor) < 1)
	unlimited := NewEntryPressure(EntryLimits{})
	for range 100 {
		is.Equal(len(unlimited.Observe(EntryUse{Elapsed: MeasureInterval, Processor: time.Hour, TimerLate: time.Hour, Received: 1 << 40})), 0)
		is.True(unlimited.Admit(1))
	}
}

// Guards against an entry that admits more than it can serve, so that all callers wait, or that leaves its
// processor idle; and against urgent requests that are refused while less urgent ones are admitted.
func TestAPressedEntryServesWhatItCanByUrgency(t *testing.T) {
	is := is.New(t)
	e := newPressedEntry()
	e.run(5*time.Second, 3, 0, 0.5, 1)
	e.run(20*time.Second, 3, 0, 0.5, 1) // each rank asks for the whole capacity
	served := float64(e.admitted[0]+e.admitted[0.5]+e.admitted[1]) / 20_000
	t.Logf("served %.3f of the capacity; admitted %v, refused %v, backlog %.3f s", served, e.admitted, e.refused, e.backlog)
	is.True(served > 0.85 && served < 1.02)
	is.True(e.backlog < 0.1)
	is.True(float64(e.refused[0]) < 0.2*float64(e.admitted[0]))
	is.True(float64(e.admitted[1]) < 0.02*float64(e.refused[1]))
	e.run(4*time.Second, 0.5, 0, 1)
	e.run(2*time.Second, 0.5, 0, 1)
	is.Equal(len(e.refused), 0) // the load has ended
}

// Guards against requests that are refused after an entry was suspended, and against a measurement that
// counts for as long as the suspension took.
func TestALateMeasurementCountsOnce(t *testing.T) {
	is := is.New(t)
	e := newPressedEntry()
	e.run(5*time.Second, 0.5, 0, 1)
	e.pressure.Observe(EntryUse{Elapsed: time.Minute, Processor: 50 * time.Millisecond, TimerLate: time.Minute})
	e.pressure.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 100 * time.Millisecond, TimerLate: time.Minute})
	is.True(e.pressure.Pressure(Processor) < 1)
	is.True(e.pressure.Admit(1))
	is.Equal(len(e.pressure.Observe(EntryUse{Processor: time.Second})), 0) // no time has passed
	full := NewEntryPressure(EntryLimits{Cores: 1})
	for range 20 {
		full.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 2 * MeasureInterval})
	}
	full.Observe(EntryUse{Elapsed: time.Minute})
	is.True(full.Pressure(Processor) > 1)
	saturated := NewEntryPressure(EntryLimits{Cores: 1}).Observe(EntryUse{Elapsed: 2 * time.Second, Processor: 2 * time.Second, TimerLate: 1900 * time.Millisecond})
	is.Equal(len(saturated), 1) // it was not suspended
}

// Guards against refusals below the limit where the operating system gives out processor time in periods, so that
// measurements show more than the limit and nothing in turn, and timers are late until the next period.
func TestProcessorTimeThatIsGivenOutInPeriodsPressesNothing(t *testing.T) {
	is := is.New(t)
	p := NewEntryPressure(EntryLimits{Cores: 0.06})
	for range 100 {
		p.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 9600 * time.Microsecond, TimerLate: 90 * time.Millisecond})
		is.True(p.Pressure(Processor) < 1) // 0.8 of the limit is used
		p.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 0})
		is.True(p.Admit(1))
	}
}

// Guards against a resource whose measurement fails while requests are refused because of it: they would be
// refused forever.
func TestAFailedMeasurementRelieves(t *testing.T) {
	is := is.New(t)
	p := NewEntryPressure(EntryLimits{Cores: 1, LinkBytes: 1e6})
	var pressed, relieved int
	for range 50 {
		for _, c := range p.Observe(EntryUse{Elapsed: MeasureInterval, Processor: time.Second, Sent: 1e6}) {
			is.True(c.Pressed && c.Pressure > 1)
			pressed++
		}
	}
	is.Equal(pressed, 2) // processor and link
	for _, c := range p.Observe(EntryUse{Elapsed: MeasureInterval, Processor: -1}) {
		is.Equal(c.Resource, Processor)
		is.True(!c.Pressed)
		relieved++
	}
	is.Equal(relieved, 1)
}

// Guards against a saturated link whose pressure does not rise because it cannot transmit more than its limit,
// and against slow callers who press a link that has capacity.
func TestBytesThatWaitCountAtASaturatedLink(t *testing.T) {
	is := is.New(t)
	pressureAfter := func(sent, waiting int64) float64 {
		p := NewEntryPressure(EntryLimits{LinkBytes: 1e6})
		for range 20 {
			p.Observe(EntryUse{Elapsed: MeasureInterval, Sent: sent, SendWaiting: waiting})
		}
		return p.Pressure(LinkSent)
	}
	is.True(pressureAfter(89_000, 0) < 1)
	is.True(pressureAfter(89_000, 1e6) > 2)
	is.True(pressureAfter(70_000, 1e9) < 0.9)
}

// The reference sorts the requests by urgency and refuses from the end. Guards against a refused share that
// falls on urgent requests, and against one that is larger or smaller than asked for.
func TestTheRefusedShareFallsOnTheLeastUrgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s rankShares
		total := 0
		for i := range s.arrived {
			n := rapid.IntRange(1, 50).Draw(t, "requests")
			s.arrived[i], total = float64(n), total+n
		}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		toRefuse := share * float64(total)
		for i := rankCount - 1; i >= 0; i-- {
			want := min(toRefuse, s.arrived[i])
			toRefuse -= want
			if got := s.refusedShare(i, share) * s.arrived[i]; got < want-1e-6 || got > want+1e-6 {
				t.Fatalf("rank %d: %.3f of %.0f requests are refused, must be %.3f", i, got, s.arrived[i], want)
			}
		}
	})
}

// Guards against refusals in bursts: of requests with one rank, each run of them loses its share.
func TestRefusalsAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	var s rankShares
	refused := 0
	for i := range 1000 {
		if !s.admit(0.5, 0.3) {
			refused++
		}
		is.True(float64(refused) > float64(i+1)*0.3-1.001 && float64(refused) < float64(i+1)*0.3+1.001)
	}
}

// Guards against a large body that is read although it arrives too late, and against bodies that are refused
// because of others that use little of the link.
func TestALargeBodyIsTakenWhereItArrivesInTime(t *testing.T) {
	const link = 14e6 / 8
	terms := func(remaining time.Duration) LinkTerms {
		return LinkTerms{LinkBytes: link, OtherBytes: 100_000, Remaining: remaining}
	}
	const MB = 1_000_000
	cases := []struct {
		name     string
		terms    LinkTerms
		size     int64
		incoming []IncomingBody
		want     bool
	}{
		{"4 MB in 3.3 s", terms(10 * time.Second), 4 * MB, nil, true},
		{"4 MB in 2 s", terms(6 * time.Second), 4 * MB, nil, false},
		{"a small body", terms(time.Millisecond), SmallBody, nil, true},
		{"no limit", LinkTerms{Remaining: time.Millisecond}, 4 * MB, nil, true},
		{"no time left", terms(-time.Second), SmallBody + 1, nil, false},
		{"behind another", terms(10 * time.Second), 4 * MB, []IncomingBody{{Announced: 4 * MB}}, false},
		{"behind the end of another", terms(10 * time.Second), 4 * MB, []IncomingBody{{Announced: 4 * MB, Received: 3_900_000, Sending: 3 * time.Second}}, true},
		{"beside one that sends slowly", terms(10 * time.Second), 4 * MB, []IncomingBody{{Announced: 4 * MB, Received: 1000, Sending: 2 * time.Second}}, true},
		{"beside a full link", LinkTerms{LinkBytes: link, OtherBytes: 2 * link, Remaining: 10 * time.Second}, MB, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(BodyArrives(c.terms, c.size, c.incoming), c.want) })
	}
}

// Guards against callers' connections that take the descriptors or the memory of requests.
func TestCallerConnectionsLeaveRoomForOthers(t *testing.T) {
	cases := []struct {
		name        string
		descriptors int
		memory      int64
		others      int
		most        int
		bounding    EntryResource
	}{
		{"descriptors", 2870, 536_000_000, 0, 1780, Descriptors},
		{"memory", 8192, 112_000_000, 0, 1217, Memory},
		{"many to endpoints", 2870, 536_000_000, 2000, 870, Descriptors},
		{"all used by others", 2870, 536_000_000, 5000, 1, Descriptors},
		{"no descriptor limit", 0, 112_000_000, 5000, 1217, Memory},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			most, bounding := CallerConnections(c.descriptors, c.memory, c.others)
			is.Equal(most, c.most)
			is.Equal(bounding, c.bounding)
		})
	}
}

func BenchmarkEntryPressure(b *testing.B) {
	p := NewEntryPressure(EntryLimits{Cores: 1})
	for range 50 {
		p.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 200 * time.Millisecond})
	}
	b.Run("request", func(b *testing.B) {
		for i := range b.N {
			p.Admit(float64(i%4) / 3)
		}
	})
	b.Run("measurement", func(b *testing.B) {
		for range b.N {
			p.Observe(EntryUse{Elapsed: MeasureInterval, Processor: 200 * time.Millisecond})
		}
	})
}
