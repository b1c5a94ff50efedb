package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minWindow and maxWindow bound the time constant of the averages of offered load, which is
	// windowShare of the time that the tier's requests may wait. A burst of urgent requests must be
	// followed within a second. A single prompt of a million tokens takes the time of fifty engines
	// for a second, and may wait for several.
	minWindow, maxWindow = time.Second, 4 * time.Second
	windowShare          = 0.5
	// maxReportedAccounts is how many client accounts a report lists for each tier.
	maxReportedAccounts = 8
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
	// Started is how many requests lately had their first response, Late how many of them
	// missed their route's target.
	Started, Late float64
	// Accounts lists the client accounts that offered most.
	Accounts []AccountLoad
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
	accounts                         map[uint32]*average
	// typical describes the tier's requests.
	typical typicalRequest
}

func newTierWindow() *tierWindow { return &tierWindow{accounts: map[uint32]*average{}} }

// window is the time constant of the tier's offered load.
func (w *tierWindow) window() time.Duration {
	return min(max(time.Duration(windowShare*float64(w.typical.slack)), minWindow), maxWindow)
}

// arrive records a request's engine time.
func (w *tierWindow) arrive(now time.Time, account uint32, cost float64) {
	window := w.window()
	w.offered.add(now, window, cost)
	a := w.accounts[account]
	if a == nil {
		a = &average{}
		w.accounts[account] = a
	}
	a.add(now, window, cost)
}

// report returns the averages, and drops accounts that no longer offer anything.
func (w *tierWindow) report(now time.Time, service string, tier Tier) TierLoad {
	window := w.window()
	load := TierLoad{Service: service, Tier: tier, Offered: w.offered.value(now, window), Admitted: w.admitted.value(now, window), Started: w.started.value(now, minWindow), Late: w.late.value(now, minWindow)}
	for account, a := range w.accounts {
		value := a.value(now, window)
		if value < negligibleLoad {
			delete(w.accounts, account)
			continue
		}
		load.Accounts = append(load.Accounts, AccountLoad{account, value})
	}
	slices.SortFunc(load.Accounts, func(a, b AccountLoad) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Account, b.Account))
	})
	load.Accounts = load.Accounts[:min(len(load.Accounts), maxReportedAccounts)]
	return load
}

// typicalRequest holds moving means of a tier's requests.
type typicalRequest struct {
	cost, prefill, slack time.Duration
}

// typicalWeight is the weight of the newest request in the means.
const typicalWeight = 0.1

func (t *typicalRequest) observe(a *Arrival) {
	if t.cost == 0 {
		*t = typicalRequest{a.Cost, a.Prefill, a.Slack}
		return
	}
	mean := func(old, value time.Duration) time.Duration {
		return old + time.Duration(typicalWeight*float64(value-old))
	}
	t.cost, t.prefill, t.slack = mean(t.cost, a.Cost), mean(t.prefill, a.Prefill), mean(t.slack, a.Slack)
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
	accounts                         map[uint32]float64
}

func (d *demandSum) add(load *TierLoad, scale float64) {
	d.offered += load.Offered * scale
	d.admitted += load.Admitted * scale
	d.started += load.Started * scale
	d.late += load.Late * scale
	for _, a := range load.Accounts {
		d.accounts[a.Account] += a.Offered * scale
	}
}

// sumReports sums the loads of one service over all entries: this entry's own, and its peers',
// scaled up to all entries. Where no peer reports, the others count like this entry.
func sumReports(now time.Time, service string, own []TierLoad, peers map[string]*peerReport, entries int) map[Tier]*demandSum {
	heard := 0
	for _, p := range peers {
		if now.Sub(p.receivedAt) <= reportTTL {
			heard++
		}
	}
	ownScale, peerScale := 1.0, 1.0
	if heard == 0 {
		ownScale = float64(max(entries, 1))
	} else {
		peerScale = float64(max(entries-1, heard)) / float64(heard)
	}
	sums := map[Tier]*demandSum{}
	add := func(loads []TierLoad, scale float64) {
		for i := range loads {
			if loads[i].Service != service {
				continue
			}
			sum := sums[loads[i].Tier]
			if sum == nil {
				sum = &demandSum{accounts: map[uint32]float64{}}
				sums[loads[i].Tier] = sum
			}
			sum.add(&loads[i], scale)
		}
	}
	add(own, ownScale)
	for _, p := range peers {
		if now.Sub(p.receivedAt) <= reportTTL {
			add(p.loads, peerScale)
		}
	}
	return sums
}
