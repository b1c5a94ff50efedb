package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	standin "aspenyard.example/standin/platform"
)

// BenchmarkRequest sends requests through a gateway to an endpoint that responds at once, one after the other
// on one connection: bodies of 12 KB with a short response, and streams of 20 events. Caller and endpoint are
// in the same process.
func BenchmarkRequest(b *testing.B) {
	for name, path := range map[string]string{"plain": "/again/a", "stream": "/stream/a"} {
		b.Run(name, func(b *testing.B) {
			w := &standin.Worker{}
			if name == "stream" {
				w.EventCount = 20
			}
			s := newFixture(b, w).start()
			body := strings.Repeat("x", 12_000)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				if got := s.do(s.request(http.MethodPost, path, fmt.Sprint("q", n), body)); got.status != http.StatusOK {
					b.Fatal(got.status, got.err)
				}
			}
		})
	}
}
