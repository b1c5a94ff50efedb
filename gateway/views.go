package gateway

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/membership"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

const (
	// maxViewBytes bounds a heartbeat with a view, so that it fits into one packet of an Ethernet.
	maxViewBytes = 1400
	// viewIdentityBytes is left for the fields of a heartbeat that identify its sender.
	viewIdentityBytes = 200
	// minViewEngineBytes is the least size of an engine in a view.
	minViewEngineBytes = 8
	// maxViewDemands bounds the services in a view, of about 30 bytes each.
	maxViewDemands = 8
)

// viewResult is a value of the label of aspenyard_gateway_views_total.
type viewResult string

const (
	viewSent       viewResult = "sent"       // to an entry that has asked
	viewDeclined   viewResult = "declined"   // this entry is starting itself, or too many others ask
	viewReceived   viewResult = "received"   // and used
	viewUnneeded   viewResult = "unneeded"   // not asked for, outdated, or the others have been heard
	viewInvalid    viewResult = "invalid"    // with impossible values
	viewUnanswered viewResult = "unanswered" // none of the entries that were asked has responded
)

// viewExchange is the state of asking for views and of sending them. Only the membership loop's control
// thread uses it.
type viewExchange struct {
	// startedAt is when heartbeats began.
	startedAt time.Time
	requests  direct.ViewRequests
	budget    direct.ViewBudget
}

