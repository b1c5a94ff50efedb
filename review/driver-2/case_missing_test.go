package driver2

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenyard.example/standin/platform"
)

// TestLeavingAfterAnothersCut cuts one gateway off the store for 0.2 s. Workers leave after that, whose entries are
// removed. It counts the requests that the other gateways send there later than drain_ms after that.
func TestLeavingAfterAnothersCut(t *testing.T) {
	const (
		services = 24
		cutFor   = 200 * time.Millisecond
		interval = 150 * time.Millisecond
		// work is how long a request runs, servesFor how long a worker serves after its entry was removed.
		work, servesFor = 50 * time.Millisecond, drainMS + 150*time.Millisecond
		// recorded is the time before drain_ms from which on each request is recorded.
		recorded = 200 * time.Millisecond
	)
	r, s := newRecord(), newStore(t)
	config := platform.Config{
		Version: 1, Accounts: []platform.Account{{Name: "tenant-1", Keys: []string{key}}},
		Limits: platform.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	var workers []*worker
	for i := range services {
		service := fmt.Sprintf("desk-%d", i)
		config.Services = append(config.Services, platform.Service{Name: service, MaxConnections: 100})
		config.Routes = append(config.Routes, platform.Route{
			Name: service, Host: host, Prefix: fmt.Sprintf("/desk-%d/", i), Kind: "non_idempotent", Service: service, Timeout: 1500 * time.Millisecond, Target: 300 * time.Millisecond, MaxAttempts: 1,
		})
		w := startWorker(t, fmt.Sprintf("i-%d", i), service, "zone-a", answerPlain(work))
		workers = append(workers, w)
		s.Put("servers/"+w.id, w.registration("ready"))
	}
	// The workers that leave are less than a quarter of all.
	config.Services = append(config.Services, platform.Service{Name: "pool", MaxConnections: 100})
	for i := range 4 * services {
		w := startWorker(t, fmt.Sprintf("p-%d", i), "pool", "zone-a", answerPlain(work))
		s.Put("servers/"+w.id, w.registration("ready"))
	}
	s.Put("op/config", config.Encode())
	gateways := startGateways(t, r, 3, s, nil)
	time.Sleep(5 * time.Second)
	var cut *gateway
	for _, g := range gateways {
		if g.store.watches() && cut == nil {
			cut = g
		}
	}
	if cut == nil {
		cannotRun(fmt.Errorf("no gateway watches the store"))
	}

	stop, c := make(chan struct{}), newClient()
	var clients sync.WaitGroup
	var answers sync.Map
	for _, g := range gateways {
		for i := range services {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					id := fmt.Sprintf("%s/%d/%d", g.name, i, n)
					a := c.send(g, "POST", fmt.Sprintf("/desk-%d/x", i), id, "filed", 3*time.Second)
					answers.Store(id, a.String())
				}
			})
		}
	}
	time.Sleep(time.Second)
	if trouble() {
		r.add("%s is cut off the store", cut.name)
		cut.store.cut()
	}
	time.Sleep(cutFor)
	if trouble() {
		cut.store.open()
		r.add("%s reaches the store again", cut.name)
	}
	removed := make([]time.Time, services)
	for i, w := range workers {
		time.Sleep(interval)
		s.Delete("servers/" + w.id)
		removed[i] = time.Now()
		r.add("the entry of %s is removed", w.id)
		time.AfterFunc(servesFor, func() {
			r.add("%s exits", w.id)
			w.end()
		})
	}
	time.Sleep(drainMS + time.Second)
	close(stop)
	clients.Wait()

	late, lost := 0, 0
	for i, w := range workers {
		early := 0
		for _, a := range w.received() {
			after := a.at.Sub(removed[i])
			if after <= drainMS-recorded {
				early++
				continue
			}
			text, _ := answers.Load(a.id)
			answered := fmt.Sprint(text)
			calm := !strings.HasPrefix(a.id, cut.name+"/")
			mark := ""
			if calm && after > drainMS {
				mark = ", LATE"
				late++
				if !strings.HasPrefix(answered, "status 200") {
					lost++
				}
			}
			r.add("%s runs %s, %.3f s after its entry was removed%s; the client got: %s", w.id, a.id, after.Seconds(), mark, answered)
		}
		r.add("%s ran %d requests until %v after its entry was removed", w.id, early, drainMS-recorded)
	}
	r.add("%d requests reached workers later than drain_ms after their entries were removed, from gateways in touch; %d of them were not answered with success", late, lost)
	if late > 0 {
		t.Fatalf("DRAIN: %d requests reached workers later than drain_ms after their entries were removed", late)
	}
}
