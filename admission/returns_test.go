package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// refusedRequest returns a refused request of 100 ms cost in the middle tier.
func refusedRequest(key uint64) ReturnRequest {
	return ReturnRequest{Key: key, Service: "s", Tier: 1, Cause: CauseCapacity, Earliest: 300 * time.Millisecond, Cost: 100 * time.Millisecond, Remaining: time.Minute}
}

// newTestReturns returns the state of an only entry in front of a service with a capacity.
func newTestReturns(start time.Time, capacity float64) *Returns {
	r := NewReturns(start, "n")
	r.SetCapacity(start, "s", capacity)
	return r
}

// Guards against return times at which more callers are told to come than the capacity serves, and
// against times before the cause of the refusal has ended. Any span of slots must hold no more than
// its capacity and, of each lane, one request that needs the next slots as well.
func TestReturnsKeepToTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		const capacity = 1
		r := newTestReturns(start, capacity)
		booked := map[int64]float64{}
		now, largest := time.Duration(0), 0.0
		for key := range uint64(rapid.IntRange(50, 300).Draw(t, "requests")) {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
			q := refusedRequest(key + 1)
			q.Earliest = time.Duration(rapid.IntRange(1, 1500).Draw(t, "earliest")) * time.Millisecond
			q.Cost = time.Duration(rapid.IntRange(20, 60).Draw(t, "cost")) * time.Millisecond
			q.Tier = rapid.IntRange(0, 3).Draw(t, "tier")
			wait := r.Promise(start.Add(now), q)
			if wait < q.Earliest {
				t.Fatalf("told %v, the cause lasts %v", wait, q.Earliest)
			}
			if wait > returnHorizon-time.Second {
				return // the schedule is full
			}
			booked[int64((now+wait+r.phase-returnResolution)/returnSlot)] += q.Cost.Seconds()
			largest = max(largest, q.Cost.Seconds())
		}
		limit := capacity * returnUtilization * returnSlot.Seconds()
		for first := range booked {
			sum := 0.0
			for slot := first; slot < first+returnSlots; slot++ {
				sum += booked[slot]
				if allowed := limit*float64(slot-first+1) + laneCount*largest + limit; sum > allowed {
					t.Fatalf("%.3f s are told to return in %d slots of %.3f s", sum, slot-first+1, limit)
				}
			}
		}
	})
}

// Guards against a herd of callers that all return when the cause of their refusals has ended.
func TestAHerdReturnsSpreadOverTheCapacity(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := newTestReturns(start, 20)
	latest := time.Duration(0)
	for key := range uint64(400) { // 40 s of work; 0.8 x 0.8 of 20 s are promised in a second
		latest = max(latest, r.Promise(start, refusedRequest(key+1)))
	}
	is.True(latest > 3*time.Second)
	is.True(latest < 4*time.Second)
}

// Guards against times that leave no room for the new requests that are served meanwhile.
func TestNewArrivalsLeaveLessRoom(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	latest := func(tier int) (wait time.Duration) {
		r := newTestReturns(start, 20)
		for range 150 {
			r.RecordArrival(start, "s", tier, 100*time.Millisecond)
		}
		for key := range uint64(100) {
			wait = r.Promise(start, refusedRequest(key+1))
		}
		return wait
	}
	is.True(latest(1) > latest(2)+300*time.Millisecond) // arrivals of the same tier count, less urgent ones do not
	is.True(latest(0) > latest(1)+300*time.Millisecond) // returns go before newcomers of their own tier only
}

// Guards against a less urgent herd that takes the capacity before more urgent callers are refused,
// and against callers that lose their rank because they returned into the same overload.
func TestWhoGoesFirst(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := newTestReturns(start, 10)
	first := r.Promise(start, refusedRequest(1))
	for key := range uint64(400) { // the slots are full for those that are refused for the first time
		r.Promise(start, refusedRequest(key+2))
	}
	due := start.Add(first)
	is.Equal(r.Check(due, 1).State, ReturnOnTime)
	repeated := r.Promise(due, refusedRequest(1))
	newcomer := r.Promise(due, refusedRequest(1000))
	is.True(repeated < time.Second)
	is.True(newcomer > 3*time.Second)
	urgent := refusedRequest(1001)
	urgent.Tier = 0
	r.Promise(due, urgent)
	is.Equal(r.service(due, "s").openLanes(due, 1, false), generalLanes) // the rest is kept for the more urgent tier
}

