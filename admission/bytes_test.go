package admission

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an account that exceeds its bound, that leaks bytes of a request that has ended, or that
// refuses a more urgent request where a less urgent one is taken.
func TestHeldBytesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1 << 20
		a := NewByteAccount(bound)
		var open []*Holding
		var model []int64
		sum := func() (n int64) {
			for _, held := range model {
				n += held
			}
			return n
		}
		pick := func(t *rapid.T) int {
			if len(open) == 0 {
				t.Skip("nothing is open")
			}
			return rapid.IntRange(0, len(open)-1).Draw(t, "holding")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				h := a.Open(rapid.SampledFrom([]BytePurpose{BodyBytes, ResponseBytes, BacklogBytes}).Draw(t, "purpose"), rapid.Float64Range(0, 1).Draw(t, "rank"))
				open, model = append(open, &h), append(model, 0)
			},
			"grow": func(t *rapid.T) {
				i, n := pick(t), rapid.Int64Range(1, bound).Draw(t, "bytes")
				h := open[i]
				wants := model[i] + n
				large := wants > SmallBody
				share := map[BytePurpose]float64{BodyBytes: 0.95 - 0.1*h.rank, ResponseBytes: 1, BacklogBytes: 0.8}[h.purpose]
				if large {
					share = map[BytePurpose]float64{BodyBytes: 0.6 - 0.35*h.rank, ResponseBytes: 0.8, BacklogBytes: 0.6}[h.purpose]
				}
				limit := int64(share * bound)
				allowed := sum()+n <= limit || sum() == model[i] && sum()+n <= bound
				if h.purpose == BacklogBytes && wants > bound/8 {
					allowed = false
				}
				if got := h.Grow(n); got != allowed {
					t.Fatalf("%d bytes more for %+v: %v, want %v", n, h, got, allowed)
				}
				if allowed {
					model[i] = wants
				}
			},
			"move": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				n := rapid.Int64Range(0, model[from]).Draw(t, "bytes")
				open[from].MoveTo(open[to], n)
				model[from] -= n
				model[to] += n
			},
			"shrink": func(t *rapid.T) {
				i := pick(t)
				n := rapid.Int64Range(0, model[i]).Draw(t, "bytes")
				open[i].Shrink(n)
				model[i] -= n
			},
			"release": func(t *rapid.T) {
				i := pick(t)
				open[i].Release()
				model[i] = 0
			},
			"": func(t *rapid.T) {
				if a.Held() != sum() || a.Held() > bound {
					t.Fatalf("%d bytes are held, want %d", a.Held(), sum())
				}
			},
		})
	})
}

// Guards against less urgent requests that fill the entry before more urgent ones are refused.
func TestLessUrgentBodiesAreRefusedEarlier(t *testing.T) {
	is := is.New(t)
	fill := func(rank float64, size int64) int64 {
		a := NewByteAccount(32 << 20)
		for {
			if h := a.Open(BodyBytes, rank); !h.Grow(size) {
				return a.Held()
			}
		}
	}
	for _, size := range []int64{SmallBody, 1 << 20} {
		is.True(fill(0, size) > fill(0.5, size))
		is.True(fill(0.5, size) > fill(1, size))
	}
	large := NewByteAccount(32 << 20)
	for {
		if h := large.Open(ResponseBytes, 0); !h.Grow(1 << 20) {
			break
		}
	}
	small := large.Open(BodyBytes, 1)
	is.True(small.Grow(SmallBody)) // nothing large fills what is kept for small bodies
}

// Guards against two requests that take the last bytes at the same moment.
func TestConcurrentHoldingsStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	a := NewByteAccount(1000)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			h := a.Open(ResponseBytes, 0)
			defer h.Release()
			for range 10_000 {
				if h.Grow(130) && a.Held() > 1000 {
					t.Error("more than the bound")
				}
				h.Release()
			}
		})
	}
	wait.Wait()
	is.Equal(a.Held(), int64(0))
}