func (p *peers) countView(result viewResult) {
	p.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_views_total{result=%q}`, result)).Inc()
}

// requestView asks another entry for its view while this one is starting. It is called at each tick and
// when a response is overdue.
func (p *peers) requestView(now time.Time, members *membership.View) {
	if p.views.startedAt.IsZero() {
		p.views.startedAt = now
	}
	loop := p.gateway.peerLoop.Load()
	if loop == nil {
		return
	}
	var names []string
	for name, m := range members.Members {
		if m.Role() == membership.RoleEntry && !m.Leaving && !m.Suspect && m.Addr() != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	name, ask := p.views.requests.Next(now, names, p.gateway.loadTracker.FullPeers(), globalRand{})
	if ask {
		loop.SendTo(now, members.Members[name].Addr(), func(h *wire.Heartbeat) { h.ViewRequested = true })
		time.AfterFunc(direct.ViewResponseWait, func() {
			loop.Post(func() { p.requestView(time.Now(), loop.View()) })
		})
		return
	}
	if p.views.requests.Unanswered(now, len(names)) {
		p.countView(viewUnanswered)
	}
}

// startingTime is how long after its first heartbeat an entry counts the registered entries that it has
// not heard yet for its rank: each of them sends two full heartbeats meanwhile. Among only those that it
// has heard it would count as one of few, and all entries that have just started would send to the same
// engines.
const startingTime = 2 * fullHeartbeatInterval

// rankedEntries returns the names of the other entries among which this one has its rank, sorted.
func (p *peers) rankedEntries(now time.Time, members *membership.View) []string {
	starting := now.Sub(p.views.startedAt) < startingTime
	var names []string
	for name, m := range members.Members {
		if m.Role() == membership.RoleEntry && (m.Alive() || starting && m.Listed && m.LastHeartbeat == nil && !m.Leaving) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// handleView handles a heartbeat that asks for a view or carries one. It reports whether the heartbeat
// is of this kind; it then has no load.
func (p *peers) handleView(now time.Time, h *wire.Heartbeat) bool {
	if h.ViewRequested {
		p.sendView(now, h)
	}
	if h.View != nil {
		p.receiveView(now, h)
	}
	return h.ViewRequested || h.View != nil
}

// sendView responds to an entry that asks for a view, unless this one is starting itself or has sent
// too many.
func (p *peers) sendView(now time.Time, h *wire.Heartbeat) {
	loop := p.gateway.peerLoop.Load()
	if loop == nil || p.views.startedAt.IsZero() || !p.views.budget.Take(now) {
		p.countView(viewDeclined)
		return
	}
	view := p.gateway.loadTracker.ViewFor(now, p.views.startedAt, h.Node, h.DataCentre, p.gateway.snapshot.Load().All(), maxViewBytes/minViewEngineBytes)
	if view == nil {
		p.countView(viewDeclined)
		return
	}
	loop.SendTo(now, h.Addr, func(h *wire.Heartbeat) { h.View = encodeView(view) })
	p.countView(viewSent)
}

// receiveView uses the view of another entry.
func (p *peers) receiveView(now time.Time, h *wire.Heartbeat) {
	if !p.views.requests.Awaits(h.Node) {
		p.countView(viewUnneeded)
		return
	}
	view, complete := decodeView(h.View)
	if !complete || !view.Valid() {
		p.countView(viewInvalid)
		p.gateway.log.Warn("view_refused", zap.String("from", h.Node), zap.Int("engines", len(h.View.Endpoints)), zap.Uint32("entries", h.View.Entries))
		return
	}
	p.views.requests.Close()
	if !p.gateway.loadTracker.UseView(now, view) {
		p.countView(viewUnneeded)
		return
	}
	p.countView(viewReceived)
	p.gateway.log.Info("view_received", zap.String("from", h.Node), zap.Int("engines", len(view.Engines)), zap.Int("entries", view.Entries), zap.Duration("age_ms", view.Age))
}

// encodeView returns a view in the form that heartbeats carry, with as many engines as fit into
// maxViewBytes.
func encodeView(view *direct.View) *wire.View {
	encoded := &wire.View{
		Demands: encodeDemands(view.Demands[:min(len(view.Demands), maxViewDemands)]),
		AgeMs:   uint32(view.Age.Milliseconds()), Entries: uint32(view.Entries),
	}
	const lists, listHeader, hashBytes = 5, 3, 4
	left := maxViewBytes - viewIdentityBytes - proto.Size(encoded) - lists*listHeader
	for _, e := range view.Engines {
		count, reading := uint32(max(e.InFlight, 0)), uint32(max(e.PendingPrefill.Milliseconds(), 0))
		memory, slow := uint32(max(e.MemoryTokens, 0)+memoryUnit-1)/memoryUnit, uint32(e.Slowdown*percent)
		left -= hashBytes
		for _, v := range []uint32{count, reading, memory, slow} {
			left -= protowire.SizeVarint(uint64(v))
		}
		if left < 0 {
			break
		}
		encoded.Endpoints = append(encoded.Endpoints, uint32(e.Endpoint))
		encoded.Counts = append(encoded.Counts, count)
		encoded.ReadingMs = append(encoded.ReadingMs, reading)
		encoded.MemoryKtokens = append(encoded.MemoryKtokens, memory)
		encoded.SlowPercents = append(encoded.SlowPercents, slow)
	}
	return encoded
}

// decodeView returns the view that a heartbeat carries; false if its lists differ in length.
func decodeView(encoded *wire.View) (*direct.View, bool) {
	n := len(encoded.Endpoints)
	if len(encoded.Counts) != n || len(encoded.ReadingMs) != n || len(encoded.MemoryKtokens) != n || len(encoded.SlowPercents) != n {
		return nil, false
	}
	view := &direct.View{Entries: int(encoded.Entries), Age: milliseconds(encoded.AgeMs), Demands: decodeDemands(encoded.Demands)}
	for i := range n {
		view.Engines = append(view.Engines, direct.ViewEngine{
			Endpoint: direct.EndpointHash(encoded.Endpoints[i]), InFlight: int(encoded.Counts[i]), PendingPrefill: milliseconds(encoded.ReadingMs[i]),
			MemoryTokens: int(encoded.MemoryKtokens[i]) * memoryUnit, Slowdown: float64(encoded.SlowPercents[i]) / percent,
		})
	}
	return view, true
}
