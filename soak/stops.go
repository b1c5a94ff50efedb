package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/standin/platform"
)

const (
	// stayingCallers is how many callers use a gateway that is being stopped, and no other one, until its process is gone.
	stayingCallers = 6
	// loadBeforeStop is how long they use it before the SIGTERM.
	loadBeforeStop = 500 * time.Millisecond
	// slowHeadInterval is the time between the starts of two requests whose head is sent slowly, slowReaders the number of
	// callers that read a response slowly.
	slowHeadInterval = 400 * time.Millisecond
	slowReaders      = 4
	// slowStreamChunks is the number of chunks of slowStreamChunkBytes that they read.
	slowStreamChunks, slowStreamChunkBytes = 100, 8000
	// maxStopFreeze bounds how long a gateway that is being stopped is suspended: it resumes with time left.
	maxStopFreeze = 1500 * time.Millisecond
)

// stopRoutes are routes with a timeout longer than a shutdown, which only callers beside a stop use.
var stopRoutes = []*Route{
	{Name: "patient-once", Kind: directory.NonIdempotent, Service: serviceApp, Timeout: longDeadline, MaxAttempts: maxAttempts},
	{Name: "patient-again", Kind: directory.Idempotent, Service: serviceApp, Timeout: longDeadline, MaxAttempts: maxAttempts},
}

// newStayingCaller returns a caller that uses one gateway, without a link in between.
func (h *harness) newStayingCaller(f *Fault, g *gateway, name string, i int) *caller {
	c := &caller{harness: h, name: fmt.Sprintf("%s-%s-%d-%d", name, g.name, f.Start, i), rand: rand.New(rand.NewPCG(h.config.Seed, uint64(f.Start)+uint64(i))), gateway: g, direct: true}
	c.client = newCallerClient()
	return c
}

// stay sends requests on kept and on new connections until the process with the given incarnation is gone. A patient caller
// sends only requests that may wait for longer than the shutdown lasts.
func (c *caller) stay(incarnation int, patient bool) {
	for c.harness.ctx.Err() == nil && c.gateway.currentIncarnation() == incarnation {
		if c.rand.IntN(2) == 0 {
			c.client.CloseIdleConnections()
		}
		list := slices.Concat(routes, stopRoutes)
		if patient {
			list = list[len(routes)-3:] // the streams and stopRoutes
		}
		req := c.newRequest(list[c.rand.IntN(len(list))])
		if patient {
			req.Deadline = longDeadline
		}
		c.send(c.harness.ctx, req)
		sleep(c.harness.ctx, time.Duration(c.rand.ExpFloat64()*float64(meanThinkTime)))
	}
}

// stopBesideCallers stops a gateway that callers stay with and returns when its process is gone. beside is called with the
// incarnation, in a goroutine of its own, when the callers have begun.
func (h *harness) stopBesideCallers(f *Fault, g *gateway, beside func(incarnation int)) {
	incarnation := g.currentIncarnation()
	var running sync.WaitGroup
	for i := range stayingCallers {
		c := h.newStayingCaller(f, g, "stay", i)
		running.Go(func() { c.stay(incarnation, i%2 == 0) })
	}
	running.Go(func() { beside(incarnation) })
	time.Sleep(loadBeforeStop)
	if g.currentIncarnation() == incarnation {
		g.terminate(h.record)
	}
	running.Wait()
}

// stopBesideSilence stops a gateway while endpoints accept requests and are silent, by variant all of them or some: some
// until the end, others for two seconds.
func stopBesideSilence(h *harness, f *Fault) {
	faults := [][]platform.Fault{{platform.FaultHang, platform.FaultLateResponse, ""}, {platform.FaultHang, platform.FaultLateResponse}, {platform.FaultHang}}[f.Variant-1]
	for i, p := range h.ports {
		if worker := p.currentWorker(); worker != nil {
			worker.SetDefaultFault(faults[i%len(faults)])
			defer worker.SetDefaultFault("")
		}
	}
	h.stopBesideCallers(f, h.gateways[f.Gateway], func(int) {})
}

// stopBesideSlowCallers stops a gateway while, by variant, callers send the heads of requests slowly, read responses slowly, or both.
func stopBesideSlowCallers(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	h.stopBesideCallers(f, g, func(incarnation int) {
		var running sync.WaitGroup
		defer running.Wait()
		for i := 0; f.Variant != 1 && i < slowReaders; i++ {
			c := h.newStayingCaller(f, g, "reads", i)
			running.Go(func() { c.sendSlowly(h.ctx, c.newSlowStream(), 0, time.Duration(10+c.rand.IntN(7))*time.Millisecond) })
		}
		for i := 0; f.Variant != 2 && h.ctx.Err() == nil && g.currentIncarnation() == incarnation; i++ {
			c := h.newStayingCaller(f, g, "sends", i)
			running.Go(func() {
				c.sendSlowly(h.ctx, c.newRequest(routes[i%len(routes)]), time.Duration(50+c.rand.IntN(300))*time.Millisecond, 0)
			})
			sleep(h.ctx, slowHeadInterval)
		}
	})
}

