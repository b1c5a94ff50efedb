package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"aspenyard.example/directory"
)

// Guards against a backoff that ends too early: by a shorter one, a response in between, or a registration
// that ended for a while; and against one that applies to another incarnation.
func TestBackoffsEndAtTheLastStatedEnd(t *testing.T) {
	is := is.New(t)
	r, e := NewEndpointBackoffs(), endpoints(1)[0]
	r.Observe(testNow, e, 3*time.Second)
	r.Observe(testNow.Add(time.Second), e, time.Second)
	at := func(d time.Duration) bool { return r.InBackoff(testNow.Add(d), e.Incarnation) }
	is.True(at(2900 * time.Millisecond))
	is.True(!at(3 * time.Second))
	r.Observe(testNow.Add(2*time.Second), e, 4*time.Second)
	r.Answered(testNow.Add(2500*time.Millisecond), e.Incarnation) // of a request that was sent before
	is.True(at(5900 * time.Millisecond))
	allowed, _ := r.Take(testNow.Add(4*time.Second), e.Incarnation)
	is.True(!allowed)
	is.True(!at(6 * time.Second))
	other := e.Incarnation
	other.StartUnixMilli = 1
	is.True(!r.InBackoff(testNow.Add(time.Second), other))

	tracker := NewLoadTracker()
	tracker.Backoffs().Observe(testNow, e, time.Hour)
	tracker.Prune(func(directory.Incarnation) bool { return false })
	is.True(tracker.Backoffs().InBackoff(testNow.Add(59*time.Minute), e.Incarnation))
	count, longest := tracker.Backoffs().Totals(testNow)
	is.Equal(count, 1)
	is.Equal(longest, time.Hour)
}

// Guards against requests to endpoints in backoff as a last resort, as helpers, or as a retry, and
// against refusals that do not say when to come back.
func TestEndpointsInBackoffGetNothing(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(20)
	inBackoff := list[10:]
	for i, e := range inBackoff {
		p.tracker.Backoffs().Observe(testNow, e, time.Duration(3+i)*time.Second)
	}
	for _, tokens := range []int{2000, 20_000, 60_000, 150_000, 400_000} {
		for range 10 {
			is.True(!usesAny(p.Place(testNow, prompt(tokens), list), inBackoff))
		}
	}
	is.Equal(len(p.Usable(testNow, testNow, list)), 10)
	is.Equal(len(p.Usable(testNow, testNow.Add(5*time.Second), list)), 13)

	request := prompt(2000)
	for _, e := range list[:10] {
		request.Tried[e.Incarnation] = true
	}
	is.True(p.Place(testNow, request, list) == nil) // the others may take it when it comes back
	plan := p.Place(testNow, prompt(2000), inBackoff)
	is.True(plan.InBackoff && plan.Refused())
	is.True(plan.RetryAfter >= 3*time.Second && plan.RetryAfter < 3*time.Second+backoffSpread)
	less := prompt(2000)
	less.Priority = 5
	plan = p.Place(testNow, less, inBackoff)
	is.True(plan.RetryAfter >= 3*time.Second+backoffSpread) // after the more urgent one
	is.True(p.RefuseIfAllInBackoff(testNow, request, inBackoff) != nil)
	is.True(p.RefuseIfAllInBackoff(testNow, request, list) == nil)
	is.True(p.RefuseIfAllInBackoff(testNow, request, nil) == nil)
}

// Guards against avoidance that takes precedence over a backoff: endpoints that accept no connections
// are a last resort, those in backoff are not.
func TestAvoidedEndpointsAreUsedBeforeThoseInBackoff(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(2)
	p.tracker.Backoffs().Observe(testNow, list[0], time.Second)
	p.tracker.SetUnreachable(list[1].Incarnation, true)
	for range 10 {
		is.Equal(p.Place(testNow, prompt(2000), list).Endpoint, list[1])
	}
}

// Guards against entries that send to an endpoint all that waited at the end of its backoff: from one
// entry, and from many together.
func TestEntriesResumeWithFewRequestsAfterABackoff(t *testing.T) {
	for _, entries := range []int{1, 4, 24, 68, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			e := endpoints(1)[0]
			var all []*EndpointBackoffs
			for i := range entries {
				r := NewEndpointBackoffs()
				r.setRank(rank{i, entries})
				r.Observe(testNow, e, time.Second)
				all = append(all, r)
			}
			end := testNow.Add(time.Second)
			taken := func(at time.Time) int {
				n := 0
				for _, r := range all {
					for range 2 * e.Slots {
						if allowed, _ := r.Take(at, e.Incarnation); allowed {
							n++
						}
					}
				}
				return n
			}
			is.Equal(taken(end.Add(-time.Millisecond)), 0)
			first := taken(end)
			t.Logf("%d entries, %d slots: %d requests at the end of the backoff", entries, e.Slots, first)
			is.True(first >= 1 && first <= e.Slots)
			is.Equal(taken(end.Add(maxResumeDelay/10)), 0) // before a response, no more than that
			for _, r := range all {
				r.Answered(end.Add(resumeInterval), e.Incarnation)
			}
			is.True(taken(end.Add(resumeInterval)) > 0)
		})
	}
}

