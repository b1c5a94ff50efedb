// Package power keeps a site's draw under its cap. One ledger per site, a value
// in the platform's store, says how many watts each endpoint may draw. The
// package is pure: the keeper reads and writes the ledger and sends the grants.
//
// The rule that holds at every moment, with none, one or two keepers: an agent
// never draws more than the ledger counts for it, and the counted watts sum to
// at most the cap. An increase is counted before it is sent. A decrease keeps
// being counted at its old value until the agent has confirmed the new one.
package power

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// Ledger is a site's grants.
type Ledger struct {
	// Revision rises with every write; agents refuse grants of an older one.
	Revision uint64 `json:"revision"`
	// CapWatts is the cap that the operators ask for.
	CapWatts uint64 `json:"cap_watts"`
	// Grants by endpoint.
	Grants map[string]*Grant `json:"grants"`
}

// Grant is one endpoint's part.
type Grant struct {
	// Incarnation is the agent's life that the grant is for.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the ledger's revision at which Watts was set.
	Revision uint64 `json:"revision"`
	// Watts is what the agent may draw at most.
	Watts uint64 `json:"watts"`
	// CountedWatts is what the endpoint may still be drawing: Watts, or the value
	// before an unconfirmed decrease.
	CountedWatts uint64 `json:"counted"`
	// FloorWatts is the idle draw, which no grant can take away.
	FloorWatts uint64 `json:"floor"`
}

// Report is what an agent says of its endpoint.
type Report struct {
	Endpoint    string
	Incarnation uint64
	// FloorWatts, MaxWatts and WantWatts are the idle draw, the draw of a full endpoint and the
	// draw that the present work could use, in watts.
	FloorWatts, MaxWatts, WantWatts uint64
	// LimitWatts is the worst-case draw the agent now keeps to, and Revision that of
	// the last grant it has applied.
	LimitWatts, Revision uint64
	// Gone is set once the endpoint's VM has been off the platform's list for
	// longer than the list's lag.
	Gone bool
	// Silent is set when the agent is not heard of; its grant stays as it is.
	Silent bool
}

// DecodeLedger reads a ledger; no data is an empty one.
func DecodeLedger(data []byte) (*Ledger, error) {
	ledger := &Ledger{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, ledger); err != nil {
			return nil, errors.Wrap(err, "power ledger")
		}
	}
	if ledger.Grants == nil {
		ledger.Grants = map[string]*Grant{}
	}
	return ledger, nil
}

// Encode writes a ledger.
func (l *Ledger) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	return data, errors.WithStack(err)
}

// CountedWatts sums the watts that the site may be drawing.
func (l *Ledger) CountedWatts() uint64 {
	sum := uint64(0)
	for _, grant := range l.Grants {
		sum += grant.CountedWatts
	}
	return sum
}

// CapInForceWatts is the cap that the site keeps to now: after an operator has
// lowered the cap, it is above CapWatts until the agents have confirmed.
func (l *Ledger) CapInForceWatts() uint64 {
	return max(l.CapWatts, l.CountedWatts())
}

// minChangeWatts keeps the ledger from being written for trifles.
const minChangeWatts = 50

// Plan makes the next ledger from the present one, the cap and the reports. It
// returns nil when nothing has to change. The result is to be written before
// any of its grants is sent.
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

func (l *Ledger) clone() *Ledger {
	next := &Ledger{Revision: l.Revision, CapWatts: l.CapWatts, Grants: make(map[string]*Grant, len(l.Grants))}
	for name, grant := range l.Grants {
		copied := *grant
		next.Grants[name] = &copied
	}
	return next
}

// applyReport takes in confirmations, new agents and endpoints that are gone.
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
		// A new agent holds no grant, but its endpoint may still be at work for the
		// agent before it: what was counted stays so until the new one confirms.
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

// newGrant makes the grant of an endpoint that the ledger did not know. Its draw
// is there whether the cap has room or not, so it is counted as it is.
func (l *Ledger) newGrant(report Report) *Grant {
	return &Grant{
		Incarnation: report.Incarnation, Revision: l.Revision, FloorWatts: report.FloorWatts,
		Watts: report.FloorWatts, CountedWatts: max(report.FloorWatts, report.LimitWatts),
	}
}

// targetWatts shares the cap out: every floor first, then equal steps up to what
// each endpoint's work could use, then the rest equally up to the maximum, so
// that new work finds watts without waiting for the ledger.
func (l *Ledger) targetWatts(reports []Report) map[string]uint64 {
	targets := make(map[string]uint64, len(reports))
	left := l.CapWatts
	take := func(watts uint64) { left -= min(left, watts) }
	reported := map[string]bool{}
	var open []Report
	for _, report := range reports {
		reported[report.Endpoint] = true
		grant := l.Grants[report.Endpoint]
		switch {
		case grant == nil:
		case report.Silent:
			take(grant.CountedWatts)
		default:
			targets[report.Endpoint] = report.FloorWatts
			take(report.FloorWatts)
			open = append(open, report)
		}
	}
	for name, grant := range l.Grants {
		if !reported[name] {
			take(grant.CountedWatts)
		}
	}
	left = distribute(targets, open, left, func(r Report) uint64 { return max(r.FloorWatts, min(r.WantWatts, r.MaxWatts)) })
	distribute(targets, open, left, func(r Report) uint64 { return r.MaxWatts })
	return targets
}

// distribute raises the targets towards a limit in equal shares and returns what is left.
func distribute(targets map[string]uint64, reports []Report, left uint64, limit func(Report) uint64) uint64 {
	hungry := append([]Report(nil), reports...)
	for left > 0 && len(hungry) > 0 {
		share := max(1, left/uint64(len(hungry)))
		var still []Report
		for _, report := range hungry {
			room := limit(report) - min(limit(report), targets[report.Endpoint])
			step := min(share, room, left)
			targets[report.Endpoint] += step
			left -= step
			if room > step {
				still = append(still, report)
			}
		}
		hungry = still
	}
	return left
}

// lowerGrants lowers grants to their targets. What is lowered stays counted.
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

// anyAtFloor tells whether an endpoint has no more than its floor: then even a
// small decrease elsewhere is worth a write.
func (l *Ledger) anyAtFloor() bool {
	for _, grant := range l.Grants {
		if grant.Watts <= grant.FloorWatts {
			return true
		}
	}
	return false
}

// raiseGrants raises grants towards their targets, as far as the watts not
// counted elsewhere allow. A grant with an unconfirmed decrease is not raised:
// what its endpoint may draw is unclear.
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