// Guards against cutting off a caller that has just begun, one whose body arrives in time, or one whose request
// has run for one whose request has not; and against cutting off the more urgent caller, or the smaller one.
func TestTheSlowCallerThatCostsLeastIsCutOff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	since, deadline := now.Add(-2*time.Second), now.Add(8*time.Second)
	reader := SlowCaller{Held: 100, Since: since, Deadline: deadline}
	larger, lessUrgent, recent, empty := reader, reader, reader, reader
	larger.Held, lessUrgent.Rank, recent.Since, empty.Held = 200, 1, now.Add(-minSlowTime/2), 0
	inTime := SlowCaller{Held: 1000, Since: since, Deadline: deadline, Sends: true, Announced: 1000, Received: 201, Progress: now}
	hopeless, new, stopped, unknown, slowUnknown := inTime, inTime, inTime, inTime, inTime
	hopeless.Received, new.Received, new.Since = 199, 0, now
	stopped.Received, stopped.Progress = 999, now.Add(-minSlowTime)
	unknown.Announced, unknown.Received = -1, 2*minUnknownPace
	slowUnknown.Announced, slowUnknown.Received = -1, minUnknownPace
	for _, c := range []struct {
		purpose BytePurpose
		callers []SlowCaller
		want    int
	}{
		{ResponseBytes, []SlowCaller{recent, empty, inTime, new}, -1}, {ResponseBytes, []SlowCaller{reader, larger}, 1},
		{ResponseBytes, []SlowCaller{larger, lessUrgent}, 1}, {ResponseBytes, []SlowCaller{lessUrgent, hopeless}, 1},
		{BodyBytes, []SlowCaller{reader, larger, lessUrgent, inTime}, -1}, {BodyBytes, []SlowCaller{reader, inTime, hopeless}, 2}, {BodyBytes, nil, -1},
		{BodyBytes, []SlowCaller{inTime, stopped}, 1}, {BodyBytes, []SlowCaller{unknown, slowUnknown}, 1}, {BodyBytes, []SlowCaller{unknown, inTime}, -1},
		{HeadBytes, []SlowCaller{reader, larger, lessUrgent, inTime}, -1}, {HeadBytes, []SlowCaller{reader, stopped}, 1},
		{BodyBytes, []SlowCaller{reader, larger, inTime, recent}, -1}, {BodyBytes, []SlowCaller{reader, larger, inTime, new}, -1}, {BodyBytes, []SlowCaller{reader, inTime, larger, larger, lessUrgent}, 4},
	} {
		is.Equal(PickSlowCaller(now, c.purpose, 2800, c.callers), c.want)
	}
}

// Guards against connections that callers keep for good who send or read too slowly, and against closing those of callers that
// have just begun, whose bodies arrive in time, or who are a few slow readers.
func TestTheConnectionOfTheCallerThatWasWaitedForLongestIsCutOff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	reader := SlowCaller{Since: now.Add(-2 * time.Second), Deadline: now.Add(8 * time.Second)}
	older, recent := reader, reader
	older.Since, recent.Since = now.Add(-3*time.Second), now.Add(-minSlowTime/2)
	stopped := SlowCaller{Since: older.Since, Deadline: reader.Deadline, Sends: true, Announced: 10, Received: 9, Progress: now.Add(-minSlowTime)}
	arriving, laterStopped := stopped, stopped
	arriving.Progress, laterStopped.Since = now, reader.Since
	for _, c := range []struct {
		limit   int64
		callers []SlowCaller
		want    int
	}{
		{100, nil, -1}, {100, []SlowCaller{reader, older, arriving, recent}, -1}, {100, []SlowCaller{older, laterStopped, stopped}, 2},
		{3, []SlowCaller{reader, older, recent}, 1}, {3, []SlowCaller{older, laterStopped}, 1}, {1, []SlowCaller{recent, arriving}, -1},
	} {
		is.Equal(PickForConnection(now, c.limit, c.callers), c.want)
	}
}

// Guards against an expectation that does not follow the responses, and one that grows without bound in memory.
func TestTheExpectedSizeFollowsTheResponses(t *testing.T) {
	is := is.New(t)
	var s ResponseSizes
	is.Equal(s.Expect("r"), int64(0))
	s.Observe("r", 4_000_000)
	is.Equal(s.Expect("r"), int64(4_000_000))
	for range 40 {
		s.Observe("r", 1000)
	}
	is.True(s.Expect("r") >= 1000 && s.Expect("r") < 40_000)
	is.Equal(s.Expect("other"), int64(0))
	for i := range 2 * maxSizedRoutes {
		s.Observe(strconv.Itoa(i), 1)
	}
	is.True(len(s.means) <= maxSizedRoutes)
}

// BenchmarkHeldBytes takes and releases what one request holds.
func BenchmarkHeldBytes(b *testing.B) {
	a := NewByteAccount(28 << 20)
	b.ReportAllocs()
	for b.Loop() {
		body, response := a.Open(BodyBytes, 0.5), a.Open(ResponseBytes, 0.5)
		body.Grow(12_000)
		response.Grow(4096)
		body.Release()
		response.Release()
	}
}

// Guards against bytes that are held beside very many requests, which take memory themselves.
func TestReservedBytesLeaveLessRoom(t *testing.T) {
	is := is.New(t)
	a := NewByteAccount(1 << 20)
	small := func() int {
		n := 0
		for {
			h := a.Open(BacklogBytes, 0)
			if !h.Grow(1 << 10) {
				break
			}
			n++
		}
		a.held.Store(0)
		return n
	}
	all := small()
	a.Reserve(1 << 19)
	is.Equal(small(), all/2)
	is.Equal(a.Reserved(), int64(1<<19))
	a.Reserve(1 << 30)
	is.Equal(small(), all/4) // requests leave a part at least
	large := a.Open(BodyBytes, 1)
	is.True(large.Grow(1 << 20)) // one is taken while nothing else is held
	large.Release()
	a.Reserve(-(1<<30 + 1<<19))
	is.Equal(small(), all)
}
