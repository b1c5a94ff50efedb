package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"aspenyard.example/admission"
)

// LimitsResult shows how well several entries together keep the rate limit of a client account.
type LimitsResult struct {
	Entries int    `json:"entries"`
	Case    string `json:"case"`
	// Overshoot is the largest number of requests admitted in any ten seconds, divided by
	// the limit for ten seconds, less 1. Unused is the share of the limit that the offered
	// requests left unused though they could have used it, after the first ten seconds.
	Overshoot float64 `json:"overshoot"`
	Unused    float64 `json:"unused"`
	// EqualUnused is the same without lending, with an equal share for each entry.
	EqualUnused float64 `json:"equal_unused"`
}

// limitsCases name how the traffic of an account is distributed over the entries. In "home dies"
// it arrives at one entry, and the entry that lends the shares is replaced half way through.
var limitsCases = []string{"even", "one entry", "skewed", "moving", "home dies"}

const (
	limitPerSecond      = 100.0 // requests
	offeredPerSecond    = 200.0
	limitsDuration      = 60 * time.Second
	limitsStep          = 5 * time.Millisecond
	limitsWindowSeconds = 10
	movePeriod          = 15 * time.Second
)

// Limits runs the real limiter and lending in virtual time and measures how the limit is kept, for
// each number of entries and each case.
func Limits(seed uint64, entryCounts []int) []LimitsResult {
	var results []LimitsResult
	for _, entries := range entryCounts {
		for _, name := range limitsCases {
			lent := runLimits(seed, entries, name, true)
			equal := runLimits(seed, entries, name, false)
			lent.EqualUnused = equal.Unused
			results = append(results, lent)
		}
	}
	return results
}

// limitsRun is the state of one run.
type limitsRun struct {
	name      string
	entries   int
	lending   bool
	random    *rand.Rand
	limiters  []*admission.Limiter
	borrowers []*admission.Borrower
	lender    *admission.Lender
	admitted  []int // requests by second
	offered   []int // requests by second
}

// runLimits runs one case.
func runLimits(seed uint64, entries int, name string, lending bool) LimitsResult {
	epoch := time.Unix(1_780_000_000, 0)
	r := &limitsRun{name: name, entries: entries, lending: lending, random: rand.New(rand.NewPCG(seed, uint64(entries))), lender: admission.NewLender(epoch)}
	for range entries {
		r.limiters = append(r.limiters, admission.NewLimiter())
		r.borrowers = append(r.borrowers, admission.NewBorrower())
	}
	seconds := int(limitsDuration / time.Second)
	r.admitted, r.offered = make([]int, seconds), make([]int, seconds)
	nextBorrow := time.Duration(0)
	for at := time.Duration(0); at < limitsDuration; at += limitsStep {
		now := epoch.Add(at)
		if name == "home dies" && at == limitsDuration/2 {
			// The new lender does not know what the previous one has lent.
			r.lender = admission.NewLender(now)
		}
		if lending && at >= nextBorrow {
			nextBorrow = at + admission.BorrowInterval
			r.borrow(now)
		}
		r.offerRequests(now, at)
	}
	return r.result()
}

// borrow requests a share of the limit for each entry that had requests.
func (r *limitsRun) borrow(now time.Time) {
	for i, limiter := range r.limiters {
		demand := limiter.TakeDemand(now, time.Hour)["account"]
		if demand == 0 {
			continue
		}
		share := r.lender.Lend(now, "account", strconv.Itoa(i), demand/admission.BorrowInterval.Seconds())
		r.borrowers[i].SetLoan(now, "account", share)
	}
}

// offerRequests offers the requests of one step, a number whose mean is the offered rate.
func (r *limitsRun) offerRequests(now time.Time, at time.Duration) {
	for expected := offeredPerSecond * limitsStep.Seconds(); expected > 0; expected-- {
		if expected < 1 && r.random.Float64() >= expected {
			return
		}
		i := r.entryOf(at)
		share := 1 / float64(r.entries)
		if r.lending {
			share = r.borrowers[i].Share(now, "account", r.entries)
		}
		second := int(at / time.Second)
		r.offered[second]++
		if r.limiters[i].Admit(now, "account", admission.Limits{RequestsPerSecond: limitPerSecond}, share, 1) == nil {
			r.limiters[i].Done("account")
			r.admitted[second]++
		}
	}
}

// entryOf is the entry at which a request arrives.
func (r *limitsRun) entryOf(at time.Duration) int {
	switch r.name {
	case "one entry", "home dies":
		return 0
	case "skewed":
		if r.random.Float64() < 0.8 {
			return 0
		}
	case "moving":
		return int(at/movePeriod) % r.entries
	}
	return r.random.IntN(r.entries)
}

// result sums up the run.
func (r *limitsRun) result() LimitsResult {
	result := LimitsResult{Entries: r.entries, Case: r.name}
	usable, used := 0.0, 0.0
	for second := limitsWindowSeconds; second <= len(r.admitted); second++ {
		sum := 0
		for _, n := range r.admitted[second-limitsWindowSeconds : second] {
			sum += n
		}
		result.Overshoot = max(result.Overshoot, float64(sum)/(limitPerSecond*limitsWindowSeconds)-1)
	}
	for second := limitsWindowSeconds; second < len(r.admitted); second++ {
		usable += min(limitPerSecond, float64(r.offered[second]))
		used += min(limitPerSecond, float64(r.admitted[second]))
	}
	result.Unused = 1 - used/usable
	return result
}