// Guards against entries that send to a data centre all that they have when its evacuation ends, and
// against an end of an evacuation that shortens a backoff.
func TestEntriesReturnGraduallyAfterAnEvacuation(t *testing.T) {
	for _, entries := range []int{1, 4, 25, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			e := endpoints(1)[0]
			first, last := 0, 0
			for i := range entries {
				r := NewEndpointBackoffs()
				r.setRank(rank{i, entries})
				r.Resume(testNow, e)
				count, _ := r.Totals(testNow)
				is.Equal(count, 0) // no backoff that others are told of
				is.Equal(len(r.Reports(testNow, true, 10)), 0)
				for range 2 * e.Slots {
					if allowed, _ := r.Take(testNow, e.Incarnation); allowed {
						first++
					}
				}
				if allowed, _ := r.Take(testNow.Add(maxResumeDelay+rampTime+1), e.Incarnation); allowed {
					last++
				}
			}
			is.True(first >= 1 && first <= e.Slots)
			is.Equal(last, entries)
		})
	}
	is := is.New(t)
	r, e := NewEndpointBackoffs(), endpoints(1)[0]
	r.Observe(testNow, e, time.Second)
	r.Resume(testNow, e)
	is.True(r.InBackoff(testNow.Add(900*time.Millisecond), e.Incarnation))
}

// Guards against an endpoint that takes few requests for ever after a backoff.
func TestTheTimeAfterABackoffEnds(t *testing.T) {
	is := is.New(t)
	e := endpoints(1)[0]
	r := NewEndpointBackoffs()
	r.setRank(rank{0, 68})
	r.Observe(testNow, e, time.Second)
	end := testNow.Add(time.Second + maxResumeDelay)
	for range e.Slots {
		allowed, counted := r.Take(end, e.Incarnation)
		is.True(allowed)
		if counted {
			r.Answered(end, e.Incarnation)
		}
	}
	_, counted := r.Take(end, e.Incarnation)
	is.True(!counted)
	r.Observe(end, e, time.Second)
	resumed := end.Add(time.Second + maxResumeDelay)
	r.Take(resumed, e.Incarnation) // never answered
	allowed, counted := r.Take(resumed.Add(rampTime), e.Incarnation)
	is.True(allowed && !counted)
}

// Guards against a request to an endpoint within a backoff that it stated to this entry, whatever the
// order of refusals, responses and failures.
func TestNoRequestIsSentWithinABackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewEndpointBackoffs(), testNow
		r.setRank(rank{rapid.IntRange(0, 5).Draw(t, "rank"), rapid.IntRange(0, 6).Draw(t, "entries")})
		list := endpoints(3)
		ends, returned, pending := map[int]time.Time{}, map[int]time.Time{}, map[int]int{}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "endpoint")
				free := r.untilAvailable(now, list[i].Incarnation) == 0
				allowed, counted := r.Take(now, list[i].Incarnation)
				if allowed && now.Before(ends[i]) {
					t.Fatalf("sent %v before the end of a backoff", ends[i].Sub(now))
				}
				if allowed != free {
					t.Fatalf("placing sees %v and sending %v", free, allowed)
				}
				if !allowed && min(now.Sub(ends[i]), now.Sub(returned[i])) > maxResumeDelay+rampTime {
					t.Fatalf("refused %v after the end of the last backoff", now.Sub(ends[i]))
				}
				if counted {
					pending[i]++
				}
			},
			"refusal": func(t *rapid.T) {
				i, length := rapid.IntRange(0, 2).Draw(t, "endpoint"), time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond
				r.Observe(now, list[i], length)
				if end := now.Add(length); end.After(ends[i]) {
					ends[i] = end
				}
			},
			"return after an evacuation": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "endpoint")
				r.Resume(now, list[i])
				returned[i] = now
			},
			"response": func(t *rapid.T) {
				if i := rapid.IntRange(0, 2).Draw(t, "endpoint"); pending[i] > 0 {
					pending[i]--
					r.Answered(now, list[i].Incarnation)
				}
			},
			"no response": func(t *rapid.T) {
				if i := rapid.IntRange(0, 2).Draw(t, "endpoint"); pending[i] > 0 {
					pending[i]--
					r.Unanswered(list[i].Incarnation)
				}
			},
		})
	})
}

// Guards against reports of other entries that outlive the backoff or keep an endpoint from being used
// where no other is left.
func TestReportedBackoffsPutAnEndpointBehindOthers(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(2)
	request := &Request{Service: &directory.Service{Name: "plain"}, Tried: map[directory.Incarnation]bool{}}
	other := NewEndpointBackoffs()
	other.Observe(testNow, list[0], 2*time.Second)
	other.Observe(testNow, list[1], time.Second)
	is.Equal(len(other.Reports(testNow, false, 64)), 2)
	is.Equal(len(other.Reports(testNow.Add(changeReportTime), false, 64)), 0)
	is.Equal(len(other.Reports(testNow.Add(changeReportTime), true, 64)), 2)
	is.Equal(len(other.Reports(testNow.Add(1500*time.Millisecond), true, 64)), 1)
	reports := other.Reports(testNow, false, 1)
	is.Equal(reports, []BackoffReport{{HashEndpoint(list[0].Incarnation), 2 * time.Second}})
	backoffs := p.tracker.Backoffs()
	backoffs.Merge(testNow, 500*time.Millisecond, reports)
	for range 10 {
		is.Equal(p.Place(testNow, request, list).Endpoint, list[1])
	}
	is.Equal(p.Place(testNow, request, list[:1]).Endpoint, list[0])
	is.True(backoffs.peerBackoff(testNow.Add(1400*time.Millisecond), list[0].Incarnation))
	is.True(!backoffs.peerBackoff(testNow.Add(1500*time.Millisecond), list[0].Incarnation))
	backoffs.Merge(testNow, 0, []BackoffReport{{HashEndpoint(list[1].Incarnation), time.Hour}})
	is.True(!backoffs.peerBackoff(testNow.Add(maxPeerBackoff), list[1].Incarnation))
	is.True(!backoffs.InBackoff(testNow, list[0].Incarnation))
}
