package gateway

import (
	"context"
	"net"
	"time"

	"aspenyard.example/attempt"
	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/directory"
	"aspenyard.example/gateway/storewatch"
	"aspenyard.example/graceful"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// ReportPeerPrefill simulates a heartbeat in which another entry reports pending prefill.
func (g *Gateway) ReportPeerPrefill(service string, pending time.Duration) {
	g.loadTracker.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, PendingPrefill: pending}}, nil)
}

// ReportRefusedLengths simulates heartbeats in which another entry reports that a route serves all prompts of
// 1,000 to 90,000 tokens and none of 140,000 to 159,000.
func (g *Gateway) ReportRefusedLengths(service, route string) {
	var outcomes []direct.LengthOutcome
	for i := range 90 {
		outcomes = append(outcomes, direct.LengthOutcome{Route: direct.HashRoute(service, route), Tokens: 1000 * (i + 1), Admitted: true})
	}
	for i := range 20 {
		outcomes = append(outcomes, direct.LengthOutcome{Route: direct.HashRoute(service, route), Tokens: 140_000 + 1000*i})
	}
	g.loadTracker.MergeOutcomes(time.Now(), outcomes)
}

// ReportPeerShort simulates a heartbeat in which another entry reports short prompts in flight, and the
// next tick of the membership loop, which must not run.
func (g *Gateway) ReportPeerShort(service string, inFlight int) {
	g.loadTracker.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, ShortInFlight: inFlight}}, nil)
	g.divisions.observe(time.Now())
}

// InFlight returns how many of the gateway's requests are in flight at an endpoint, as placement
// counts them.
func (g *Gateway) InFlight(endpoint string) int {
	e := g.snapshot.Load().Present(endpoint)
	for _, load := range g.loadTracker.Loads(time.Now()) {
		if e != nil && load.Endpoint == direct.HashEndpoint(e.Incarnation) {
			return load.InFlight
		}
	}
	return 0
}

// RequestsAllowed takes, as requests do that get no response, as many requests as the gateway may send to
// an endpoint after a backoff, at most most, and returns their number.
func (g *Gateway) RequestsAllowed(endpoint string, most int) int {
	e := g.snapshot.Load().Present(endpoint)
	for n := range most {
		if allowed, _ := g.loadTracker.Backoffs().Take(time.Now(), e.Incarnation); !allowed {
			return n
		}
	}
	return most
}

// HearEvacuation simulates a heartbeat in which another entry reports an evacuation.
func (g *Gateway) HearEvacuation(from, dataCentre string, revision uint64) {
	g.mergeEvacuations(time.Now(), &wire.Heartbeat{Node: from, Evacuations: []*wire.Evacuation{{DataCentre: dataCentre, Era: uint64(g.source.Era()), Revision: revision, Evacuated: true}}})
}

// HearView simulates a heartbeat in which another entry sends its view.
func (g *Gateway) HearView(from string, view *wire.View) {
	g.peers.HandleHeartbeat(time.Now(), &wire.Heartbeat{Node: from, View: view})
}

// HearViewRequest simulates a heartbeat in which another entry asks for this one's view.
func (g *Gateway) HearViewRequest(from string) {
	g.peers.HandleHeartbeat(time.Now(), &wire.Heartbeat{Node: from, Addr: "127.0.0.1:1", ViewRequested: true})
}

// AskedForView simulates that the gateway has asked an entry for its view.
func (g *Gateway) AskedForView(entry string) {
	g.peers.views.requests.Next(time.Now(), []string{entry}, 0, globalRand{})
}

// EncodeViewOf returns a view of loaded engines, of average loads or of the largest possible ones, in
// the form that heartbeats carry.
func EncodeViewOf(engines int, large bool) *wire.View {
	view := &direct.View{Entries: 3799, Age: time.Second}
	for i := range engines {
		e := direct.ViewEngine{Endpoint: direct.EndpointHash(i), InFlight: 10, PendingPrefill: 90 * time.Millisecond, MemoryTokens: 90_000}
		if large {
			e = direct.ViewEngine{Endpoint: direct.EndpointHash(i), InFlight: 1 << 16, PendingPrefill: time.Hour, MemoryTokens: 1 << 30, Slowdown: 1000}
		}
		view.Engines = append(view.Engines, e)
	}
	for range 20 {
		view.Demands = append(view.Demands, direct.Demand{Service: "a-service-of-a-site", LongPrefill: time.Hour, ShortInFlight: 100_000, PendingPrefill: time.Hour, QueuedPrefill: time.Hour})
	}
	return encodeView(view)
}

// MakeCheckpoint writes a checkpoint of the state to the store.
func (g *Gateway) MakeCheckpoint(ctx context.Context) error {
	_, err := g.watcher.MakeCheckpoint(ctx)
	return err
}

// EncodeCheckpoint encodes a checkpoint.
func EncodeCheckpoint(at directory.Position, items []directory.Item) ([]byte, error) {
	return storewatch.EncodeCheckpoint(at, items)
}

