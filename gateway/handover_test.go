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
	const patience = 1500 * time.Millisecond
	cases := map[string]struct {
		remaining, silent time.Duration // until responses are due, since the endpoint's last byte
		received          int64
		permitted, due    bool
		unknown           bool // how long another attempt may take
	}{
		"last moment":                        {4100 * time.Millisecond, 3 * time.Second, 0, true, true, false},
		"checked once more before":           {5300 * time.Millisecond, 3 * time.Second, 0, true, false, false},
		"too late for another":               {3900 * time.Millisecond, 3 * time.Second, 0, true, false, false},
		"expected first event":               {4100 * time.Millisecond, 1400 * time.Millisecond, 0, true, false, false},
		"pause in a stream":                  {4100 * time.Millisecond, 1900 * time.Millisecond, 1, true, false, false},
		"stalled stream":                     {4100 * time.Millisecond, 2100 * time.Millisecond, 1, true, true, false},
		"stalled stream of which less lacks": {3300 * time.Millisecond, 2100 * time.Millisecond, 10, true, true, false},
		"slow or stalled, nobody knows":      {4100 * time.Millisecond, 3 * time.Second, 0, true, false, true},
		"no other endpoint or budget":        {4100 * time.Millisecond, 3 * time.Second, 0, false, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var shutdown graceful.Shutdown
			h := handOver{permit: func() bool { return c.permitted }, estimate: func(received int64) (time.Duration, time.Duration) {
				if c.unknown {
					return 0, 0
				}
				return 4*time.Second - time.Duration(received)*100*time.Millisecond, patience
			}}
			is := is.New(t)
			is.True(!h.isDue(&shutdown, c.silent, interval, c.received)) // the process goes on
			shutdown.Begin(c.remaining, func() time.Duration { return 0 })
			is.Equal(h.isDue(&shutdown, c.silent, interval, c.received), c.due)
		})
	}
}
