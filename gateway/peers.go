package gateway

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
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
	// registrationTTL is how long a node that died stays registered. renewalInterval leaves
	// time for two lost renewals before a registration expires.
	registrationTTL = 12 * time.Second
	renewalInterval = 4 * time.Second
	// registryTimeout bounds one call that registers, renews or writes a record.
	registryTimeout = time.Second
	// deregisterTimeout is shorter than the time that a drain leaves until the process is
	// killed.
	deregisterTimeout = 150 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats to other entries. They carry the
	// load that this entry's requests put on the engines; an entry that does not know what
	// the others have just sent chooses the same engines. A shorter interval brings no
	// further gain.
	heartbeatInterval = 100 * time.Millisecond
	// fullHeartbeatInterval is the time between two heartbeats that report everything. The
	// loss of one between them leaves an outdated number at the receiver for up to that long.
	fullHeartbeatInterval = time.Second
	// maxHeartbeatInterval is the interval between heartbeats up to which every entry sends
	// them to all others. That holds for up to about a hundred entries; among more, each
	// receives the heartbeats of only some of the others.
	maxHeartbeatInterval = 300 * time.Millisecond
	// localPeers and remotePeers are how many entries heartbeats are sent to in any case, in
	// this entry's data centre and in each of the others.
	localPeers, remotePeers = 8, 8
	// peerSuspectAfter is the silence after which another entry counts as failed.
	peerSuspectAfter = time.Second
	// heartbeatBytesPerSecond bounds the heartbeat traffic that an entry receives; the more
	// entries there are, the less often heartbeats are sent.
	heartbeatBytesPerSecond = 50_000
	// maxHeartbeatFindings is how many crash findings a heartbeat carries at most, of about
	// 24 bytes each.
	maxHeartbeatFindings = 32
)

// peers connects this entry with the others: it registers the entry in the store, so that the
// others find it, and exchanges heartbeats with them about the load that their requests put on
// the engines. Without the others' reports the load is known less exactly, and entries with a
// small share of the traffic would each divide the engines differently; nothing else is lost.
type peers struct {
	gateway *Gateway
	// lease is the registration's lease; nil while not registered.
	lease atomic.Pointer[directory.Lease]
	// eraNoticed receives a value after the store has begun a new era, in which this entry must register anew.
	eraNoticed chan struct{}
	// lastSent is what was last reported of each endpoint since fullSentAt, when the last
	// full heartbeat was sent. Only the membership loop's control thread uses these two fields.
	lastSent   map[direct.EndpointHash]direct.EndpointLoad
	fullSentAt time.Time
	// delays and incarnations are used by the control thread only, like lastSent.
	// incarnations holds the other entries' incarnations as of the last tick.
	delays       *peerDelays
	incarnations map[string]uint64
	views        viewExchange
}

// keepRegistered registers this node, as soon as it has the state, and renews the registration until ctx
// ends. Entries that start at the same moment would otherwise read each other's registrations as changes
// before they serve.
func (p *peers) keepRegistered(ctx context.Context) {
	g := p.gateway
	select {
	case <-g.watcher.StateRead():
	case <-ctx.Done():
		return
	}
	node := directory.Node{Name: g.settings.Name, Addr: g.settings.PeersListen, DataCentre: g.settings.DataCentre}
	var registration directory.Registration
	var registeredAt time.Time
	registered, retry := false, reregisterRetry
	for ctx.Err() == nil {
		calledAt := time.Now()
		callCtx, cancel := context.WithTimeout(directory.WithCallReason(ctx, "registration"), registryTimeout)
		var err error
		if !registered {
			if registration, err = g.registry.Register(callCtx, node, registrationTTL); err == nil {
				registered, retry = true, reregisterRetry
				lease := registration.Lease
				p.lease.Store(&lease)
				registeredAt = time.Now()
				g.log.Info("registered", zap.Uint64("lease", registration.Lease.ID), zap.Uint64("revision", registration.At.Revision()), zap.Stringer("era", registration.At.Era()))
				p.startHeartbeats(ctx, registration.At.IncarnationNumber())
			}
		} else {
			err = g.registry.Renew(callCtx, registration.Lease)
		}
		cancel()
		if err == nil {
			g.cold().SetRegistered(registeredAt, calledAt.Add(registrationTTL))
		}
		if errors.Is(err, directory.ErrLeaseExpired) {
			registered = false
			continue
		}
		pause := renewalInterval
		if err != nil {
			g.log.Warn("not_registered", eventlog.Error(err))
			if !registered && !registeredAt.IsZero() {
				pause = retry/2 + time.Duration(rand.Int64N(int64(retry)))
				retry = min(2*retry, renewalInterval)
			}
		}
		registered = p.awaitRenewal(ctx, pause) && registered
	}
}