// Guards against a caller that gains by returning early, or by sending copies of its request, and
// against identical requests of many callers that are all told one moment.
func TestEarlyReturnsKeepTheirTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		r := newTestReturns(start, 10)
		for key := range uint64(rapid.IntRange(0, 100).Draw(t, "others")) {
			r.Promise(start, refusedRequest(key+2))
		}
		due := r.Promise(start, refusedRequest(1))
		now, last := time.Duration(0), due
		for i := range rapid.IntRange(1, 20).Draw(t, "returns") {
			now += time.Duration(rapid.Int64Range(0, int64(due-now-earlyTolerance-returnResolution)/10+1).Draw(t, "pause"))
			if status := r.Check(start.Add(now), 1); status.State != ReturnEarly || status.Remaining > due-now+returnResolution {
				t.Fatalf("status %v with %v left %v before the time", status.State, status.Remaining, due-now)
			}
			told := now + r.Promise(start.Add(now), refusedRequest(1))
			if told < due || i < maxConfirmations && told > due+returnResolution || told < last-returnResolution {
				t.Fatalf("return %d is told %v, due %v, last %v", i, told, due, last)
			}
			last = max(last, told)
		}
		for i, want := range []ReturnState{ReturnOnTime, ReturnUnknown} {
			if got := r.Check(start.Add(due), 1).State; got != want {
				t.Fatalf("copy %d of the request is %v at its time, not %v", i, got, want)
			}
		}
	})
}

// Guards against precedence that was not promised. Two entries exchange reports that are lost, late
// and repeated, and whose delay is known but for the network's least; a plain list of what was
// promised says which requests may have precedence.
func TestPrecedenceIsOnlyWhatWasPromised(t *testing.T) {
	type message struct {
		sentAt, at time.Duration
		to         int
		reports    []ReturnReport
	}
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		entries := []*Returns{newTestReturns(start, 5), newTestReturns(start, 5)}
		var messages []message
		due, kept, now := map[uint64]time.Duration{}, map[uint64]int{}, time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			i, key := rapid.IntRange(0, 1).Draw(t, "entry"), rapid.Uint64Range(1, 20).Draw(t, "key")
			e := entries[i]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				e.Check(start.Add(now), key)
				due[key], kept[key] = max(due[key], now+e.Promise(start.Add(now), refusedRequest(key))), 0
			case 1:
				if e.Check(start.Add(now), key).State != ReturnOnTime {
					break
				}
				kept[key]++
				if now > due[key]+returnGrace+earlyTolerance || due[key] == 0 || kept[key] > len(entries) {
					t.Fatalf("key %d has precedence at %v, due %v, for the %d. time", key, now, due[key], kept[key])
				}
				e.Complete(key)
			case 2:
				if reports := e.Reports(start.Add(now), rapid.Bool().Draw(t, "full"), 64); rapid.Bool().Draw(t, "arrives") {
					delay := time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond
					messages = append(messages, message{now, now + delay, 1 - i, reports})
				}
			case 3:
				for _, m := range messages {
					if m.at <= now {
						entries[m.to].Merge(start.Add(now), max(now-m.sentAt-earlyTolerance/2, 0), m.reports)
					}
				}
			}
		}
	})
}

// Guards against callers that lose their precedence because they return to another entry, against
// precedence at both, and against an early return that another entry takes for a newcomer.
func TestOtherEntriesRecogniseReturns(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	first, second, third := newTestReturns(start, 10), newTestReturns(start, 10), newTestReturns(start, 10)
	wait := first.Promise(start, refusedRequest(7))
	reports := first.Reports(start, false, 64)
	is.Equal(reports, []ReturnReport{{Key: 7, Left: wait}})
	is.Equal(len(first.Reports(start, false, 64)), 0)      // changes only
	is.Equal(first.Reports(start, true, 64), reports)      // once more, as a heartbeat may be lost
	is.Equal(len(first.Reports(start, true, 64)), 0)       // but not again
	second.Merge(start.Add(time.Second), time.Second, nil) // no reports
	second.Merge(start, 0, reports)
	third.Merge(start, 0, reports)
	is.Equal(second.Check(start, 7), ReturnStatus{State: ReturnEarly, Remaining: wait})
	is.Equal(second.Promise(start, refusedRequest(7)), wait)
	is.Equal(second.Check(start.Add(wait), 7).State, ReturnOnTime)
	second.Complete(7)
	kept := second.Reports(start.Add(wait), false, 64)
	is.Equal(kept, []ReturnReport{{Key: 7, Kept: true}})
	third.Merge(start.Add(wait), 0, kept)
	is.Equal(third.Check(start.Add(wait), 7).State, ReturnUnknown)
	is.Equal(first.Check(start.Add(wait+returnGrace+time.Millisecond), 7).State, ReturnExpired)
}

