package driver2

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

// TestRebornBehindACut cuts a worker off for 1.2 s. It crashes in the middle of its answers, which have no length, and starts
// again as a new lifetime at its address before the cut ends. What it had sent, and the end of the connections, arrive then.
func TestRebornBehindACut(t *testing.T) {
	r, s := newRecord(), newStore(t)
	config := platform.Config{
		Version: 1, Accounts: []platform.Account{{Name: "tenant-1", Keys: []string{key}}},
		Limits:   platform.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []platform.Service{{Name: "desk", MaxConnections: 100}},
		Routes: []platform.Route{{
			Name: "desk", Host: host, Prefix: "/desk/", Kind: "non_idempotent", Service: "desk", Timeout: 5 * time.Second, Target: 300 * time.Millisecond, MaxAttempts: 1,
		}},
	}
	// An answer without a length, of which the second half comes later.
	halves := func(w *worker, conn net.Conn, a *arrival) bool {
		r.add("%s runs %s", w.id, a.id)
		body := plainBody(a.id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Server-Stamp: %s\r\nConnection: close\r\n\r\n%s", a.id, stamp(w, a.id), body[:len(body)/2])
		time.Sleep(2500 * time.Millisecond)
		_, _ = fmt.Fprint(conn, body[len(body)/2:])
		return false
	}
	for n := 2; n <= 8; n++ {
		w := startWorker(t, fmt.Sprintf("i-%d", n), "desk", "zone-a", halves)
		s.Put("servers/"+w.id, w.registration("ready"))
	}
	first := startWorker(t, "i-1", "desk", "zone-a", halves)
	path, err := link.New(first.listener.Addr().String())
	cannotRun(err)
	t.Cleanup(path.Close)
	s.Put("servers/i-1", first.registrationAt(path.Addr(), "ready"))
	s.Put("op/config", config.Encode())
	gateways := startGateways(t, r, 2, s, nil)
	time.Sleep(5 * time.Second)

	c := newClient()
	var mu sync.Mutex
	half := 0
	var clients sync.WaitGroup
	for _, g := range gateways {
		for n := range 32 {
			clients.Go(func() {
				id := fmt.Sprintf("%s/%d", g.name, n)
				r.add("%s is sent", id)
				a := c.send(g, "POST", "/desk/x", id, "filed", 5*time.Second)
				r.add("%s: %v", id, a)
				if a.status == 200 && a.err == nil && a.body != plainBody(id) {
					mu.Lock()
					half++
					mu.Unlock()
				}
			})
		}
	}
	if trouble() {
		time.Sleep(400 * time.Millisecond)
		path.SetBlocked(link.Both)
		r.add("i-1 is cut off")
		time.Sleep(200 * time.Millisecond)
		first.end()
		r.add("i-1 crashes")
		time.Sleep(500 * time.Millisecond)
		next := startWorkerAt(t, first.listener.Addr().String(), "i-9", "desk", "zone-a", answerPlain(20*time.Millisecond))
		s.Put("servers/i-9", next.registrationAt(path.Addr(), "ready"))
		r.add("i-9 starts at the address of i-1")
		time.Sleep(500 * time.Millisecond)
		path.SetBlocked(0)
		r.add("the cut ends")
	}
	clients.Wait()
	r.add("%d successes with half of the worker's body", half)
	if half > 0 {
		t.Fatalf("MIXED: %d successes with half of the worker's body", half)
	}
}
