package gateway

import (
	"context"
	"math"
	"sort"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

const (
	// registrationTTL is how long a node that died stays registered; registerInterval lets
	// two renewals be lost.
	registrationTTL = 12 * time.Second
	renewalInterval = 4 * time.Second
	registryTimeout = time.Second
	// deregisterTimeout is less than what a drain leaves until the process is killed.
	deregisterTimeout = 150 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats to other entries. They carry
	// what this entry's requests ask of the engines, and an entry that does not know
	// what the others have just sent sends to the same engines. Shorter
	// gains nothing more.
	heartbeatInterval = 100 * time.Millisecond
	// fullHeartbeatInterval is the time between two heartbeats that tell everything: for so long
	// a lost one leaves an old number behind.
	fullHeartbeatInterval = time.Second
	// maxHeartbeatInterval is how old the word of another entry may be for that all entries
	// hear of each other, up to about a hundred; more hear of a part of them.
	maxHeartbeatInterval = 300 * time.Millisecond
	// localPeers and remotePeers are heard of in any case, in the own data centre and in others.
	localPeers, remotePeers = 8, 8
	// peerSuspectAfter is the silence after which another entry counts as gone.
	peerSuspectAfter = time.Second
	// heartbeatBytesPerSecond is what heartbeats may take at a receiving entry, in bytes a second; with
	// more entries they come less often.
	heartbeatBytesPerSecond = 50_000
	// maxHeartbeatFindings is how many findings of crashes a heartbeat tells, of about 24 bytes each.
	maxHeartbeatFindings = 32
)

// peers is what this entry has to do with the others: it registers in the store, so
// that they find it, and tells them what its requests ask of the engines. A view
// without the others' word is less exact and nothing else: entries whose share of the
// traffic is small would each divide the engines differently.
type peers struct {
	gateway *Gateway
	// lease is that of the registration; 0: not registered.
	lease atomic.Uint64
	// lastSent is what the other entries were lastSent of each endpoint since wholeAt, when all of
	// it was lastSent. Both belong to the control thread.
	lastSent   map[direct.EndpointHash]direct.EndpointLoad
	fullSentAt time.Time
}

// keepRegistered registers this node and keeps it registered until ctx ends.
func (p *peers) keepRegistered(ctx context.Context) {
	g := p.gateway
	node := directory.Node{Name: g.settings.Name, Addr: g.settings.PeersListen, DataCentre: g.settings.DataCentre}
	var registration directory.Registration
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		var err error
		if registration.Lease == 0 {
			if registration, err = g.registry.Register(callCtx, node, registrationTTL); err == nil {
				p.lease.Store(registration.Lease)
				g.log.Info("registered", zap.Uint64("lease", registration.Lease), zap.Uint64("revision", registration.Revision))
				p.startHeartbeats(ctx, registration.Revision)
			}
		} else {
			err = g.registry.Renew(callCtx, registration.Lease)
		}
		cancel()
		if errors.Is(err, directory.ErrLeaseExpired) {
			registration = directory.Registration{}
			continue
		}
		if err != nil {
			g.log.Warn("not_registered", eventlog.Error(err))
		}
		membership.Sleep(ctx, renewalInterval)
	}
}

// announceLeaving tells the other entries that this one drains.
func (p *peers) announceLeaving() {
	if loop := p.gateway.peerLoop.Load(); loop != nil {
		loop.Leave()
	}
}

// deregister ends the registration, so that the others do not count this entry for as
// long as its lease lasts. A failure changes nothing else: the lease ends by itself.
func (p *peers) deregister() {
	lease := p.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := p.gateway.registry.Deregister(ctx, lease); err != nil {
		p.gateway.log.Warn("not_deregistered", eventlog.Error(err))
	}
}

// sendHeartbeat tells the other entries at once of what has changed: a long prompt that one
// entry sends is prefilled for longer than heartbeats are apart, and the others hold
// theirs back.
func (p *peers) sendHeartbeat() {
	if loop := p.gateway.peerLoop.Load(); loop != nil {
		loop.Announce()
	}
}

