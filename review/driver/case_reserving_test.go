package driver

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["reserving"] = runReserving }

// Figures of the case "reserving".
const (
	engines = 18
	// leavingEngines are taken away at once: under 0.25 of them.
	leavingEngines = 4
	cycles         = 12
	// leaveAfter is when in a cycle they report that they are draining, leaveServing how much longer they serve.
	leaveAfter   = 300 * time.Millisecond
	leaveServing = 3500 * time.Millisecond
	// reservingPrompt needs more memory than half of an engine's, so that a part is reserved at others.
	reservingPrompt = 250_000
)

// lostOrders says which of the orders to reserve memory for one request get no answer, in turn; later ones
// get one, and so does every other order.
var lostOrders = []bool{false, false, true, true, true, true, true, true, true}

// orderBook answers the orders of all engines.
type orderBook struct {
	h  *harness
	mu sync.Mutex
	// reserved counts the orders to reserve memory by request, seen holds the IDs of reservations.
	reserved     map[string]int
	seen         map[string]bool
	orders, lost int
}

// serve answers an order and reports whether the channel stays open.
func (b *orderBook) serve(x *exchange) bool {
	var order struct{ Op, ID string }
	must(json.Unmarshal(x.body, &order))
	request, _, _ := strings.Cut(order.ID, "-")
	b.mu.Lock()
	b.orders++
	lost := false
	if order.Op == "reserve" && !b.seen[order.ID] {
		b.seen[order.ID] = true
		n := b.reserved[request]
		b.reserved[request]++
		lost = b.h.trouble && n < len(lostOrders) && lostOrders[n]
	}
	if lost {
		b.lost++
	}
	b.mu.Unlock()
	if lost {
		x.watchCaller()
		<-x.callerGone
		return false
	}
	x.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"unallocated\":0}")
	return true
}

// runReserving sends long prompts, for which memory is reserved, while some engines are taken away and others
// come in their place. With trouble, some of the orders to reserve memory get no answer. The rule DRAIN is
// broken if a request reaches an engine later than drain_ms after it reported that it is draining.
func runReserving(h *harness) bool {
	book := &orderBook{h: h, reserved: map[string]int{}, seen: map[string]bool{}}
	var mu sync.Mutex
	drainedAt := map[string]time.Time{}
	late, sent := 0, 0
	serve := func(x *exchange) bool {
		if x.request.URL.Path == "/-/order" {
			return book.serve(x)
		}
		mu.Lock()
		at, drained := drainedAt[x.worker.id]
		since := time.Since(at)
		if drained && since > drainBound {
			late++
			h.logf("DRAIN: request %s reached engine %s %v after it reported that it is draining", x.id, x.worker.id, since.Round(time.Millisecond))
		}
		mu.Unlock()
		x.begin()
		return x.stream(20, 100*time.Millisecond, true)
	}
	var pool []*worker
	add := func() {
		w := newWorker(fmt.Sprintf("i-%s", h.newID(0x99)), "huvo11a", serve)
		pool = append(pool, w)
		h.register(w)
	}
	for range engines {
		add()
	}
	h.writeConfig(7, []route{{name: "long", prefix: "/long/", kind: "streaming", service: "huvo11a", timeout: 15000, target: 3000, gap: 1000, attempts: 2, resumable: true}}, []service{{name: "huvo11a", engine: true}})
	h.startGateways(2)
	for range cycles {
		var client sync.WaitGroup
		client.Go(func() {
			c := call{id: h.newID(0x55), path: "/long/1", promptTokens: reservingPrompt, outputTokens: 340}
			a := h.send(h.gateways[sent%len(h.gateways)].callers, c)
			h.logf("client: request %s: %s", c.id, a)
		})
		sent++
		time.Sleep(leaveAfter)
		rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
		for _, w := range pool[:leavingEngines] {
			mu.Lock()
			h.drain(w)
			drainedAt[w.id] = time.Now()
			mu.Unlock()
			time.AfterFunc(leaveServing, func() {
				h.remove(w)
				w.crash()
			})
		}
		pool = slices.Delete(pool, 0, leavingEngines)
		for range leavingEngines {
			add()
		}
		client.Wait()
		time.Sleep(3500 * time.Millisecond)
	}
	h.logf("%d of %d requests reached an engine later than %v after its report; %d of %d orders got no answer", late, sent, drainBound, book.lost, book.orders)
	return late > 0
}
