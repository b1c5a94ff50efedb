package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/membership"
	"aspenyard.example/power"
	"aspenyard.example/wire"
)

const (
	// powerInterval is the mean time between updates of the power ledgers. It doubles
	// with each failed round, up to 16 times as long.
	powerInterval = 300 * time.Millisecond
	// grantTimeout bounds one Grant call to an agent.
	grantTimeout = time.Second
)

// powerCoordinator updates the power ledgers of the sites for which this entry ranks
// first and sends the grants to the agents. Two coordinators of one site at once are
// harmless: the ledger is written by compare-and-swap, and agents refuse grants older
// than the one they have.
type powerCoordinator struct {
	entry         *Entry
	unlistedSince map[string]time.Time // when silent endpoints were first seen missing from the platform's list
	mu            sync.Mutex
	ledgers       map[string]*power.Ledger // as last read or written, for the operators' status
}

func newPowerCoordinator(e *Entry) *powerCoordinator {
	return &powerCoordinator{entry: e, unlistedSince: map[string]time.Time{}, ledgers: map[string]*power.Ledger{}}
}

// ledgerKey is the store key of a site's ledger and names the duty to update it.
func ledgerKey(site string) string { return "power/" + site }

// run updates the ledgers of the sites that this entry coordinates until ctx ends.
func (p *powerCoordinator) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		failed := false
		for _, site := range p.entry.catalogue.View().List(catalogue.TypeSite) {
			if p.isCoordinator(site) && !p.updateSite(ctx, site) {
				failed = true
			}
		}
		if failed {
			failures = min(failures+1, 4)
		} else {
			failures = 0
		}
		pause := powerInterval << failures
		membership.Sleep(ctx, pause/2+rand.N(pause))
	}
}

// isCoordinator reports whether this entry coordinates a site: it is in one of the
// site's data centres, is not draining and ranks first among their live entries.
func (p *powerCoordinator) isCoordinator(site *catalogue.Record) bool {
	members := p.entry.loop.View()
	inSite := false
	var candidates []*membership.Member
	for _, dataCentre := range site.Site.DataCentres {
		inSite = inSite || dataCentre == p.entry.settings.DataCentre
		candidates = append(candidates, members.Entries(dataCentre)...)
	}
	return inSite && !p.entry.draining.Load() && rendezvousRank(ledgerKey(site.ID), p.entry.settings.Name, candidates) == 0
}

// updateSite reads a site's ledger, updates it from the agents' reports and sends the
// grants. It returns false, and leaves all grants as they are, when the ledger could not
// be read, decoded or written.
func (p *powerCoordinator) updateSite(ctx context.Context, site *catalogue.Record) bool {
	value, err := p.entry.store.Get(ctx, ledgerKey(site.ID))
	if err != nil {
		return false
	}
	current, err := power.DecodeLedger(value.Data)
	if err != nil {
		p.entry.log.Error("the power ledger in the store cannot be decoded", zap.String("site", site.ID), zap.Error(err))
		return false
	}
	reports := p.siteReports(site, current)
	if next := power.Plan(current, site.Site.PowerCapWatts, reports); next != nil {
		data, err := next.Encode()
		if err != nil {
			return false
		}
		if err := p.entry.store.CompareAndSwap(ctx, ledgerKey(site.ID), data, value.Revision); err != nil {
			// The write may have happened nevertheless. The next round reads the
			// ledger again, and a grant is sent only from a ledger that was read or
			// whose write was confirmed.
			return false
		}
		current = next
	}
	p.mu.Lock()
	p.ledgers[site.ID] = current
	p.mu.Unlock()
	p.sendGrants(ctx, current, reports)
	return true
}

// siteReports gathers the last power reports of a site's agents and of all endpoints in
// its ledger, and marks those that are silent or gone.
func (p *powerCoordinator) siteReports(site *catalogue.Record, ledger *power.Ledger) []power.Report {
	now := time.Now()
	members := p.entry.loop.View()
	inSite := map[string]bool{}
	for _, dataCentre := range site.Site.DataCentres {
		inSite[dataCentre] = true
	}
	var reports []power.Report
	known := map[string]bool{}
	for name, m := range members.Members {
		if m.LastHeartbeat == nil || m.LastHeartbeat.Power == nil || !inSite[m.DataCentre()] {
			continue
		}
		known[name] = true
		powerReport := m.LastHeartbeat.Power
		reports = append(reports, power.Report{
			Endpoint: name, Incarnation: m.LastHeartbeat.Incarnation, FloorWatts: powerReport.FloorWatts, MaxWatts: powerReport.MaxWatts, WantWatts: powerReport.WantWatts,
			LimitWatts: powerReport.LimitWatts, Revision: powerReport.GrantRevision, Silent: m.Suspect, Gone: m.Suspect && p.isGone(now, name, members),
		})
	}
	for name := range ledger.Grants {
		if !known[name] {
			reports = append(reports, power.Report{Endpoint: name, Silent: true, Gone: p.isGone(now, name, members)})
		}
	}
	return reports
}

// isGone reports whether a VM has been missing from the platform's list, as read by this
// entry, for longer than the list may lag. Until then a silent endpoint may still draw
// its watts.
func (p *powerCoordinator) isGone(now time.Time, name string, members *membership.View) bool {
	m := members.Members[name]
	if members.ListReadAt.IsZero() || (m != nil && m.Listed) {
		delete(p.unlistedSince, name)
		return false
	}
	since, found := p.unlistedSince[name]
	if !found {
		p.unlistedSince[name] = members.ListReadAt
		return false
	}
	return members.ListReadAt.Sub(since) > p.entry.settings.ListLag.D()
}

// sendGrants sends each agent its grant if the agent has not applied it yet, and waits
// for all calls to end.
func (p *powerCoordinator) sendGrants(ctx context.Context, ledger *power.Ledger, reports []power.Report) {
	members := p.entry.loop.View()
	var calls sync.WaitGroup
	for _, report := range reports {
		grant := ledger.Grants[report.Endpoint]
		m := members.Members[report.Endpoint]
		if grant == nil || m == nil || report.Silent || grant.Incarnation != report.Incarnation || report.Revision >= grant.Revision {
			continue
		}
		calls.Go(func() { p.sendGrant(ctx, m.Addr(), report.Endpoint, grant) })
	}
	calls.Wait()
}

func (p *powerCoordinator) sendGrant(ctx context.Context, addr, endpoint string, grant *power.Grant) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	request := &wire.GrantRequest{Endpoint: endpoint, Incarnation: grant.Incarnation, Revision: grant.Revision, Watts: grant.Watts}
	if _, err := p.entry.clients.Agent(addr).Grant(ctx, connect.NewRequest(request)); err != nil {
		p.entry.log.Debug("power grant could not be delivered", zap.String("endpoint", endpoint), zap.Error(err))
	}
}

// ledger returns a site's ledger as this entry last read or wrote it, or nil.
func (p *powerCoordinator) ledger(site string) *power.Ledger {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledgers[site]
}
