package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/directory"
	"aspenyard.example/standin/platform"
)

const (
	// memoryLimit is the memory that each gateway process may use, that of the users' smallest machines.
	memoryLimit = 112_000_000
	// memoryInterval is the interval at which the memory of the processes is sampled.
	memoryInterval = 100 * time.Millisecond
	// slowCallersPerKind is how many slow callers of each kind the fault starts at a gateway.
	slowCallersPerKind = 12
	// Slow callers send slowSendBytes and read slowReadBytes in each slowInterval, 200 and 100 KB a second: less
	// than they ask for within the time limit of their requests.
	slowSendBytes, slowReadBytes = 4 << 10, 2 << 10
	slowInterval                 = 20 * time.Millisecond
	slowReceiveBuffer            = 16 << 10
	// slowResponseBytes is the size of the responses that slow callers read.
	slowResponseBytes = 4_000_000
	// minSlowPeriod is the length of a period with slow callers from which on other callers must be served in it.
	minSlowPeriod = time.Second
	// minRequestsInPeriod is the number of their requests without which nothing follows.
	minRequestsInPeriod = 5
)

// serviceBulk is the service of the endpoint with large responses, which only slow callers use.
const serviceBulk = "bulk"

// bulkRoutes are the routes to serviceBulk.
var bulkRoutes = []*Route{
	{Name: "bulk", Kind: directory.Idempotent, Service: serviceBulk, Timeout: 8 * time.Second, MaxAttempts: maxAttempts},
	{Name: "bulk-stream", Kind: directory.Streaming, Resumable: true, Service: serviceBulk, Timeout: 8 * time.Second, MaxAttempts: maxAttempts},
}

// SlowPeriod is a time in which slow callers used a gateway.
type SlowPeriod struct {
	Gateway     string
	Incarnation int
	From, To    time.Time
}

// slowKind is what a slow caller does slowly.
type slowKind struct {
	name, target string
	// bodyBytes is the size of the body that it sends; 0: it sends none and reads slowly.
	bodyBytes int
}

// slowKinds returns the kinds of slow callers, with bodies of the given size.
func slowKinds(bodyBytes int) []slowKind {
	size, chunks := 8000, slowResponseBytes/8000
	return []slowKind{
		{"sends", fmt.Sprintf("/bulk/a?size=%d&chunks=1", size), bodyBytes},
		{"reads", fmt.Sprintf("/bulk/a?size=%d&chunks=%d", size, chunks), 0},
		{"reads-stream", fmt.Sprintf("/bulk-stream/a?stream=1&size=%d&chunks=%d", size, chunks), 0},
		{"reads-slow-endpoint", fmt.Sprintf("/bulk/a?size=%d&chunks=%d&pace_ms=5", size, chunks), 0},
	}
}

// addSlowCallers starts slow callers at a gateway for the fault's duration.
func addSlowCallers(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	ctx, cancel := context.WithTimeout(h.ctx, f.Duration)
	defer cancel()
	period := SlowPeriod{Gateway: g.name, Incarnation: g.currentIncarnation(), From: time.Now()}
	h.runSlowCallers(ctx, g, slowCallersPerKind, maxBodyBytes)
	period.To = time.Now()
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	h.record.SlowPeriods = append(h.record.SlowPeriods, period)
}

// runSlowCallers runs slow callers of each kind at a gateway until ctx ends.
func (h *harness) runSlowCallers(ctx context.Context, g *gateway, perKind, bodyBytes int) {
	var callers sync.WaitGroup
	for _, kind := range slowKinds(bodyBytes) {
		for i := range perKind {
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("slow-%s-%s-%d-%d", g.name, kind.name, i, n)
					if err := kind.run(ctx, g.addrs["callers"], id); err != nil {
						h.record.addViolation("MIXED", "slow caller %s: %v", id, err)
					}
					sleep(ctx, slowInterval)
				}
			})
		}
	}
	callers.Wait()
}

// dialSlow opens a connection with a small receive buffer.
func dialSlow(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
		})
	}}
	return dialer.DialContext(ctx, "tcp", addr)
}

