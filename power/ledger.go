// Package power keeps the power draw of a site within its cap. Each site has a ledger, a value
// in the platform's store, that records how many watts each endpoint may draw. The package
// does no I/O: the entry that is the site's power coordinator reads and writes the ledger and
// sends the grants to the agents.
//
// The invariant holds at any time, with no, one or two coordinators: an endpoint never draws
// more than the ledger counts for it, and the counted watts sum to at most the cap. An
// increase of a grant is counted before it is sent. A decrease stays counted at the old value
// until the agent has confirmed the new one.
package power

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// Ledger holds the power grants of a site's endpoints.
type Ledger struct {
	// Revision increases with every write. An agent refuses a grant whose revision is older
	// than that of the last grant it applied.
	Revision uint64 `json:"revision"`
	// CapWatts is the cap that the operators have set.
	CapWatts uint64 `json:"cap_watts"`
	// Grants holds the grants by endpoint name.
	Grants map[string]*Grant `json:"grants"`
}

// Grant is the power granted to one endpoint.
type Grant struct {
	// Incarnation is the incarnation of the agent that the grant is for.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the ledger's revision at which Watts was set.
	Revision uint64 `json:"revision"`
	// Watts is the most that the endpoint may draw.
	Watts uint64 `json:"watts"`
	// CountedWatts is the most that the endpoint may currently be drawing: Watts, or the
	// value before a decrease that the agent has not confirmed yet.
	CountedWatts uint64 `json:"counted"`
	// FloorWatts is the endpoint's idle draw, below which no grant can go.
	FloorWatts uint64 `json:"floor"`
}

// Report is the state of one endpoint and its agent, from the agent's last heartbeat and the
// platform's list of VMs.
type Report struct {
	Endpoint    string
	Incarnation uint64
	// FloorWatts is the idle draw, MaxWatts the draw with a full batch, and WantWatts the
	// draw that the current jobs could use.
	FloorWatts, MaxWatts, WantWatts uint64
	// LimitWatts is the worst-case draw that the agent currently enforces. Revision is that
	// of the last grant that it has applied.
	LimitWatts, Revision uint64
	// Gone is set once the endpoint's VM has been missing from the platform's list for
	// longer than the list's lag.
	Gone bool
	// Silent is set if there is no current heartbeat of the agent. Its grant stays as it is.
	Silent bool
}

// DecodeLedger decodes a ledger from JSON. Without data it returns an empty ledger.
func DecodeLedger(data []byte) (*Ledger, error) {
	ledger := &Ledger{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, ledger); err != nil {
			return nil, errors.Wrap(err, "decode the power ledger")
		}
	}
	if ledger.Grants == nil {
		ledger.Grants = map[string]*Grant{}
	}
	return ledger, nil
}

// Encode returns the ledger as JSON, as it is stored.
func (l *Ledger) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	return data, errors.WithStack(err)
}

// CountedWatts returns the sum of the counted watts: the most that the site's endpoints may
// currently be drawing.
func (l *Ledger) CountedWatts() uint64 {
	sum := uint64(0)
	for _, grant := range l.Grants {
		sum += grant.CountedWatts
	}
	return sum
}

// CapInForceWatts returns the cap that the site currently stays within. After an operator
// lowered the cap, it is above CapWatts until the agents have confirmed lower grants.
func (l *Ledger) CapInForceWatts() uint64 {
	return max(l.CapWatts, l.CountedWatts())
}

// minChangeWatts is the smallest change of a grant that is usually worth a write of the
// ledger. See lowerGrants and raiseGrants for the exceptions.
const minChangeWatts = 50

// Plan computes the next ledger from the current one, the cap in watts and the reports, which
// it sorts. It returns nil if nothing changes. The caller must write the result to the store
// before it sends any of its grants.
func Plan(current *Ledger, capWatts uint64, reports []Report) *Ledger {
	next := current.clone()
	next.Revision++
	changed := next.CapWatts != capWatts
	next.CapWatts = capWatts
	sort.Slice(reports, func(i, j int) bool { return reports[i].Endpoint < reports[j].Endpoint })
	for _, report := range reports {
		changed = next.applyReport(report) || changed
	}
	targets := next.targetWatts(reports)
	changed = next.lowerGrants(reports, targets) || changed
	changed = next.raiseGrants(reports, targets) || changed
	if !changed {
		return nil
	}
	return next
}

// clone returns a deep copy of the ledger.
func (l *Ledger) clone() *Ledger {
	next := &Ledger{Revision: l.Revision, CapWatts: l.CapWatts, Grants: make(map[string]*Grant, len(l.Grants))}
	for name, grant := range l.Grants {
		copied := *grant
		next.Grants[name] = &copied
	}
	return next
}

