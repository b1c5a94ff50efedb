package driver

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["stray"] = runStray }

// Figures of the case "stray".
const (
	strayCycles = 5
	// strayShort is the number of short requests in a cycle: with them, the answers that a worker spoils are
	// less than 3 in 100 of its answers.
	strayShort   = 150
	strayClients = 10
	// strayPrompt is the length of a prompt that is prefilled by several workers.
	strayPrompt = 45_000
)

// runStray sends long prompts as streams that may not be resumed. Each time one helper is busy, so that the
// worker that receives the request refuses it as not run. With trouble, the worker sends this answer a second
// time, late, where the next answer on the channel is expected. The rule TWICE is broken if such a request
// runs more than once, REFUSED if it is refused as not run and has run.
func runStray(h *harness) bool {
	var mu sync.Mutex
	refused := map[string]bool{}
	spoiled := map[string]int{}
	serve := func(x *exchange) bool {
		helpers := x.request.Header.Get("X-Aspenyard-Helpers")
		mu.Lock()
		refuse := helpers != "" && !refused[x.id]
		if refuse {
			refused[x.id] = true
		}
		if refuse && h.trouble {
			spoiled[x.worker.id]++
		}
		mu.Unlock()
		if refuse {
			busy, _, _ := strings.Cut(helpers, ",")
			h.logf("worker %s: request %s not run, helper %s is busy", x.worker.id, x.id, busy)
			text := x.refusal(busy)
			x.write(text)
			if h.trouble {
				x.channel.late = text
			}
			return true
		}
		x.begin()
		if helpers != "" {
			h.logf("worker %s: runs request %s with helpers %s", x.worker.id, x.id, helpers)
		}
		return x.stream(5, 20*time.Millisecond, true)
	}
	var workers []*worker
	for _, id := range []string{"i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6"} {
		w := newWorker(id, "huvo11a", serve)
		workers = append(workers, w)
		h.register(w)
	}
	h.writeConfig(7, []route{
		{name: "short", prefix: "/short/", kind: "streaming", service: "huvo11a", timeout: 10000, target: 300, gap: 250, attempts: 2, resumable: true},
		{name: "long", prefix: "/long/", kind: "streaming", service: "huvo11a", timeout: 10000, target: 1500, gap: 600, attempts: 2},
	}, []service{{name: "huvo11a", engine: true}})
	h.startGateways(2)
	answers := map[string]*answer{}
	for range strayCycles {
		h.sendShort()
		id := h.newID(0xaa)
		a := h.send(h.gateways[0].callers, call{id: id, path: "/long/2f", promptTokens: strayPrompt, outputTokens: 170})
		h.logf("client: request %s: %s", id, a)
		answers[id] = a
		time.Sleep(2200 * time.Millisecond) // the helper is used again
	}
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers {
		h.logf("worker %s: %d requests arrived, %d answers sent twice", w.id, w.answered(), spoiled[w.id])
	}
	return h.judgeOnce(workers, answers)
}

// judgeOnce reports whether a request that may run once ran twice, or was refused as not run and has run.
func (h *harness) judgeOnce(workers []*worker, answers map[string]*answer) (broken bool) {
	runs := map[string][]string{}
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			runs[r.id] = append(runs[r.id], r.worker)
		}
		w.mu.Unlock()
	}
	for id, a := range answers {
		if n := len(runs[id]); n > 1 {
			h.logf("TWICE: request %s ran %d times, at %v", id, n, runs[id])
			broken = true
		} else if n == 1 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			h.logf("REFUSED: request %s was answered with %d and ran at %v", id, a.status, runs[id])
			broken = true
		}
	}
	return broken
}

// sendShort sends short requests to both gateways, from a few clients at once.
func (h *harness) sendShort() {
	var clients sync.WaitGroup
	for i := range strayClients {
		clients.Go(func() {
			for range strayShort / strayClients {
				c := call{id: h.newID(0x11), path: "/short/1", promptTokens: 1000, outputTokens: 170}
				if a := h.send(h.gateways[i%len(h.gateways)].callers, c); a.status != 200 || !a.complete {
					h.logf("client: short request %s: %s", c.id, a)
				}
			}
		})
	}
	clients.Wait()
}