// newSlowStream creates a request for a stream that its endpoint sends at once.
func (c *caller) newSlowStream() *Request {
	req := c.newRequest(bulkRoutes[1])
	req.APIKey, req.Deadline = keyPlain, longDeadline
	req.RequestURI = fmt.Sprintf("/%s/%s?stream=1&size=%d&chunks=%d", req.Route.Name, req.ID, slowStreamChunkBytes, slowStreamChunks)
	for n := 1; n <= slowStreamChunks; n++ {
		req.Expected += string(platform.BulkChunk(true, n, slowStreamChunkBytes))
	}
	return req
}

// slowHeadPieces is in how many pieces the head of a request is sent slowly.
const slowHeadPieces = 10

// sendSlowly sends a request on a connection of its own, with a pause after each piece of its head, and reads the response
// with a pause after each slowReadBytes. It records the request if it was sent to its end or answered.
func (c *caller) sendSlowly(ctx context.Context, req *Request, sendPause, readPause time.Duration) {
	conn, err := dialSlow(ctx, c.addr())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", req.RequestURI, host, c.encodeHeaders(req), len(req.Body))
	for i := range slowHeadPieces {
		if _, err = io.WriteString(conn, head[i*len(head)/slowHeadPieces:(i+1)*len(head)/slowHeadPieces]); err != nil {
			break
		}
		sleep(ctx, sendPause)
	}
	if err == nil {
		_, err = io.WriteString(conn, req.Body)
	}
	sent := err == nil
	req.SentAt = time.Now()
	_ = conn.SetReadDeadline(req.SentAt.Add(req.Deadline))
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, slowReadBytes), nil)
	if err == nil {
		req.readHead(response)
		var body bytes.Buffer
		for err == nil {
			_, err = io.CopyN(&body, response.Body, slowReadBytes)
			sleep(ctx, readPause)
		}
		req.ResponseBody, req.Complete = body.String(), err == io.EOF
	}
	req.EndedAt = time.Now()
	req.Cancelled = !req.Complete && (ctx.Err() != nil || req.EndedAt.Sub(req.SentAt) >= req.Deadline)
	if sent || req.Status != 0 {
		c.harness.record.addRequest(req)
	}
}

// stopInSeries stops up to three gateways one after another, each beside configuration edits and SIGHUP, and by variant
// suspended within the shutdown, or from before the SIGTERM.
func stopInSeries(h *harness, f *Fault) {
	var stops sync.WaitGroup
	for i := range min(3, len(h.gateways)) {
		g := h.gateways[(f.Gateway+i)%len(h.gateways)]
		stops.Go(func() { h.stopBesideCallers(f, g, func(incarnation int) { h.disturbStop(f, g, incarnation) }) })
		time.Sleep(2 * f.Delay)
	}
	stops.Wait()
}

// Variants of stopInSeries, as values of Fault.Variant; with the third one the process is suspended from before the SIGTERM.
const (
	variantReload          = 1
	variantSuspendedInStop = 2
)

// isStopping reports whether the current incarnation was sent SIGTERM.
func (g *gateway) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd != nil && g.terminated == g.incarnation
}

// disturbStop disturbs a process around the SIGTERM that it gets loadBeforeStop from now.
func (h *harness) disturbStop(f *Fault, g *gateway, incarnation int) {
	signal := func(s syscall.Signal) {
		if g.currentIncarnation() == incarnation {
			g.signal(s, false)
		}
	}
	stopping := g.isStopping()
	if !stopping && !g.isCurrentAndReady(incarnation) {
		return // SIGHUP would end a process that is starting
	}
	switch {
	case f.Variant == variantReload, stopping: // a process that is suspended late has no time left
		own := *f
		own.Gateway = slices.Index(h.gateways, g)
		reloadGateway(h, &own)
		time.Sleep(loadBeforeStop)
	default:
		if f.Variant == variantSuspendedInStop {
			time.Sleep(loadBeforeStop + 3*f.Delay)
		}
		end := h.record.beginDisturbance(Disturbance{Kind: kindStopsInSeries, Gateway: g.name, DelaysOnly: true})
		signal(syscall.SIGSTOP)
		h.writeConfig()
		time.Sleep(max(loadBeforeStop, min(f.Duration, maxStopFreeze)))
		signal(syscall.SIGCONT)
		end()
	}
	time.Sleep(f.Delay)
	signal(syscall.SIGHUP)
	h.writeConfig()
}