// Guards against memory that grows with the number of refused callers, and against a flood that
// displaces promises which are still to be kept.
func TestPromisesAreBounded(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := newTestReturns(start, 1e6)
	for key := range uint64(3 * maxPromises) {
		r.Promise(start, refusedRequest(key+1))
	}
	var reports []ReturnReport
	for key := range uint64(3 * maxPromises) {
		reports = append(reports, ReturnReport{Key: key + 1<<32, Left: time.Second})
	}
	r.Merge(start, 0, reports)
	is.Equal(r.Totals(start).Promises, maxPromises)
	is.Equal(r.Totals(start).Own, maxPromises)
	is.True(len(r.promises.unreported)+len(r.promises.order) <= 2*maxPromises)
	is.Equal(len(r.Reports(start, true, 64)), 64)
	r.Reports(start.Add(time.Minute), false, 64)
	is.Equal(r.Totals(start.Add(time.Minute)).Promises, 0)
	is.True(r.Empty())
}

// Guards against callers that are told to return into an outage which lasts, and against waiting long
// after single failures. Each row is the time since the outage began and what the caller is told.
func TestTheEndOfAnOutageIsEstimated(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var o outage
	is.Equal(o.refuse(at(0), time.Second, true), initialOutage)
	is.Equal(o.refuse(at(1500*time.Millisecond), time.Second, true), time.Second) // never below the base
	is.Equal(o.refuse(at(4*time.Second), time.Second, true), 2*time.Second)       // grows with the outage
	o.end(at(4 * time.Second))
	is.Equal(o.observed, 4*time.Second)
	is.Equal(o.refuse(at(10*time.Second), time.Second, true), 4400*time.Millisecond) // as long as the last one
	is.Equal(o.refuse(at(12900*time.Millisecond), time.Second, true), 1500*time.Millisecond)
	o.end(at(14 * time.Second))
	var single outage
	is.Equal(single.refuse(at(0), busy, false), busy)
	is.Equal(single.refuse(at(minOutage-1), busy, false), busy) // endpoints that refuse one request
	is.True(single.refuse(at(minOutage), busy, false) > time.Second)
	single.end(at(minOutage - 1))
	is.Equal(single.observed, time.Duration(0))
	is.Equal(single.refuse(at(time.Minute), busy, false), busy) // the last refusal tells nothing any more
}

const busy = 300 * time.Millisecond

// Guards against a share of the capacity that ignores the other entries, or that gives an entry with
// most of the callers as little as the others.
func TestTheCapacityIsSharedByRefusals(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := newTestReturns(start, 10)
	r.SetEntries(4)
	is.Equal(r.share.of(start), 0.25)
	for key := range uint64(300) {
		r.Promise(start, refusedRequest(key+1))
	}
	is.True(r.share.of(start) > 0.8)
	var reports []ReturnReport
	for key := range uint64(900) {
		reports = append(reports, ReturnReport{Key: key + 1000, Left: time.Second})
	}
	r.Merge(start, 0, reports)
	is.True(r.share.of(start) > 0.2 && r.share.of(start) < 0.3)
}

// Guards against times beyond the schedule that fill its last slot, in which nobody returns for them.
func TestTimesBeyondTheScheduleBookNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := newTestReturns(start, 10)
	far := refusedRequest(0)
	far.Cause, far.Earliest = CauseStated, time.Minute
	for range 1000 {
		is.Equal(r.Promise(start, far), time.Minute)
	}
	is.Equal(r.service(start, "s").lanes, [laneCount]returnSlotList{})
}

// Guards against changes for services whose capacity is not known, and for callers of a full entry.
func TestWithoutKnownCapacityTheEarliestTimeIsTold(t *testing.T) {
	for _, cause := range []ReturnCause{CauseCapacity, CauseStated, CauseEntry} {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			is := is.New(t)
			r := NewReturns(time.Now(), "n")
			for key := range uint64(100) {
				q := refusedRequest(key + 1)
				q.Cause = cause
				is.Equal(r.Promise(time.Now(), q), q.Earliest)
			}
		})
	}
}

// Guards against costs by the bound of the output, which callers set well above what they get.
func TestTheOutputIsExpectedAsObserved(t *testing.T) {
	is := is.New(t)
	r := newTestReturns(time.Now(), 10)
	is.Equal(r.ExpectedOutput("s", 1000), 1000)
	r.RecordOutput("s", 200)
	is.Equal(r.ExpectedOutput("s", 1000), 200)
	is.Equal(r.ExpectedOutput("s", 100), 100)
	is.Equal(r.ExpectedOutput("s", 0), 200)
	for range 200 {
		r.RecordOutput("s", 400)
	}
	is.True(r.ExpectedOutput("s", 1000) > 390)
}
