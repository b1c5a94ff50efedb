package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minWindow and maxOfferedWindow bound the time constant of the averages of offered load, which is
	// windowShare of the time that the tier's requests may wait. A burst of urgent requests must be
	// followed within a second. A single prompt of a million tokens takes the time of fifty engines
	// for a second, and may wait for several.
	minWindow, maxOfferedWindow = time.Second, 4 * time.Second
	windowShare                 = 0.5
	// maxReportedAccounts is how many client accounts a report lists for each tier.
	maxReportedAccounts = 8
	// maxAccounts bounds the client accounts of which an average is kept for each tier; beyond it all
	// are dropped, and those that offer most are known again within the time constant.
	maxAccounts = 4096
	// negligibleLoad is the load, in milliseconds a second, below which an average is dropped.
	negligibleLoad = 0.01
)

// AccountLoad is what one client account offered, in milliseconds of engine time a second.
type AccountLoad struct {
	Account uint32
	Offered float64
}

// TierLoad is what callers offered to one entry, for one service and tier.
type TierLoad struct {
	Service string
	Tier    Tier
	// Offered counts all requests, Admitted those that were admitted, in milliseconds of engine
	// time a second.
	Offered, Admitted float64
	// Needed is the engine time and the memory of all requests. Offered counts for each request the
	// larger of the two. Without either, the time is Offered.
	Needed Load
	// Started is how many requests lately had their first response, Late how many of them
	// missed their route's target.
	Started, Late float64
	// Accounts lists the client accounts that offered most.
	Accounts []AccountLoad
}

// needed returns the load by resource. An entry of an earlier version reports Offered alone.
func (l *TierLoad) needed() Load {
	if l.Needed == (Load{}) {
		return Load{Time: l.Offered}
	}
	return l.Needed
}

// average is an exponentially weighted rate per second.
type average struct {
	rate float64
	at   time.Time
}

// add adds an amount. window is the time constant.
func (a *average) add(now time.Time, window time.Duration, amount float64) {
	a.rate = a.value(now, window) + amount/window.Seconds()
	a.at = now
}

// value returns the rate.
func (a *average) value(now time.Time, window time.Duration) float64 {
	if passed := now.Sub(a.at); passed > 0 && a.rate != 0 {
		return a.rate * math.Exp(-passed.Seconds()/window.Seconds())
	}
	return a.rate
}

// tierWindow is what callers lately offered to this entry in one tier.
type tierWindow struct {
	offered, admitted, started, late average
	time, memory                     average
	accounts                         map[uint32]*average
	// typical describes the tier's requests.
	typical typicalRequest
}

func newTierWindow() *tierWindow { return &tierWindow{accounts: map[uint32]*average{}} }

// window is the time constant of the tier's offered load.
func (w *tierWindow) window() time.Duration {
	return min(max(time.Duration(windowShare*float64(w.typical.slack)), minWindow), maxOfferedWindow)
}

// arrive records what a request needs.
func (w *tierWindow) arrive(now time.Time, account uint32, request *Arrival) {
	window, cost := w.window(), request.largestCost()
	w.offered.add(now, window, cost)
	w.time.add(now, window, milliseconds(request.Cost))
	w.memory.add(now, window, milliseconds(request.Memory))
	a := w.accounts[account]
	if a == nil {
		if len(w.accounts) >= maxAccounts {
			clear(w.accounts)
		}
		a = &average{}
		w.accounts[account] = a
	}
	a.add(now, window, cost)
}

// report returns the averages, with client accounts if asked for.
func (w *tierWindow) report(now time.Time, service string, tier Tier, listAccounts bool) TierLoad {
	window := w.window()
	load := TierLoad{Service: service, Tier: tier, Offered: w.offered.value(now, window), Admitted: w.admitted.value(now, window), Needed: Load{w.time.value(now, window), w.memory.value(now, window)}, Started: w.started.value(now, minWindow), Late: w.late.value(now, minWindow)}
	if listAccounts {
		load.Accounts = w.largestAccounts(now)
	}
	return load
}