// awaitRenewal waits for the next renewal of the registration. It reports false if the store has begun a new
// era meanwhile: the lease of an earlier one may be another's now.
func (p *peers) awaitRenewal(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.eraNoticed:
		if lease := p.lease.Load(); lease != nil && lease.Era == p.gateway.source.Era() {
			return true // the registration was of the new era already
		}
		membership.Sleep(ctx, p.gateway.reregisterDelay())
		return false
	}
	return true
}

// announceLeaving tells the other entries that this one is draining.
func (p *peers) announceLeaving() {
	if loop := p.gateway.peerLoop.Load(); loop != nil {
		loop.Leave()
	}
}

// deregister ends the registration, so that the others do not count this entry until its lease
// ends. A failure is only logged, as the lease ends by itself.
func (p *peers) deregister() {
	lease := p.lease.Load()
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := p.gateway.registry.Deregister(ctx, *lease); err != nil {
		p.gateway.log.Warn("not_deregistered", eventlog.Error(err))
	}
}

// sendHeartbeat sends a heartbeat at once for changes that the others need early, such as a
// long prompt: its prefill takes longer than the time between heartbeats, and the other entries
// hold back their long prompts meanwhile.
func (p *peers) sendHeartbeat() {
	if loop := p.gateway.peerLoop.Load(); loop != nil {
		loop.Announce()
	}
}

// startHeartbeats starts the heartbeats after the first registration. The registration's
// position gives the node's incarnation number, as it comes later with every start whatever the wall
// clock does.
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

// setMembers passes the registered entries to the membership loop. Before it runs, their number bounds
// this entry's share of the retry limits.
func (p *peers) setMembers(snapshot *directory.Snapshot) {
	loop := p.gateway.peerLoop.Load()
	if loop == nil {
		p.gateway.retries.AssumeEntries(len(snapshot.Nodes))
		return
	}
	vms := make([]infra.VM, 0, len(snapshot.Nodes))
	for _, n := range snapshot.Nodes {
		vms = append(vms, infra.VM{Name: n.Name, Role: membership.RoleEntry, DataCentre: n.DataCentre, Addr: n.Addr})
	}
	loop.SetList(vms)
}

// FillHeartbeat implements membership.Delegate. Between full heartbeats it reports changes only,
// which spares bytes and the receivers' work.
func (p *peers) FillHeartbeat(now time.Time, h *wire.Heartbeat) {
	loads := p.gateway.loadTracker.Loads(now)
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
	for _, s := range p.gateway.loadTracker.SlowEndpoints(now) {
		h.SlowEndpoints = append(h.SlowEndpoints, uint32(s.Endpoint))
		h.SlowPercents = append(h.SlowPercents, uint32(s.Slowdown*percent))
	}
	h.SentUptimeMs = uint64(time.Since(p.gateway.started).Milliseconds())
	p.gateway.appendPressure(h)
	p.gateway.appendLeaving(now, h)
	p.gateway.appendEvacuations(now, h)
	p.gateway.appendCold(now, h)
	appendBackoffs(h, p.gateway.loadTracker.Backoffs().Reports(now, !h.Partial, maxHeartbeatBackoffs))
	appendLimits(h, p.gateway.loadTracker.Limits().Reports(now, !h.Partial, maxHeartbeatLimits))
	appendOutcomes(h, p.gateway.loadTracker.TakeOutcomes(maxHeartbeatOutcomes))
	appendReturns(h, p.gateway.returns.Reports(now, !h.Partial, maxHeartbeatReturns))
	appendFindings(h, p.gateway.quarantine.Findings(now, !h.Partial, maxHeartbeatFindings))
	appendPartFindings(h, p.gateway.crashCauses.Findings(now, !h.Partial, maxHeartbeatFindings))
	appendOfferedLoads(h, p.gateway.admission.controller.Reports(now, !h.Partial))
	h.Demands = encodeDemands(p.gateway.loadTracker.Demands(now))
}

