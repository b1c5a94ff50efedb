package driver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

func init() { cases["ghost"] = runGhost }

// Figures of the case "ghost".
const (
	// otherWorkers is how many workers of another service come first in the list, so that it has two pages.
	otherWorkers = 55
	// staleAge is the age of stale reads of a replica that lags.
	staleAge = 2500 * time.Millisecond
	// drainBound and contactBound are the bounds drain_ms and contact_ms.
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	// servesOn is how long a worker serves after its entry was removed, ghostWork how long a request takes.
	servesOn  = 12 * time.Second
	ghostWork = 400 * time.Millisecond
)

// laggingReplica answers the stale reads of all pages of a list but the first. It is staleAge behind.
type laggingReplica struct {
	next http.Handler

	mu     sync.Mutex
	copies []listCopy
}

type listCopy struct {
	madeAt  time.Time
	at      uint64
	entries []platformItem
}

type platformItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type page struct {
	Entries []platformItem `json:"entries"`
	HasMore bool           `json:"has_more"`
	At      uint64         `json:"at"`
}

const workersPrefix = "servers/"

// readPage reads a page of the list of workers that is not stale.
func (r *laggingReplica) readPage(after string) page {
	recorder := httptest.NewRecorder()
	r.next.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/-/kv-range?prefix="+workersPrefix+"&after="+after, nil))
	var p page
	must(json.Unmarshal(recorder.Body.Bytes(), &p))
	return p
}

// follow copies the list of workers again and again.
func (r *laggingReplica) follow(h *harness) {
	for {
		select {
		case <-h.closed:
			return
		case <-time.After(100 * time.Millisecond):
		}
		p := r.readPage("")
		c := listCopy{madeAt: time.Now(), at: p.At, entries: p.Entries}
		for p.HasMore {
			p = r.readPage(p.Entries[len(p.Entries)-1].Key)
			c.entries = append(c.entries, p.Entries...)
		}
		r.mu.Lock()
		r.copies = append(r.copies, c)
		r.mu.Unlock()
	}
}

// stale returns the newest copy that is staleAge old, or else the oldest one.
func (r *laggingReplica) stale() listCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.copies[0]
	for _, c := range r.copies {
		if time.Since(c.madeAt) >= staleAge {
			found = c
		}
	}
	return found
}

func (r *laggingReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after := query.Get("after")
	if request.URL.Path != "/-/kv-range" || query.Get("prefix") != workersPrefix || query.Get("stale_ok") == "" || after == "" {
		r.next.ServeHTTP(w, request)
		return
	}
	c := r.stale()
	p := page{At: c.at, Entries: []platformItem{}}
	for _, e := range c.entries {
		if e.Key > after {
			p.Entries = append(p.Entries, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p)
}

// runGhost lets a worker leave whose entry is removed while it serves on for some seconds. With trouble, a
// gateway is killed and starts again just then; it reads the list of workers in two pages, the second from a
// replica that lags. The rule DRAIN is broken if this gateway, in touch again, sends the worker requests
// later than drain_ms after the removal.
func runGhost(h *harness) bool {
	replica := &laggingReplica{next: h.store.Handler()}
	h.server.Handler = replica
	var mu sync.Mutex
	arrivals := map[string]time.Time{} // at the worker that leaves
	other := func(x *exchange) bool {
		x.begin()
		time.Sleep(ghostWork)
		return x.plain(200, "answer to "+x.id)
	}
	for i := range otherWorkers {
		h.register(newWorker(fmt.Sprintf("i-a%02d", i), "huvo11a", other))
	}
	leaving := newWorker("i-z1", "wuno96b", func(x *exchange) bool {
		mu.Lock()
		arrivals[x.id] = time.Now()
		mu.Unlock()
		return other(x)
	})
	h.register(leaving)
	h.register(newWorker("i-z2", "wuno96b", other))
	h.writeConfig(7, []route{{name: "once", prefix: "/once/", kind: "non_idempotent", service: "wuno96b", timeout: 1500, target: 300, attempts: 1}}, []service{{name: "huvo11a", engine: true}, {name: "wuno96b"}})
	go replica.follow(h)
	time.Sleep(staleAge + 500*time.Millisecond)
	h.startGateways(2)
	removedAt := time.Now()
	h.remove(leaving)
	h.logf("worker %s: its entry is removed, it serves on for %v", leaving.id, servesOn)
	restarted := h.gateways[0]
	var startedAt time.Time
	if h.trouble {
		time.Sleep(500 * time.Millisecond)
		h.logf("gateway %s: killed", restarted.name)
		must(restarted.cmd.Process.Signal(syscall.SIGKILL))
		<-restarted.done
		time.Sleep(300 * time.Millisecond)
		startedAt = time.Now()
		restarted = h.startGateway(restarted.name)
		h.awaitReady(restarted)
		h.gateways[0] = restarted
		h.logf("gateway %s: started again", restarted.name)
	}
	sentBy := map[string]string{}
	var clients sync.WaitGroup
	failed := 0
	for exited := false; time.Since(removedAt) < servesOn+time.Second; time.Sleep(50 * time.Millisecond) {
		if !exited && time.Since(removedAt) > servesOn {
			exited = true
			h.logf("worker %s: exits", leaving.id)
			leaving.crash()
		}
		for _, g := range h.gateways {
			c := call{id: h.newID(0x44), path: "/once/1", deadline: 3 * time.Second}
			mu.Lock()
			sentBy[c.id] = g.name
			mu.Unlock()
			clients.Go(func() {
				a := h.send(g.callers, c)
				if a.status == 200 {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				_, ran := arrivals[c.id]
				h.logf("client: request %s to %s, which worker %s had begun: %t: %s", c.id, g.name, leaving.id, ran, a)
				if ran {
					failed++
				}
			})
		}
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	h.logf("%d requests were lost that the worker had begun", failed)
	late := 0
	for id, at := range arrivals {
		inTouch := at.Sub(startedAt) > contactBound
		if since := at.Sub(removedAt); since > drainBound && inTouch {
			if late++; late <= 5 {
				h.logf("DRAIN: request %s from %s reached worker %s %v after its entry was removed", id, sentBy[id], leaving.id, since.Round(time.Millisecond))
			}
		}
	}
	h.logf("%d of %d requests reached the worker later than %v after its entry was removed, from gateways in touch", late, len(sentBy), drainBound)
	return late > 0
}