// largestAccounts returns the client accounts that offer most, and drops those that no longer offer
// anything.
func (w *tierWindow) largestAccounts(now time.Time) []AccountLoad {
	window := w.window()
	list := make([]AccountLoad, 0, len(w.accounts))
	for account, a := range w.accounts {
		value := a.value(now, window)
		if value < negligibleLoad {
			delete(w.accounts, account)
			continue
		}
		list = append(list, AccountLoad{account, value})
	}
	slices.SortFunc(list, func(a, b AccountLoad) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Account, b.Account))
	})
	return list[:min(len(list), maxReportedAccounts)]
}

// typicalRequest holds moving means of a tier's requests.
type typicalRequest struct {
	cost, prefill, slack, target time.Duration
}

// typicalWeight is the weight of the newest request in the means.
const typicalWeight = 0.1

func (t *typicalRequest) observe(a *Arrival) {
	if t.cost == 0 {
		*t = typicalRequest{a.Cost, a.Prefill, a.Slack, a.Target}
		return
	}
	mean := func(old, value time.Duration) time.Duration {
		return old + time.Duration(typicalWeight*float64(value-old))
	}
	t.cost, t.prefill, t.slack, t.target = mean(t.cost, a.Cost), mean(t.prefill, a.Prefill), mean(t.slack, a.Slack), mean(t.target, a.Target)
}

// peerReport is the last report of another entry.
type peerReport struct {
	receivedAt time.Time
	loads      []TierLoad
}

// reportTTL is how long a report is used. Entries send one every 100 to 300 ms, and several may be
// lost.
const reportTTL = time.Second

// demandSum is the load of one tier over all entries.
type demandSum struct {
	offered, admitted, started, late float64
	needed                           Load
}

// scaledReport is the report of one entry and the number of entries for which it counts.
type scaledReport struct {
	loads []TierLoad
	scale float64
}

// scaledReports returns the reports in use: this entry's own, and its peers', scaled up to all
// entries. Where no peer reports, the others count like this entry.
func (c *Controller) scaledReports(now time.Time, own []TierLoad) []scaledReport {
	reports := make([]scaledReport, 1, 1+len(c.peers))
	for _, name := range slices.Sorted(maps.Keys(c.peers)) { // in the same order each time, as sums of floats depend on it
		if p := c.peers[name]; now.Sub(p.receivedAt) <= reportTTL {
			reports = append(reports, scaledReport{loads: p.loads})
		}
	}
	heard := len(reports) - 1
	reports[0] = scaledReport{own, 1}
	if heard == 0 {
		reports[0].scale = float64(max(c.entries, 1))
	}
	for i := range reports[1:] {
		reports[1+i].scale = float64(max(c.entries-1, heard)) / float64(heard)
	}
	return reports
}

// sumReports sums the loads of one service.
func sumReports(service string, reports []scaledReport) map[Tier]*demandSum {
	sums := map[Tier]*demandSum{}
	for _, r := range reports {
		for i := range r.loads {
			load := &r.loads[i]
			if load.Service != service {
				continue
			}
			sum := sums[load.Tier]
			if sum == nil {
				sum = &demandSum{}
				sums[load.Tier] = sum
			}
			sum.offered += load.Offered * r.scale
			sum.admitted += load.Admitted * r.scale
			sum.started += load.Started * r.scale
			sum.needed = sum.needed.plus(load.needed().times(r.scale))
			sum.late += load.Late * r.scale
		}
	}
	return sums
}

// sumAccounts sums what the listed client accounts offer in one tier.
func sumAccounts(service string, tier Tier, reports []scaledReport) map[uint32]float64 {
	sums := map[uint32]float64{}
	for _, r := range reports {
		for i := range r.loads {
			if r.loads[i].Service != service || r.loads[i].Tier != tier {
				continue
			}
			for _, a := range r.loads[i].Accounts {
				sums[a.Account] += a.Offered * r.scale
			}
		}
	}
	return sums
}