// encodeDemands returns demands in the form that heartbeats carry.
func encodeDemands(demands []direct.Demand) []*wire.Demand {
	encoded := make([]*wire.Demand, 0, len(demands))
	for _, d := range demands {
		encoded = append(encoded, encodeDemand(&d))
	}
	return encoded
}

// decodeDemands returns the demands of a heartbeat.
func decodeDemands(encoded []*wire.Demand) []direct.Demand {
	demands := make([]direct.Demand, 0, len(encoded))
	for _, d := range encoded {
		demands = append(demands, decodeDemand(d))
	}
	return demands
}

// changedLoads returns the endpoint loads that differ from what was last sent, and records them as
// sent. An endpoint that no longer has any load is returned with a load of zero.
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

// HandleHeartbeat implements membership.Delegate: it applies the load, the slow endpoints and the
// crash findings that another entry reports.
func (p *peers) HandleHeartbeat(now time.Time, h *wire.Heartbeat) {
	if p.gateway.feed.handle(h) || p.handleView(now, h) {
		return
	}
	demands := decodeDemands(h.Demands)
	loads := make([]direct.EndpointLoad, 0, len(h.OpenEndpoints))
	for i := range min(len(h.OpenEndpoints), len(h.OpenCounts), len(h.ReadingMs)) {
		load := direct.EndpointLoad{Endpoint: direct.EndpointHash(h.OpenEndpoints[i]), InFlight: int(h.OpenCounts[i]), PendingPrefill: milliseconds(h.ReadingMs[i])}
		if len(h.StreamKeys) == 0 && load.InFlight > 0 { // from an earlier version, without pause classes: none may be delayed
			load.Streams[0] = int16(load.InFlight)
		}
		if i < len(h.MemoryKtokens) { // earlier versions do not send it
			load.MemoryTokens = int(h.MemoryKtokens[i]) * memoryUnit
		}
		loads = append(loads, load)
	}
	decodeStreams(h, loads)
	p.gateway.loadTracker.RecordPeerSlowEndpoints(now, decodeSlowEndpoints(h))
	delay := p.delays.observe(now, h)
	p.gateway.mergeLimits(now, h, delay)
	p.gateway.mergeCold(now, h, delay)
	p.gateway.loadTracker.Backoffs().Merge(now, delay, decodeBackoffs(h))
	p.gateway.returns.Merge(now, delay, decodeReturns(h))
	p.gateway.mergePressure(now, h)
	p.gateway.mergeLeaving(now, h)
	p.gateway.loadTracker.MergeOutcomes(now, decodeOutcomes(h))
	p.gateway.mergeEvacuations(now, h)
	p.gateway.admission.controller.Merge(now, h.Node, decodeOfferedLoads(h), !h.Partial)
	for _, request := range p.gateway.quarantine.Merge(now, decodeFindings(h)) {
		p.gateway.reportQuarantined(request, h.Node)
	}
	p.gateway.reportParts(p.gateway.crashCauses.Merge(now, decodePartFindings(h)), h.Node)
	if h.Partial {
		p.gateway.loadTracker.UpdatePeerLoad(now, h.Node, demands, loads)
		return
	}
	p.gateway.loadTracker.ReplacePeerLoad(now, h.Node, demands, loads)
}

// streamKeyBase is the factor of the endpoint's index in a stream's key; the pause class is
// added to the product.
const streamKeyBase = 16

// appendStreams adds the streams of the last endpoint in a heartbeat.
func appendStreams(h *wire.Heartbeat, streams direct.StreamCounts) {
	index := len(h.OpenEndpoints) - 1
	for class, n := range streams {
		if n > 0 {
			h.StreamKeys = append(h.StreamKeys, uint32(index*streamKeyBase+class))
			h.StreamCounts = append(h.StreamCounts, uint32(n))
		}
	}
}

