package driver

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["appended"] = runAppended }

// Figures of the case "appended".
const (
	appendedStreams  = 20
	appendedEvents   = 20
	appendedInterval = 100 * time.Millisecond
	// crashAfter is when one worker crashes: in the middle of the streams.
	crashAfter = 1200 * time.Millisecond
)

// runAppended sends resumable streams to a service of two workers. With trouble, one of them fails part of its
// requests with status 500, and the other one crashes while it sends streams. The rules ORDER and MIXED are
// broken if a client gets a whole response that is not the stream.
func runAppended(h *harness) bool {
	var mu sync.Mutex
	failures, arrivals := 0, 0
	grey := newWorker("i-a1", "huvo11a", func(x *exchange) bool {
		mu.Lock()
		arrivals++
		fail := h.trouble && arrivals%5 < 2 // 4 in 10
		if fail {
			failures++
		}
		mu.Unlock()
		x.begin()
		h.logf("worker %s: runs %s after event %q, fails it: %t", x.worker.id, x.id, x.request.Header.Get("Last-Event-Id"), fail)
		if fail {
			return x.plain(500, "the worker failed\n")
		}
		return x.stream(appendedEvents, appendedInterval, true)
	})
	crashing := newWorker("i-b2", "huvo11a", func(x *exchange) bool {
		x.begin()
		h.logf("worker %s: runs %s after event %q", x.worker.id, x.id, x.request.Header.Get("Last-Event-Id"))
		return x.stream(appendedEvents, appendedInterval, true)
	})
	h.register(grey)
	h.register(crashing)
	h.writeConfig(7, []route{{name: "short", prefix: "/short/", kind: "streaming", service: "huvo11a", timeout: 10000, target: 300, gap: 250, attempts: 3, resumable: true}}, []service{{name: "huvo11a", engine: true}})
	h.startGateways(2)
	if h.trouble {
		time.AfterFunc(crashAfter, func() {
			h.logf("worker %s: crashes", crashing.id)
			crashing.crash()
		})
	}
	broken := false
	var clients sync.WaitGroup
	for i := range appendedStreams {
		clients.Go(func() {
			c := call{id: h.newID(0x22), path: "/short/1", promptTokens: 1000, outputTokens: 680}
			a := h.send(h.gateways[i%len(h.gateways)].callers, c)
			h.logf("client: request %s: %s", c.id, a)
			mu.Lock()
			defer mu.Unlock()
			broken = h.judgeStream(&c, a, appendedEvents) || broken
		})
		time.Sleep(30 * time.Millisecond)
	}
	clients.Wait()
	h.logf("worker %s: %d of %d requests failed", grey.id, failures, arrivals)
	return broken
}

// judgeStream reports whether a response with status 200 that has ended as a whole one is not the stream.
func (h *harness) judgeStream(c *call, a *answer, events int) bool {
	if a.status != 200 || !a.complete || a.body == streamText(c.id, events) {
		return false
	}
	rule := "ORDER: the stream ended as complete before its last event"
	if !strings.HasPrefix(streamText(c.id, events), a.body) {
		rule = "MIXED, ORDER: the response ended as complete and has other bytes than the stream"
	}
	lines := strings.Split(strings.TrimSpace(a.body), "\n")
	h.logf("%s: request %s, last lines %q", rule, c.id, lines[max(0, len(lines)-4):])
	return true
}
