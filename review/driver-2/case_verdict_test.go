package driver2

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"aspenyard.example/standin/platform"
)

// answerEvents sends the events of a stream after the one that the caller has, one each interval.
func answerEvents(events int, interval time.Duration) func(w *worker, conn net.Conn, a *arrival) bool {
	return func(w *worker, conn net.Conn, a *arrival) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Server-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n", a.id, stamp(w, a.id))
		last, _ := strconv.Atoi(a.header.Get("Last-Event-Id"))
		for n := last + 1; n <= events; n++ {
			time.Sleep(interval)
			text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, a.id, n)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		_, err := fmt.Fprint(conn, "0\r\n\r\n")
		return err == nil
	}
}

// TestVerdictAfterARestart crashes four workers of 24 just after the start, kills all gateways later, and counts what is
// served from recover_s after they are back.
func TestVerdictAfterARestart(t *testing.T) {
	const (
		recoverS = 12 * time.Second
		down     = 4500 * time.Millisecond
	)
	r, s := newRecord(), newStore(t)
	config := platform.Config{
		Version: 1, Accounts: []platform.Account{{Name: "tenant-1", Keys: []string{key}}},
		Limits:   platform.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []platform.Service{{Name: "model", MaxConnections: 264, MemoryTokens: 405000}},
		Routes: []platform.Route{{
			Name: "model", Host: host, Prefix: "/model/", Kind: "streaming", Resumable: true, Service: "model", Timeout: 10 * time.Second, Target: 300 * time.Millisecond, TargetPause: 250 * time.Millisecond, MaxAttempts: 2,
		}},
	}
	answer := answerEvents(12, 200*time.Millisecond)
	var workers []*worker
	for n := range 24 {
		w := startWorker(t, fmt.Sprintf("i-%d", n+1), "model", "zone-a", answer)
		s.Put("servers/"+w.id, w.registration("ready"))
		workers = append(workers, w)
	}
	s.Put("op/config", config.Encode())
	gateways := startGateways(t, r, 4, s, nil)

	type outcome struct {
		sent   time.Time
		served bool
	}
	var mu sync.Mutex
	var outcomes []outcome
	refused := map[string]int{}
	stop, c := make(chan struct{}), newClient()
	var clients sync.WaitGroup
	began := time.Now()
	for _, g := range gateways {
		for k := range 70 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					sent, id := time.Now(), fmt.Sprintf("%s/%d/%d", g.name, k, n)
					a := c.sendPrompt(g, "POST", "/model/x", id, id, 10*time.Second, fmt.Sprintf("c0de:40,%x:960", k<<20+n))
					mu.Lock()
					outcomes = append(outcomes, outcome{sent, a.status == 200 && a.err == nil})
					if a.status != 200 {
						refused[fmt.Sprintf("%d %.60s", a.status, a.body)]++
					}
					mu.Unlock()
					if a.status != 200 {
						time.Sleep(400 * time.Millisecond)
					}
				}
			})
		}
	}
	served := func(from, to time.Time) (share float64, all int) {
		mu.Lock()
		defer mu.Unlock()
		whole := 0
		for _, o := range outcomes {
			if o.sent.After(from) && o.sent.Before(to) {
				all++
				if o.served {
					whole++
				}
			}
		}
		return float64(whole) / float64(max(all, 1)), all
	}
	time.Sleep(800 * time.Millisecond)
	if trouble() {
		for n := range 4 {
			w := slices.MaxFunc(workers, func(a, b *worker) int { return a.load() - b.load() })
			r.add("%s crashes, under %d requests", w.id, w.load())
			w.end()
			time.AfterFunc(down, func() {
				next := startWorkerAt(t, w.listener.Addr().String(), fmt.Sprintf("j-%d", n+1), "model", "zone-a", answer)
				s.Delete("servers/" + w.id)
				s.Put("servers/"+next.id, next.registration("ready"))
				r.add("%s is back as %s", w.id, next.id)
			})
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(19 * time.Second)
	killed := time.Now()
	before, n := served(killed.Add(-10*time.Second), killed.Add(-3*time.Second))
	r.add("before: %.2f of %d requests served", before, n)
	if trouble() {
		for _, g := range gateways {
			g.kill()
		}
		r.add("all gateways are killed")
		time.Sleep(time.Second)
		for _, g := range gateways {
			g.start(t)
		}
		for _, g := range gateways {
			g.awaitReady()
		}
	}
	back := time.Now()
	r.add("the gateways are back")
	time.Sleep(recoverS + 15*time.Second)
	close(stop)
	clients.Wait()
	for second := time.Duration(0); second < time.Since(began); second += 2 * time.Second {
		share, n := served(began.Add(second), began.Add(second+2*time.Second))
		r.add("from %v: %d requests sent, %.2f served", second, n, share)
	}
	for text, n := range refused {
		r.add("%d answers: %s", n, text)
	}
	after, n := served(back.Add(recoverS), back.Add(recoverS+12*time.Second))
	r.add("later than recover_s after they are back: %.2f of %d requests served", after, n)
	if before >= 0.25 && after < 0.25 {
		t.Fatalf("RECOVER: %.2f of the requests are served later than recover_s after the gateways are back, %.2f before", after, before)
	}
}