// decodeStreams sets the streams of loads from a heartbeat that lists the same endpoints.
func decodeStreams(h *wire.Heartbeat, loads []direct.EndpointLoad) {
	for i := range min(len(h.StreamKeys), len(h.StreamCounts)) {
		index, class := int(h.StreamKeys[i]/streamKeyBase), int(h.StreamKeys[i]%streamKeyBase)
		if index < len(loads) && class < len(loads[index].Streams) {
			loads[index].Streams[class] = int16(min(h.StreamCounts[i], math.MaxInt16))
		}
	}
}

// appendFindings adds findings about requests during which endpoints crashed.
func appendFindings(h *wire.Heartbeat, findings []attempt.Finding) {
	for _, f := range findings {
		h.FindingScopes = append(h.FindingScopes, f.Request.Scope)
		h.FindingBodies = append(h.FindingBodies, f.Request.Body)
		h.FindingEndpoints = append(h.FindingEndpoints, f.Endpoint)
		h.FindingAgesMs = append(h.FindingAgesMs, uint32(f.Age.Milliseconds())+1)
	}
}

// decodeFindings returns a heartbeat's findings about requests during which endpoints crashed.
func decodeFindings(h *wire.Heartbeat) []attempt.Finding {
	n := min(len(h.FindingScopes), len(h.FindingBodies), len(h.FindingEndpoints), len(h.FindingAgesMs))
	findings := make([]attempt.Finding, 0, n)
	for i := range n {
		request := attempt.Fingerprint{Scope: h.FindingScopes[i], Body: h.FindingBodies[i]}
		findings = append(findings, attempt.Finding{Request: request, Endpoint: h.FindingEndpoints[i], Age: milliseconds(h.FindingAgesMs[i])})
	}
	return findings
}

// decodeSlowEndpoints returns the endpoints that a heartbeat reports as slow.
func decodeSlowEndpoints(h *wire.Heartbeat) []direct.SlowEndpoint {
	slow := make([]direct.SlowEndpoint, 0, len(h.SlowEndpoints))
	for i := range min(len(h.SlowEndpoints), len(h.SlowPercents)) {
		slow = append(slow, direct.SlowEndpoint{Endpoint: direct.EndpointHash(h.SlowEndpoints[i]), Slowdown: float64(h.SlowPercents[i]) / percent})
	}
	return slow
}

// Tick implements membership.Delegate: it updates the number of entries, and this one's rank
// among them by name, for the retry limits and the division of the engines.
func (p *peers) Tick(now time.Time, members *membership.View) {
	p.requestView(now, members)
	p.fullHeartbeatForNewEntries(members)
	p.gateway.retries.SetEntries(now, members.EntryCountWithLeaving()+1)
	p.gateway.loadTracker.SetEntryCount(members.EntryCount() + 1)
	p.gateway.admission.controller.SetEntries(members.EntryCount() + 1)
	p.gateway.returns.SetEntries(members.EntryCount() + 1)
	p.gateway.cold().SetHeard(members.EntryCount())
	others := p.rankedEntries(now, members)
	rank := sort.SearchStrings(others, p.gateway.settings.Name)
	p.gateway.loadTracker.SetRank(rank, len(others)+1)
	p.gateway.crashCauses.SetNodes(len(others) + 1)
	p.gateway.divisions.observe(now)
}

// fullHeartbeatForNewEntries makes the next heartbeat a full one when an entry has started, so that
// it learns at once what the others know, and drops what is kept of entries that are gone.
func (p *peers) fullHeartbeatForNewEntries(members *membership.View) {
	for name, m := range members.Members {
		if m.LastHeartbeat != nil && p.incarnations[name] != m.LastHeartbeat.Incarnation {
			p.incarnations[name] = m.LastHeartbeat.Incarnation
			p.fullSentAt = time.Time{}
		}
	}
	known := func(name string) bool { return members.Members[name] != nil }
	maps.DeleteFunc(p.incarnations, func(name string, _ uint64) bool { return !known(name) })
	p.delays.prune(known)
}

// percent is the factor by which a slowdown is multiplied in heartbeats.
const percent = 100

// memoryUnit is the number of tokens that one unit of memory in heartbeats stands for.
const memoryUnit = 1000

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