// DecodeCheckpoint returns the number of items in a checkpoint.
func DecodeCheckpoint(data []byte) (int, error) {
	_, items, err := storewatch.DecodeCheckpoint(data)
	return len(items), err
}

// ReportPartCrashes simulates that other entries report crashes of endpoints under a part of prompts, enough to
// refuse it.
func (g *Gateway) ReportPartCrashes(service string, part PromptPart) {
	h := &wire.Heartbeat{Node: "peer", Partial: true}
	for n := range uint32(8) {
		h.PartIds, h.PartEndpoints = append(h.PartIds, uint64(crashcause.PartOf(service, string(part)))), append(h.PartEndpoints, n+1)
		h.PartRequests, h.PartPositions, h.PartAgesMs = append(h.PartRequests, n+1), append(h.PartPositions, 1), append(h.PartAgesMs, 200*(n+1))
	}
	g.peers.HandleHeartbeat(time.Now(), h)
}

// SimulateSuspension makes it appear that the process has not run for a while. It must be running.
func (g *Gateway) SimulateSuspension(length time.Duration) {
	g.suspensions.observe()
	g.suspensions.mu.Lock()
	defer g.suspensions.mu.Unlock()
	g.suspensions.lastSeen -= int64(length)
}

// Listed reports whether the directory lists an endpoint.
func (g *Gateway) Listed(endpoint string) bool { return g.snapshot.Load().Present(endpoint) != nil }

// ReceivedBytes returns how many bytes the gateway has received of endpoints and callers.
func (g *Gateway) ReceivedBytes() int64 { return g.traffic.received.Load() }

// QuarantineRequest records three crashes of endpoints under a request.
func (g *Gateway) QuarantineRequest(account, method, host, target, body string) {
	fingerprint := attempt.Fingerprint{Scope: attempt.FingerprintScope(account, method, host, target, len(body)), Body: attempt.FingerprintBody([]byte(body))}
	for endpoint := range uint32(3) {
		g.quarantine.RecordCrash(time.Now(), fingerprint, endpoint+1)
	}
	g.reportQuarantined(fingerprint, "")
}

// UseUpCold takes all that an endpoint which warms up tolerates now.
func (g *Gateway) UseUpCold(endpoint string) {
	e := g.snapshot.Load().Present(endpoint)
	for {
		ticket, allowed := g.cold().Take(time.Now(), g.snapshot.Load().Config.Service(e.Service), e)
		if !allowed {
			return
		}
		ticket.Sent(time.Now())
	}
}

// QueuedPrefill returns how much prefill of a service's long prompts is queued here.
func (g *Gateway) QueuedPrefill(service string) time.Duration {
	for _, d := range g.loadTracker.Demands(time.Now()) {
		if d.Service == service {
			return d.QueuedPrefill
		}
	}
	return 0
}

// ConnectionsInRequest returns the number of callers' connections on which a request is being read or answered.
func (g *Gateway) ConnectionsInRequest() (n int) {
	g.callers.conns.Each(func(conn *graceful.Conn) {
		if conn.InRequest() {
			n++
		}
	})
	return n
}

// DrainAcceptsOnlyShort reports whether a drain has gone on for so long that only requests are accepted that can end in time.
func (g *Gateway) DrainAcceptsOnlyShort() bool {
	return !g.acceptsAll()
}

// ResponsesDue reports whether the gateway is about to stop, so that every request must have its response.
func (g *Gateway) ResponsesDue() bool {
	remaining, draining := g.shutdown.Remaining()
	return draining && remaining <= 0
}

// Closing reports whether the gateway breaks off the responses that have begun.
func (g *Gateway) Closing() bool {
	remaining, draining := g.closing.Remaining()
	return draining && remaining <= 0
}

// ReportResponseTime simulates a response of a service's endpoint after a time.
func (g *Gateway) ReportResponseTime(service string, took time.Duration) {
	g.returns.RecordServed(time.Now(), service, took)
}

// WatchSilent monitors an exchange on a connection, with an endpoint that has sent nothing for a while and does not accept connections.
// The returned function reports whether it was given up.
func (g *Gateway) WatchSilent(conn net.Conn, closedAddr string) func() bool {
	e := &directory.EndpointState{}
	e.ID, e.Addr = "silent", closedAddr
	r := &endpointResponse{endpoint: e, conn: &endpointConn{Conn: conn}}
	return g.startWatchdog(context.Background(), r, 10*time.Millisecond, nil).givenUp.Load
}

// RecordedCrashAge returns the age of a crash in a record of a verdict, whose times are in milliseconds.
func RecordedCrashAge(now time.Time, writtenUnixMilli, atUnixMilli int64) time.Duration {
	return (&verdictRecord{WrittenUnixMilli: writtenUnixMilli}).age(now, atUnixMilli)
}
