package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"aspenyard.example/admission"
)

// LimitsResult is how well a client account's rate held over several entries.
type LimitsResult struct {
	Entries int    `json:"entries"`
	Case    string `json:"case"`
	// Overshoot is the most admitted in any ten seconds over the limit's worth of
	// them; Unused is the part of the limit that offered requests could have used
	// and did not, over the whole run after the first ten seconds.
	Overshoot float64 `json:"overshoot"`
	Unused    float64 `json:"unused"`
	// EqualUnused is the same for equal parts without lending.
	EqualUnused float64 `json:"equal_unused"`
}

// limitsCases are where an account's traffic arrives.
var limitsCases = []string{"even", "one entry", "skewed", "moving", "home dies"}

const (
	limitPerSecond   = 100.0 // requests a second
	offeredPerSecond = 200.0
	limitsDuration   = 60 * time.Second
	limitsStep       = 5 * time.Millisecond
	limitsWindow     = 10 // seconds
	movePeriod       = 15 * time.Second
)

// Limits measures the account limits with the real limiter and lending in virtual
// time.
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

// limitsRun is one entry fleet under one case.
type limitsRun struct {
	name     string
	entries  int
	lending  bool
	random   *rand.Rand
	limiters []*admission.Limiter
	shares   []*admission.Borrower
	lender   *admission.Lender
	admitted []int // by second
	offered  []int
}

func runLimits(seed uint64, entries int, name string, lending bool) LimitsResult {
	epoch := time.Unix(1_780_000_000, 0)
	r := &limitsRun{name: name, entries: entries, lending: lending, random: rand.New(rand.NewPCG(seed, uint64(entries))), lender: admission.NewLender(epoch)}
	for range entries {
		r.limiters = append(r.limiters, admission.NewLimiter())
		r.shares = append(r.shares, admission.NewBorrower())
	}
	seconds := int(limitsDuration / time.Second)
	r.admitted, r.offered = make([]int, seconds), make([]int, seconds)
	nextBorrow := time.Duration(0)
	for at := time.Duration(0); at < limitsDuration; at += limitsStep {
		now := epoch.Add(at)
		if name == "home dies" && at == limitsDuration/2 {
			// The next home begins without knowing what was lent.
			r.lender = admission.NewLender(now)
		}
		if lending && at >= nextBorrow {
			nextBorrow = at + admission.BorrowInterval
			r.borrow(now)
		}
		r.arrivals(now, at)
	}
	return r.result()
}

func (r *limitsRun) borrow(now time.Time) {
	for i, limiter := range r.limiters {
		arrived := limiter.TakeDemand(now, time.Hour)["account"]
		if arrived == 0 {
			continue
		}
		share := r.lender.Lend(now, "account", strconv.Itoa(i), arrived/admission.BorrowInterval.Seconds())
		r.shares[i].SetLoan(now, "account", share)
	}
}

func (r *limitsRun) arrivals(now time.Time, at time.Duration) {
	for chance := offeredPerSecond * limitsStep.Seconds(); chance > 0; chance-- {
		if chance < 1 && r.random.Float64() >= chance {
			return
		}
		i := r.target(at)
		share := 1 / float64(r.entries)
		if r.lending {
			share = r.shares[i].Share(now, "account", r.entries)
		}
		second := int(at / time.Second)
		r.offered[second]++
		if r.limiters[i].Admit(now, "account", admission.Limits{RequestsPerSecond: limitPerSecond}, share, 1) == nil {
			r.limiters[i].Done("account")
			r.admitted[second]++
		}
	}
}

// target is the entry at which a request arrives.
func (r *limitsRun) target(at time.Duration) int {
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

func (r *limitsRun) result() LimitsResult {
	result := LimitsResult{Entries: r.entries, Case: r.name}
	could, did := 0.0, 0.0
	for second := limitsWindow; second <= len(r.admitted); second++ {
		sum := 0
		for _, n := range r.admitted[second-limitsWindow : second] {
			sum += n
		}
		result.Overshoot = max(result.Overshoot, float64(sum)/(limitPerSecond*limitsWindow)-1)
	}
	for second := limitsWindow; second < len(r.admitted); second++ {
		could += min(limitPerSecond, float64(r.offered[second]))
		did += min(limitPerSecond, float64(r.admitted[second]))
	}
	result.Unused = 1 - did/could
	return result
}
