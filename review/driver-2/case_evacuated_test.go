package driver2

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"aspenyard.example/standin/platform"
)

// TestEvacuatedCrash ends a worker of an evacuated zone in the middle of its answers, which have no length.
func TestEvacuatedCrash(t *testing.T) {
	r, s := newRecord(), newStore(t)
	config := platform.Config{
		Version: 1, Accounts: []platform.Account{{Name: "tenant-1", Keys: []string{key}}},
		Limits:   platform.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []platform.Service{{Name: "desk", MaxConnections: 100}},
		Routes:   []platform.Route{{Name: "desk", Host: host, Prefix: "/desk/", Kind: "non_idempotent", Service: "desk", Timeout: 3 * time.Second, Target: 300 * time.Millisecond, MaxAttempts: 1}},
	}
	// An answer without a length, of which the second half comes later.
	halves := func(w *worker, conn net.Conn, a *arrival) bool {
		r.add("%s runs %s", w.id, a.id)
		body := plainBody(a.id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Server-Stamp: %s\r\nConnection: close\r\n\r\n%s", a.id, stamp(w, a.id), body[:len(body)/2])
		time.Sleep(time.Second)
		_, _ = fmt.Fprint(conn, body[len(body)/2:])
		return false
	}
	var w *worker
	for n := range 8 {
		w = startWorker(t, fmt.Sprintf("i-%d", n+1), "desk", []string{"zone-a", "zone-b"}[n%2], halves)
		s.Put("servers/"+w.id, w.registration("ready"))
	}
	s.Put("op/config", config.Encode())
	gateways := startGateways(t, r, 2, s, map[string]any{"evacuate_within": "5s"})
	time.Sleep(5 * time.Second)
	c := newClient()
	var mu sync.Mutex
	mixed := 0
	var clients sync.WaitGroup
	if trouble() {
		time.AfterFunc(300*time.Millisecond, func() {
			s.Put("op/evacuate/zone-b", nil)
			r.add("zone-b is evacuated")
		})
		time.AfterFunc(600*time.Millisecond, func() {
			w.end()
			r.add("%s crashes", w.id)
		})
	}
	for _, g := range gateways {
		for n := range 32 {
			clients.Go(func() {
				id := fmt.Sprintf("%s/%d", g.name, n)
				r.add("%s is sent", id)
				a := c.send(g, "POST", "/desk/x", id, "book", 3*time.Second)
				r.add("%s: %v", id, a)
				if a.status == 200 && a.err == nil && a.body != plainBody(id) {
					mu.Lock()
					mixed++
					mu.Unlock()
				}
			})
		}
	}
	clients.Wait()
	r.add("%d successes with half of the worker's body", mixed)
	if mixed > 0 {
		t.Fatalf("MIXED: %d successes with half of the worker's body", mixed)
	}
}
