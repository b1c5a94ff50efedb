package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	standin "aspenyard.example/standin/platform"
)

// BenchmarkStart measures by cause how long a gateway takes from its creation to its first served request,
// beside another gateway, with a store that takes some time for each call: until it listens, until the
// configuration is in force, until it is registered, until it has sent its first heartbeat or has a view,
// and until a request that was sent at once is served.
func BenchmarkStart(b *testing.B) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
		b.Run(fmt.Sprintf("store=%v", delay), func(b *testing.B) {
			first := newFixture(b, plainWorker())
			first.enablePeers()
			first.start()
			begun := time.Now()
			first.waitFor("it may respond with a view", func() bool { return time.Since(begun) > 2*time.Second })
			sums, counts := map[string]float64{}, map[string]int{}
			n := 1
			for b.Loop() {
				n++
				s := newFixture(b)
				s.store, s.version = first.store, first.version
				s.store.SetFaults(standin.StoreFaults{Delay: delay})
				s.enablePeers()
				s.extraSettings += fmt.Sprintf(`,"name":"g%d"`, n)
				start := time.Now()
				s.launch()
				sums["listen"] += time.Since(start).Seconds()
				counts["listen"]++
				if got := s.post("/again/a", fmt.Sprint("q", n)); got.status != http.StatusOK {
					b.Fatal(got.status, got.err)
				}
				sums["served"] += time.Since(start).Seconds()
				counts["served"]++
				s.waitFor("heard", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") > 0 })
				for _, line := range strings.Split(s.log.String(), "\n") {
					for event, metric := range map[string]string{"config_in_force": "config", "registered": "registered", "view_received": "view"} {
						if at, found := eventTime(line, event); found {
							sums[metric] += at.Sub(start).Seconds()
							counts[metric]++
						}
					}
				}
			}
			for metric, sum := range sums {
				b.ReportMetric(1000*sum/float64(counts[metric]), "ms/"+metric)
			}
			b.ReportMetric(float64(counts["view"])/float64(counts["served"]), "views/start")
			first.store.SetFaults(standin.StoreFaults{})
		})
	}
}

// eventTime returns the time of a log line of an event.
func eventTime(line, event string) (time.Time, bool) {
	const key = `"time":"`
	_, rest, found := strings.Cut(line, key)
	if !found || !strings.Contains(line, `"event":"`+event+`"`) {
		return time.Time{}, false
	}
	text, _, _ := strings.Cut(rest, `"`)
	at, err := time.Parse(time.RFC3339Nano, text)
	return at, err == nil
}
