package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

const (
	kindMisbehavingClients = "clients-misbehave"
	// misbehavingPerForm is how many clients misbehave in each form at a gateway.
	misbehavingPerForm = 40
	// misbehavingPause is between two writes of a client that sends slowly, and before a client opens another connection.
	misbehavingPause = 50 * time.Millisecond
	// sentAhead is how many requests a client sends without reading.
	sentAhead = 2000
)

// misbehavior is what a client sends on a connection, after which it neither sends nor reads.
type misbehavior struct {
	name string
	// piece is how many bytes are sent at a time, with misbehavingPause between them; 0 for all at once.
	piece int
	send  func(id string) string
}

// misbehaviors are the forms. Requests that are whole go to the service that no other callers use.
var misbehaviors = []misbehavior{
	{"silent", 0, func(string) string { return "" }},
	{"body-short-of-its-end", 0, func(id string) string {
		return unreadHead(id, "/bulk/a", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)) + strings.Repeat("0", maxBodyBytes-1)
	}},
	{"chunks-short-of-their-end", 0, func(id string) string {
		return unreadHead(id, "/bulk/a", "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat("1\r\n0\r\n", maxBodyBytes/8)
	}},
	{"slow-body", 1, func(id string) string {
		return unreadHead(id, "/bulk/a", "Content-Length: 4000\r\n\r\n") + strings.Repeat("0", 3999)
	}},
	{"slow-head", 1, func(id string) string { return unreadHead(id, "/nowhere/a", "X-Slow: "+strings.Repeat("0", 4000)) }},
	{"head-of-short-fields", 0, func(id string) string {
		return unreadHead(id, "/nowhere/a", strings.Repeat("a:\r\n", 1500))
	}},
	{"sent-ahead", 0, func(id string) string {
		return strings.Repeat(unreadHead(id, "/bulk-stream/a?stream=1&size=8000&chunks=100", "Content-Length: 0\r\n\r\n"), sentAhead)
	}},
	{"sent-ahead-elsewhere", 0, func(id string) string {
		return strings.Repeat(unreadHead(id, "/nowhere/a", "Content-Length: 0\r\n\r\n"), sentAhead)
	}},
}

// unreadHead returns the beginning of a request whose response is not read.
func unreadHead(id, target, rest string) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", target, host)
	header := map[string][]string{}
	call := platform.CallHeaders{ID: id, APIKey: keyPlain, Deadline: longDeadline}
	call.SetHeaders(header)
	for name, values := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, values[0])
	}
	head.WriteString(rest)
	return head.String()
}

// addMisbehavingClients lets clients misbehave at a gateway's ports for callers and for readiness for the fault's duration.
func addMisbehavingClients(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	ctx, cancel := context.WithTimeout(h.ctx, f.Duration)
	defer cancel()
	period := SlowPeriod{Gateway: g.name, Incarnation: g.currentIncarnation(), From: time.Now()}
	var clients sync.WaitGroup
	for _, port := range []string{"callers", "readiness"} {
		for _, m := range misbehaviors {
			for i := range misbehavingPerForm {
				clients.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						m.run(ctx, g.addrs[port], fmt.Sprintf("odd-%s-%s-%s-%d-%d", g.name, port, m.name, i, n))
						sleep(ctx, misbehavingPause)
					}
				})
			}
		}
	}
	clients.Wait()
	period.To = time.Now()
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	h.record.SlowPeriods = append(h.record.SlowPeriods, period)
}

// run uses one connection until the gateway closes it.
func (m *misbehavior) run(ctx context.Context, addr, id string) {
	conn, err := dialSlow(ctx, addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	text := m.send(id)
	for len(text) > 0 {
		n := len(text)
		if m.piece > 0 {
			n = min(m.piece, n)
		}
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		if m.piece > 0 {
			sleep(ctx, misbehavingPause)
		}
	}
	awaitClose(ctx, conn)
}

// awaitClose waits, without reading, until the other end has closed a connection.
func awaitClose(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil && link.Open(conn) {
		sleep(ctx, misbehavingPause)
	}
}
