package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/graceful"
)

// Guards against giving up an attempt whose silence is not unusual, that could still be waited for, or that nothing can
// replace in time; and against waiting for one that is stalled.
func TestASilentAttemptIsHandedOverAtTheLastMoment(t *testing.T) {
	const interval = time.Second
	attempt := handOver{need: 4 * time.Second, eventTime: 100 * time.Millisecond, patience: 1500 * time.Millisecond}
	cases := map[string]struct {
		remaining, silent time.Duration // until responses are due, since the endpoint's last byte
		received          int64
		permitted, due    bool
	}{
		"last moment":                        {4100 * time.Millisecond, 3 * time.Second, 0, true, true},
		"checked once more before":           {5300 * time.Millisecond, 3 * time.Second, 0, true, false},
		"too late for another":               {3900 * time.Millisecond, 3 * time.Second, 0, true, false},
		"expected first event":               {4100 * time.Millisecond, 1400 * time.Millisecond, 0, true, false},
		"pause in a stream":                  {4100 * time.Millisecond, 1900 * time.Millisecond, 1, true, false},
		"stalled stream":                     {4100 * time.Millisecond, 2100 * time.Millisecond, 1, true, true},
		"stalled stream of which less lacks": {3300 * time.Millisecond, 2100 * time.Millisecond, 10, true, true},
		"no other endpoint or budget":        {4100 * time.Millisecond, 3 * time.Second, 0, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var shutdown graceful.Shutdown
			h := attempt
			h.permit = func() bool { return c.permitted }
			is := is.New(t)
			is.True(!h.isDue(&shutdown, c.silent, interval, c.received)) // the process goes on
			shutdown.Begin(c.remaining, func() time.Duration { return 0 })
			is.Equal(h.isDue(&shutdown, c.silent, interval, c.received), c.due)
		})
	}
}