// startHeartbeats runs the heartbeats once the node has its first registration, whose revision
// is its incarnation: it rises with each life whatever the time of day does.
func (p *peers) startHeartbeats(ctx context.Context, incarnation uint64) {
	g := p.gateway
	if g.peerLoop.Load() != nil {
		return
	}
	loop := membership.NewLoop(membership.Config{
		Node: g.settings.Name, Role: membership.RoleEntry, DataCentre: g.settings.DataCentre,
		Listen: g.settings.PeersListen, Advertise: g.settings.PeersListen, Incarnation: incarnation,
		Tick: heartbeatInterval, Interval: heartbeatInterval, SuspectAfter: peerSuspectAfter, BytesPerSecond: heartbeatBytesPerSecond, RemoveAfter: registrationTTL,
		LocalEntries: localPeers, RemoteEntries: remotePeers, LongestInterval: maxHeartbeatInterval,
	}, p)
	g.peerLoop.Store(loop)
	go func() {
		if err := loop.Run(ctx); err != nil {
			g.log.Error("heartbeats_stopped", eventlog.Error(err))
		}
	}()
	p.setMembers(g.snapshot.Load())
}

// setMembers tells the control loop which entries are registered.
func (p *peers) setMembers(snapshot *directory.Snapshot) {
	loop := p.gateway.peerLoop.Load()
	if loop == nil {
		return
	}
	vms := make([]infra.VM, 0, len(snapshot.Nodes))
	for _, n := range snapshot.Nodes {
		vms = append(vms, infra.VM{Name: n.Name, Role: membership.RoleEntry, DataCentre: n.DataCentre, Addr: n.Addr})
	}
	loop.SetList(vms)
}

// FillHeartbeat implements membership.Delegate. Between whole heartbeats only changes are told: a
// tenth of the bytes, and of the work of those who take them in.
func (p *peers) FillHeartbeat(now time.Time, h *wire.Heartbeat) {
	loads := p.gateway.ledger.Loads(now)
	if h.Partial = now.Sub(p.fullSentAt) < fullHeartbeatInterval; !h.Partial {
		p.fullSentAt = now
		clear(p.lastSent)
	}
	for _, load := range p.changedLoads(loads) {
		h.OpenEndpoints = append(h.OpenEndpoints, uint32(load.Endpoint))
		h.OpenCounts = append(h.OpenCounts, uint32(load.InFlight))
		h.ReadingMs = append(h.ReadingMs, uint32(max(load.PendingPrefill.Milliseconds(), 0)))
		h.MemoryKtokens = append(h.MemoryKtokens, uint32(max(load.MemoryTokens, 0)+memoryUnit-1)/memoryUnit)
		appendStreams(h, load.Streams)
	}
	for _, s := range p.gateway.ledger.SlowEndpoints(now) {
		h.SlowEndpoints = append(h.SlowEndpoints, uint32(s.Endpoint))
		h.SlowPercents = append(h.SlowPercents, uint32(s.Slowdown*percent))
	}
	appendFindings(h, p.gateway.quarantine.Findings(now, !h.Partial, maxHeartbeatFindings))
	for _, d := range p.gateway.ledger.Demands(now) {
		h.Demands = append(h.Demands, &wire.Demand{
			Service: d.Service, LongPrefillMs: uint32(d.LongPrefill.Milliseconds()), OpenShort: uint32(max(d.ShortInFlight, 0)),
			ReadingMs: uint32(max(d.PendingPrefill.Milliseconds(), 0)), WaitingMs: uint32(max(d.QueuedPrefill.Milliseconds(), 0)),
		})
	}
}

// changedLoads gives those of an entry's loads that differ from what was told, and notes that
// they are told.
func (p *peers) changedLoads(loads []direct.EndpointLoad) []direct.EndpointLoad {
	var changed []direct.EndpointLoad
	present := make(map[direct.EndpointHash]bool, len(loads))
	for _, load := range loads {
		present[load.Endpoint] = true
		if p.lastSent[load.Endpoint] != load {
			p.lastSent[load.Endpoint] = load
			changed = append(changed, load)
		}
	}
	for endpoint := range p.lastSent {
		if !present[endpoint] {
			delete(p.lastSent, endpoint)
			changed = append(changed, direct.EndpointLoad{Endpoint: endpoint})
		}
	}
	return changed
}

