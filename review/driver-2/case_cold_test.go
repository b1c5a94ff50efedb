package driver2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenyard.example/standin/platform"
)

// lateWrite is how long after its call a write is done whose answer was lost.
const lateWrite = 5600 * time.Millisecond

// loseFirstTransaction lets the answer to the gateway's first transaction be lost, and does it lateWrite after the call.
func (p *path) loseFirstTransaction(r *record, name string) {
	var once sync.Once
	handler := p.store.Handler()
	p.wrap = func(w http.ResponseWriter, request *http.Request) bool {
		lost := false
		if strings.HasSuffix(request.URL.Path, "/kv-txn") {
			once.Do(func() { lost = true })
		}
		if !lost {
			return false
		}
		body, _ := io.ReadAll(request.Body)
		late := request.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(body))
		r.add("the answer to the registration of %s is lost", name)
		time.AfterFunc(lateWrite, func() {
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, late)
			r.add("the registration of %s is done late: status %d", name, answer.Code)
		})
		<-request.Context().Done()
		return true
	}
}

// answerStream sends one event after some work.
func answerStream(work time.Duration) func(w *worker, conn net.Conn, a *arrival) bool {
	return func(w *worker, conn net.Conn, a *arrival) bool {
		time.Sleep(work)
		body := fmt.Sprintf("id: 1\ndata: %s\n\n", a.id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", a.id, stamp(w, a.id), len(body), body)
		return err == nil
	}
}

// busiestSecond returns the largest number of arrivals within one second that begins between two times.
func busiestSecond(arrivals []arrival, from, to time.Time) int {
	var times []time.Time
	for _, a := range arrivals {
		if !a.at.Before(from) && !a.at.After(to) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdAfterLateRegistrations loses the answers to the registrations of four gateways of six, and does them late. A zone's
// workers come back cold half a minute later.
func TestColdAfterLateRegistrations(t *testing.T) {
	const (
		gatewayCount, lost = 6, 4
		coldPerS, coldTime = 32, 3 * time.Second
		bound              = coldPerS*1.5 + 5
	)
	r, s := newRecord(), newStore(t)
	config := platform.Config{
		Version: 1, Accounts: []platform.Account{{Name: "tenant-1", Keys: []string{key}}},
		Limits:   platform.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []platform.Service{{Name: "model", MaxConnections: 458, MemoryTokens: 382500, ColdTime: coldTime, ColdPerSecond: coldPerS}},
		Routes: []platform.Route{{
			Name: "model", Host: host, Prefix: "/model/", Kind: "streaming", Resumable: true, Service: "model", Timeout: 10 * time.Second, Target: 250 * time.Millisecond, TargetPause: 200 * time.Millisecond, MaxAttempts: 2,
		}},
	}
	var cold []*worker
	for n := range 6 {
		zone := []string{"zone-a", "zone-b", "zone-c"}[n%3]
		w := startWorker(t, fmt.Sprintf("i-%d", n+1), "model", zone, answerStream(400*time.Millisecond))
		s.Put("servers/"+w.id, w.registration("ready"))
		if zone == "zone-b" {
			cold = append(cold, w)
		}
	}
	s.Put("op/config", config.Encode())
	s.prepare = func(p *path, n int) {
		if trouble() && n < lost {
			p.loseFirstTransaction(r, fmt.Sprintf("edge-%d", n+1))
		}
	}
	gateways := startGateways(t, r, gatewayCount, s, map[string]any{"config_within": "3s", "leaving_within": "3s", "evacuate_within": "5s", "cold_overshoot": 1.5, "cold_tolerance": 5, "retry_allowance": 126})
	time.Sleep(40 * time.Second)
	r.add("entries that are registered: %v", s.Keys("nodes/"))
	stop, c := make(chan struct{}), newClient()
	var clients sync.WaitGroup
	for _, g := range gateways {
		for k := range 70 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					c.send(g, "POST", "/model/x", fmt.Sprintf("%s/%d/%d", g.name, k, n), "draft", 10*time.Second)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for _, w := range cold {
		w.setCold(coldTime)
		s.Put("servers/"+w.id, w.registration("ready"))
		r.add("%s is cold", w.id)
	}
	from := time.Now().Add(time.Second) // all machines know it by then
	time.Sleep(coldTime)
	to := time.Now()
	close(stop)
	clients.Wait()
	worst := 0
	for _, w := range cold {
		most := busiestSecond(w.received(), from, to)
		r.add("%s: %d requests in its busiest second while it is cold and that is known; the bound is %.0f", w.id, most, float64(bound))
		worst = max(worst, most)
	}
	if float64(worst) > bound {
		t.Fatalf("FAILBACK: %d requests reached a cold worker in one second, bound %.0f", worst, float64(bound))
	}
}