// applyReport updates the grant of the reported endpoint: it adds the grant of a new endpoint,
// deletes that of an endpoint that is gone, resets it for a new incarnation of the agent, and
// counts a confirmed decrease. It returns whether the ledger changed.
func (l *Ledger) applyReport(report Report) bool {
	grant := l.Grants[report.Endpoint]
	if report.Gone {
		delete(l.Grants, report.Endpoint)
		return grant != nil
	}
	if report.Silent {
		return false
	}
	if grant == nil {
		l.Grants[report.Endpoint] = l.newGrant(report)
		return true
	}
	if grant.Incarnation != report.Incarnation {
		// The new agent has no grant yet, but its endpoint may still run sequences for the
		// agent before it. The counted watts stay until the new agent confirms its grant.
		grant.Incarnation, grant.Revision = report.Incarnation, l.Revision
		grant.Watts, grant.FloorWatts = report.FloorWatts, report.FloorWatts
		grant.CountedWatts = max(grant.CountedWatts, report.FloorWatts)
		return true
	}
	if grant.CountedWatts > grant.Watts && report.Revision >= grant.Revision && report.LimitWatts <= grant.Watts {
		grant.CountedWatts = grant.Watts
		return true
	}
	return false
}

// newGrant returns the grant of an endpoint that is not in the ledger yet. The endpoint draws
// its power whether or not the cap has room for it, so the draw is counted as reported.
func (l *Ledger) newGrant(report Report) *Grant {
	return &Grant{
		Incarnation: report.Incarnation, Revision: l.Revision, FloorWatts: report.FloorWatts,
		Watts: report.FloorWatts, CountedWatts: max(report.FloorWatts, report.LimitWatts),
	}
}

// targetWatts distributes the cap and returns the target grants of the endpoints whose agents
// are not silent. Each endpoint gets its floor first. The rest is distributed in equal shares
// up to the draw that each endpoint's jobs could use, and what is left in equal shares up to
// the maximum draw, so that new jobs find power without a change of the ledger. The counted
// watts of all other endpoints are set aside.
func (l *Ledger) targetWatts(reports []Report) map[string]uint64 {
	targets := make(map[string]uint64, len(reports))
	remaining := l.CapWatts
	subtract := func(watts uint64) { remaining -= min(remaining, watts) }
	reported := map[string]bool{}
	var reporting []Report
	for _, report := range reports {
		reported[report.Endpoint] = true
		grant := l.Grants[report.Endpoint]
		switch {
		case grant == nil:
		case report.Silent:
			subtract(grant.CountedWatts)
		default:
			targets[report.Endpoint] = report.FloorWatts
			subtract(report.FloorWatts)
			reporting = append(reporting, report)
		}
	}
	for name, grant := range l.Grants {
		if !reported[name] {
			subtract(grant.CountedWatts)
		}
	}
	remaining = distribute(targets, reporting, remaining, func(r Report) uint64 { return max(r.FloorWatts, min(r.WantWatts, r.MaxWatts)) })
	distribute(targets, reporting, remaining, func(r Report) uint64 { return r.MaxWatts })
	return targets
}

// distribute raises the targets of the reported endpoints up to limit, in equal shares of the
// available watts, and returns the watts that are left.
func distribute(targets map[string]uint64, reports []Report, available uint64, limit func(Report) uint64) uint64 {
	unsatisfied := append([]Report(nil), reports...)
	for available > 0 && len(unsatisfied) > 0 {
		share := max(1, available/uint64(len(unsatisfied)))
		var next []Report
		for _, report := range unsatisfied {
			headroom := limit(report) - min(limit(report), targets[report.Endpoint])
			step := min(share, headroom, available)
			targets[report.Endpoint] += step
			available -= step
			if headroom > step {
				next = append(next, report)
			}
		}
		unsatisfied = next
	}
	return available
}

// lowerGrants lowers grants to their targets and returns whether it changed any. The old value
// of a lowered grant stays counted. A decrease below minChangeWatts is made only if the site
// is above its cap or an endpoint has no more than its floor.
func (l *Ledger) lowerGrants(reports []Report, targets map[string]uint64) bool {
	needed := l.CountedWatts() > l.CapWatts || l.anyAtFloor()
	changed := false
	for _, report := range reports {
		grant, target := l.Grants[report.Endpoint], targets[report.Endpoint]
		if grant == nil || report.Silent || target >= grant.Watts {
			continue
		}
		if grant.Watts-target < minChangeWatts && !needed {
			continue
		}
		grant.Watts, grant.Revision = target, l.Revision
		changed = true
	}
	return changed
}

// anyAtFloor returns whether an endpoint has no more than its floor. Then even a small
// decrease of another grant is worth a write.
func (l *Ledger) anyAtFloor() bool {
	for _, grant := range l.Grants {
		if grant.Watts <= grant.FloorWatts {
			return true
		}
	}
	return false
}

// raiseGrants raises grants towards their targets as far as the watts that are not counted
// allow, and returns whether it changed any. A grant with an unconfirmed decrease is not
// raised, because it is unknown which value its agent enforces. An increase below
// minChangeWatts is made only for an endpoint that has no more than its floor.
func (l *Ledger) raiseGrants(reports []Report, targets map[string]uint64) bool {
	counted := l.CountedWatts()
	changed := false
	for _, report := range reports {
		grant, target := l.Grants[report.Endpoint], targets[report.Endpoint]
		if grant == nil || report.Silent || target <= grant.Watts || grant.CountedWatts > grant.Watts || counted >= l.CapWatts {
			continue
		}
		raise := min(target-grant.Watts, l.CapWatts-counted)
		if raise < minChangeWatts && grant.Watts > grant.FloorWatts {
			continue
		}
		grant.Watts += raise
		grant.CountedWatts = grant.Watts
		grant.Revision = l.Revision
		counted += raise
		changed = true
	}
	return changed
}