// run sends one request and reads its response. It returns an error only if a response that looks complete is
// not what the endpoint sent.
func (k *slowKind) run(ctx context.Context, addr, id string) error {
	conn, err := dialSlow(ctx, addr)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if k.send(ctx, conn, id) != nil {
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, slowReadBytes), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	var body bytes.Buffer
	for err == nil {
		_, err = io.CopyN(&body, response.Body, slowReadBytes)
		if k.bodyBytes == 0 {
			sleep(ctx, slowInterval)
		}
	}
	if err != io.EOF {
		return nil
	}
	return k.check(body.Bytes())
}

// send sends the request, its body slowly.
func (k *slowKind) send(ctx context.Context, conn net.Conn, id string) error {
	h := http.Header{}
	call := platform.CallHeaders{ID: id, APIKey: keyPlain, Deadline: longDeadline}
	call.SetHeaders(h)
	var head bytes.Buffer
	method := http.MethodGet
	if k.bodyBytes > 0 {
		method = http.MethodPost
		h.Set("Content-Length", fmt.Sprint(k.bodyBytes))
	}
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, k.target, host)
	_ = h.Write(&head)
	head.WriteString("\r\n")
	if _, err := conn.Write(head.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	for sent := 0; sent < k.bodyBytes; sent += slowSendBytes {
		if _, err := conn.Write(make([]byte, min(slowSendBytes, k.bodyBytes-sent))); err != nil {
			return errors.WithStack(err)
		}
		sleep(ctx, slowInterval)
	}
	return nil
}

// check returns an error unless a body is the endpoint's whole response.
func (k *slowKind) check(body []byte) error {
	stream := strings.Contains(k.target, "stream=1")
	var size, chunks int
	query := k.target[strings.Index(k.target, "size="):]
	if _, err := fmt.Sscanf(query, "size=%d&chunks=%d", &size, &chunks); err != nil {
		return errors.WithStack(err)
	}
	var want bytes.Buffer
	for n := 1; n <= chunks; n++ {
		want.Write(platform.BulkChunk(stream, n, size))
	}
	if !bytes.Equal(body, want.Bytes()) {
		return errors.Errorf("body of %d bytes presented as complete, the endpoint's has %d", len(body), want.Len())
	}
	return nil
}

// residentBytes returns the resident memory of the current process of a gateway; 0 if none runs.
func (g *gateway) residentBytes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * os.Getpagesize()
}

// sampleMemory records the largest resident memory of the gateways, and a MEMORY violation for each process
// that exceeds memoryLimit.
func (h *harness) sampleMemory() {
	reported := map[string]bool{}
	for h.ctx.Err() == nil {
		for _, g := range h.gateways {
			resident, process := g.residentBytes(), fmt.Sprint(g.name, "/", g.currentIncarnation())
			h.record.observeMemory(resident)
			if resident > memoryLimit && !reported[process] {
				reported[process] = true
				h.record.addViolation("MEMORY", "gateway %s uses %d bytes, limit %d", process, resident, memoryLimit)
			}
		}
		sleep(h.ctx, memoryInterval)
	}
}

// observeMemory records the resident memory of a process.
func (r *Record) observeMemory(resident int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.MaxResident = max(r.MaxResident, resident)
}

// checkServedBesideSlowCallers finds gateways that served no other caller while slow callers used them.
func checkServedBesideSlowCallers(ix *indexedRecord) []string {
	var findings []string
	for _, period := range ix.SlowPeriods {
		if period.To.Sub(period.From) < minSlowPeriod || !ix.undisturbed(period.Gateway, period.From, period.To, true) {
			continue
		}
		sent, served := 0, 0
		for _, req := range ix.Requests {
			if req.Gateway != period.Gateway || req.ExpectedStatus != 0 || req.SentAt.Before(period.From) || req.EndedAt.After(period.To) {
				continue
			}
			sent++
			if req.succeeded() {
				served++
			}
		}
		if sent >= minRequestsInPeriod && served == 0 {
			findings = append(findings, fmt.Sprintf("%s served none of %d requests while slow callers used it for %v", period.Gateway, sent, period.To.Sub(period.From)))
		}
	}
	return findings
}