// HandleHeartbeat implements membership.Delegate.
func (p *peers) HandleHeartbeat(now time.Time, h *wire.Heartbeat) {
	demands := make([]direct.Demand, 0, len(h.Demands))
	for _, d := range h.Demands {
		demands = append(demands, direct.Demand{
			Service: d.Service, LongPrefill: milliseconds(d.LongPrefillMs), ShortInFlight: int(d.OpenShort),
			PendingPrefill: milliseconds(d.ReadingMs), QueuedPrefill: milliseconds(d.WaitingMs),
		})
	}
	loads := make([]direct.EndpointLoad, 0, len(h.OpenEndpoints))
	for i := range min(len(h.OpenEndpoints), len(h.OpenCounts), len(h.ReadingMs)) {
		load := direct.EndpointLoad{Endpoint: direct.EndpointHash(h.OpenEndpoints[i]), InFlight: int(h.OpenCounts[i]), PendingPrefill: milliseconds(h.ReadingMs[i])}
		if len(h.StreamKeys) == 0 && load.InFlight > 0 { // an earlier version: none may be made late
			load.Streams[0] = int16(load.InFlight)
		}
		if i < len(h.MemoryKtokens) { // entries of an earlier version do not tell
			load.MemoryTokens = int(h.MemoryKtokens[i]) * memoryUnit
		}
		loads = append(loads, load)
	}
	decodeStreams(h, loads)
	p.gateway.ledger.RecordPeerSlowEndpoints(now, decodeSlowEndpoints(h))
	for _, request := range p.gateway.quarantine.Merge(now, decodeFindings(h)) {
		p.gateway.reportQuarantined(request, h.Node)
	}
	if h.Partial {
		p.gateway.ledger.UpdatePeerLoad(now, h.Node, demands, loads)
		return
	}
	p.gateway.ledger.ReplacePeerLoad(now, h.Node, demands, loads)
}

// streamKeyBase is what an endpoint's index is multiplied by in the key of its streams.
const streamKeyBase = 16

// appendStreams tells of the streams at the last endpoint of a heartbeat.
func appendStreams(h *wire.Heartbeat, streams direct.StreamCounts) {
	index := len(h.OpenEndpoints) - 1
	for class, n := range streams {
		if n > 0 {
			h.StreamKeys = append(h.StreamKeys, uint32(index*streamKeyBase+class))
			h.StreamCounts = append(h.StreamCounts, uint32(n))
		}
	}
}

// decodeStreams reads what a heartbeat tells of the streams at its endpoints.
func decodeStreams(h *wire.Heartbeat, loads []direct.EndpointLoad) {
	for i := range min(len(h.StreamKeys), len(h.StreamCounts)) {
		index, class := int(h.StreamKeys[i]/streamKeyBase), int(h.StreamKeys[i]%streamKeyBase)
		if index < len(loads) && class < len(loads[index].Streams) {
			loads[index].Streams[class] = int16(min(h.StreamCounts[i], math.MaxInt16))
		}
	}
}

// appendFindings tells under which requests endpoints crashed.
func appendFindings(h *wire.Heartbeat, findings []attempt.Finding) {
	for _, f := range findings {
		h.FindingScopes = append(h.FindingScopes, f.Request.Scope)
		h.FindingBodies = append(h.FindingBodies, f.Request.Body)
		h.FindingEndpoints = append(h.FindingEndpoints, f.Endpoint)
		h.FindingAgesMs = append(h.FindingAgesMs, uint32(f.Age.Milliseconds())+1)
	}
}

// decodeFindings reads under which requests another entry knows endpoints to have crashed.
func decodeFindings(h *wire.Heartbeat) []attempt.Finding {
	n := min(len(h.FindingScopes), len(h.FindingBodies), len(h.FindingEndpoints), len(h.FindingAgesMs))
	findings := make([]attempt.Finding, 0, n)
	for i := range n {
		request := attempt.Fingerprint{Scope: h.FindingScopes[i], Body: h.FindingBodies[i]}
		findings = append(findings, attempt.Finding{Request: request, Endpoint: h.FindingEndpoints[i], Age: milliseconds(h.FindingAgesMs[i])})
	}
	return findings
}

// decodeSlowEndpoints reads which endpoints another entry knows to be slow.
func decodeSlowEndpoints(h *wire.Heartbeat) []direct.SlowEndpoint {
	slow := make([]direct.SlowEndpoint, 0, len(h.SlowEndpoints))
	for i := range min(len(h.SlowEndpoints), len(h.SlowPercents)) {
		slow = append(slow, direct.SlowEndpoint{Endpoint: direct.EndpointHash(h.SlowEndpoints[i]), Slowdown: float64(h.SlowPercents[i]) / percent})
	}
	return slow
}

// Tick implements membership.Delegate.
func (p *peers) Tick(now time.Time, members *membership.View) {
	p.gateway.retries.SetEntries(now, members.EntryCountWithLeaving()+1)
	p.gateway.ledger.SetEntryCount(members.EntryCount() + 1)
	alive := members.Entries("")
	rank := sort.Search(len(alive), func(i int) bool { return alive[i].Name() > p.gateway.settings.Name })
	p.gateway.ledger.SetRank(rank, len(alive)+1)
}

// percent is by how much a pace is multiplied to be told.
const percent = 100

// memoryUnit is the number of tokens by which memory is told.
const memoryUnit = 1000

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
