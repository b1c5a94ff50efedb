package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against refusing a prompt although only streams that allow long pauses decode on
// the engines: requests in flight were counted regardless of the pauses that their routes
// allow.
func TestALongPartGoesWhereStreamsAllowLongPauses(t *testing.T) {
	is := is.New(t)
	list := endpoints(18)
	overloaded := func(pause time.Duration) bool {
		p := policyWithRank(0, 2)
		loads := make([]EndpointLoad, 0, len(list))
		for _, e := range list {
			loads = append(loads, EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), InFlight: 1, Streams: streamsAllowing(pause, 1)})
		}
		p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", LongPrefill: time.Minute}}, loads)
		return p.Place(testNow, prompt(380_000), list).Overloaded // parts of 0.83 s
	}
	is.True(overloaded(250 * time.Millisecond))
	is.True(overloaded(800 * time.Millisecond))
	is.True(!overloaded(time.Second))
	is.True(!overloaded(0)) // any pause
}

// Guards against refusing a prompt for the streams on engines with little pending prefill
// while other engines have no streams.
func TestALongPartGoesWhereNoStreamIsDelayed(t *testing.T) {
	is := is.New(t)
	list := endpoints(40)
	p := policyWithRank(0, 2)
	loads := make([]EndpointLoad, 0, len(list))
	for i, e := range list {
		load := EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), PendingPrefill: 150 * time.Millisecond}
		if i%2 == 0 {
			load = EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), InFlight: 1, Streams: streamsAllowing(250*time.Millisecond, 1)}
		}
		loads = append(loads, load)
	}
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", LongPrefill: time.Minute}}, loads)
	plan := p.Place(testNow, prompt(380_000), list) // parts of 0.83 s
	is.True(!plan.Overloaded)
	is.Equal(plan.Delayed, 0)
}

// Guards against keeping a prompt queued until it can only miss its target.
func TestAPromptIsQueuedOnlyWhileItCanMeetItsTarget(t *testing.T) {
	is := is.New(t)
	e := FirstTokenEstimate{Wait: time.Second, Prefill: 2 * time.Second}
	is.True(e.LatestStart(4*time.Second) < 2*time.Second)
	is.True(e.LatestStart(4*time.Second) > 0)
	is.Equal(e.LatestStart(time.Second), time.Duration(0))
	is.True(!e.TooLate(4*time.Second) && e.TooLate(2*time.Second))
	is.True(!e.TooLate(0)) // no target
}

// Every pause counts in the class of a pause that is no longer.
func TestPausesCountInClassesOfNoLongerPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pause := time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "pause"))
		class := PauseClass(pause)
		if pauseLimits[class] > pause || pauseLimits[class+1] <= pause {
			t.Fatalf("%v counts in the class of %v", pause, pauseLimits[class])
		}
		if got := streamsAllowing(pause, 3).delayedBy(pauseLimits[class] + 1); got != 3 {
			t.Fatalf("%d of 3 are delayed by a pause just over that of their class", got)
		}
		if got := streamsAllowing(pause, 3).delayedBy(pauseLimits[class]); got != 0 {
			t.Fatalf("%d of 3 are delayed by the pause of their class", got)
		}
	})
	is := is.New(t)
	is.Equal(PauseClass(0), pauseClasses-1)
}
