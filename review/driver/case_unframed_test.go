package driver

import (
	"sync"
	"time"
)

func init() { cases["unframed"] = runUnframed }

// Figures of the case "unframed".
const (
	unframedStreams  = 12
	unframedEvents   = 40
	unframedInterval = 100 * time.Millisecond
	// noticeAfter is when one worker reports that it is draining, exitAfter how much later it exits: drain_ms
	// of the deployment, and a little more.
	noticeAfter = time.Second
	exitAfter   = 2200 * time.Millisecond
)

// runUnframed sends resumable streams to two workers, which are processes and whose answers have no length
// and end with their channel. With trouble, one of them reports that it is draining and exits drain_ms and a
// little later, in the middle of its streams. The rules ORDER and MIXED are broken if a client gets a part of
// a stream as a whole response.
func runUnframed(h *harness) bool {
	leaving, process := h.startWorkerProcess("i-a1", "huvo11a", unframedEvents, unframedInterval)
	h.startWorkerProcess("i-b2", "huvo11a", unframedEvents, unframedInterval)
	h.writeConfig(7, []route{{name: "short", prefix: "/short/", kind: "streaming", service: "huvo11a", timeout: 10000, target: 300, gap: 250, attempts: 2, resumable: true}}, []service{{name: "huvo11a", engine: true}})
	h.startGateways(2)
	if h.trouble {
		time.AfterFunc(noticeAfter, func() {
			h.logf("worker %s: reports that it is draining", leaving.id)
			h.drain(leaving)
		})
		time.AfterFunc(noticeAfter+exitAfter, func() {
			h.logf("worker %s: exits", leaving.id)
			h.remove(leaving)
			_ = process.Process.Kill()
		})
	}
	var mu sync.Mutex
	broken := false
	var clients sync.WaitGroup
	for i := range unframedStreams {
		clients.Go(func() {
			c := call{id: h.newID(0x33), path: "/short/1", promptTokens: 1000, outputTokens: 1360}
			a := h.send(h.gateways[i%len(h.gateways)].callers, c)
			h.logf("client: request %s: %s", c.id, a)
			mu.Lock()
			defer mu.Unlock()
			broken = h.judgeStream(&c, a, unframedEvents) || broken
		})
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	return broken
}
