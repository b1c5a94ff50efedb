package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"aspenyard.example/admission"
	"aspenyard.example/routing"
)

// PolicyResult is the result of one policy under one workload.
type PolicyResult struct {
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load"`
	// FirstToken holds the times to first token by band of prompt length.
	FirstToken []BandResult `json:"first_token"`
	// ShortSlowdown is the p95 time to first token of short requests divided by that of the
	// same arrivals without the long prompts; ShortSlowdownMean is the same of the means.
	ShortSlowdown     float64 `json:"short_slowdown_p95"`
	ShortSlowdownMean float64 `json:"short_slowdown_mean"`
	// Goodput is the share of the offered requests that ended within their deadline, by
	// class.
	Goodput map[string]float64 `json:"goodput"`
	// Refused is the share of requests that were refused. Retried counts the retries that
	// callers made when Retry-After had passed, and RetrySucceeded is the share of those that
	// ended within their deadline.
	Refused        float64 `json:"refused"`
	RetrySucceeded float64 `json:"retry_succeeded"`
	Retried        int     `json:"retried"`
	// PrefixReused is the share of prompt tokens served from prefix caches.
	PrefixReused float64 `json:"prefix_reused"`
	// Fairness is the lowest goodput of a small account divided by the highest of a large one.
	Fairness float64 `json:"fairness"`
	// LateAdmitted counts admitted requests that did not end by their deadline.
	LateAdmitted int `json:"late_admitted"`
	// KillRetries counts the retries of requests whose engine was killed.
	KillRetries int `json:"kill_retries"`
	Requests    int `json:"requests"`
}

// BandResult holds the times to first token of one band of prompt lengths, in milliseconds.
type BandResult struct {
	Band  string  `json:"band"`
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// LengthBands names the bands of prompt lengths, in tokens.
var LengthBands = []string{"up to 4k", "up to 16k", "up to 100k", "above 100k"}

var classNames = []string{"urgent", "normal", "bulk"}

// RunPolicy measures one policy under a workload. It runs the workload twice, with and without its
// long prompts.
func RunPolicy(policy string, w Workload, c Conditions) (PolicyResult, error) {
	jobs := w.jobs()
	with, err := simulate(policy, jobs, w, c)
	if err != nil {
		return PolicyResult{}, err
	}
	without, err := simulate(policy, withoutLongPrompts(jobs), w, c)
	if err != nil {
		return PolicyResult{}, err
	}
	r := with.summary()
	r.Policy, r.Seed, r.Load = policy, w.Seed, w.Load
	r.ShortSlowdown = ratio(shortFirstToken(with, 0.95), shortFirstToken(without, 0.95))
	r.ShortSlowdownMean = ratio(shortFirstToken(with, -1), shortFirstToken(without, -1))
	return r, nil
}

// ratio is a divided by b, 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// shortFirstToken is a quantile of the short requests' times to first token in milliseconds, or the
// mean for a negative q. A request without a first token counts with its timeout.
func shortFirstToken(s *simulation, q float64) float64 {
	var times []float64
	sum := 0.0
	for _, o := range s.outcomes {
		if admission.Band(o.job.promptTokens) != 0 || o.refused {
			continue
		}
		first := o.firstToken
		if first == 0 {
			first = o.job.timeout
		}
		times = append(times, first.Seconds()*1000)
		sum += first.Seconds() * 1000
	}
	if q < 0 {
		return ratio(sum, float64(len(times)))
	}
	return quantile(times, q)
}

// summary returns the figures of one run.
func (s *simulation) summary() PolicyResult {
	r := PolicyResult{Goodput: map[string]float64{}, Requests: len(s.outcomes), PrefixReused: ratio(float64(s.cachedTokens), float64(s.promptTokens))}
	offered, good := map[string]int{}, map[string]int{}
	byAccount := map[string][2]int{}
	refused, retried, retryGood := 0, 0, 0
	for _, o := range s.outcomes {
		if o.job.retried {
			retried++
			if o.done {
				retryGood++
			}
			continue
		}
		class := classNames[o.job.class]
		offered[class]++
		counts := byAccount[o.job.account]
		counts[0]++
		if o.done {
			good[class]++
			counts[1]++
		}
		byAccount[o.job.account] = counts
		if o.refused {
			refused++
		}
		if o.late {
			r.LateAdmitted++
		}
		r.KillRetries += o.retries
	}
	for class, n := range offered {
		r.Goodput[class] = ratio(float64(good[class]), float64(n))
	}
	r.Refused = ratio(float64(refused), float64(len(s.outcomes)-retried))
	r.Retried, r.RetrySucceeded = retried, ratio(float64(retryGood), float64(retried))
	r.Fairness = fairness(byAccount)
	r.FirstToken = s.bands()
	return r
}

// fairness is PolicyResult.Fairness, from the offered and the successful requests by account.
func fairness(byAccount map[string][2]int) float64 {
	small, large := 1.0, 0.0
	for name, counts := range byAccount {
		share := ratio(float64(counts[1]), float64(counts[0]))
		if strings.HasPrefix(name, "large") {
			large = max(large, share)
		} else {
			small = min(small, share)
		}
	}
	return ratio(small, large)
}

// bands returns the times to first token by band, without refused requests and retries.
func (s *simulation) bands() []BandResult {
	var results []BandResult
	for band, name := range LengthBands {
		histogram := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		count := 0
		for _, o := range s.outcomes {
			if admission.Band(o.job.promptTokens) != band || o.refused || o.job.retried {
				continue
			}
			first := o.firstToken
			if first == 0 {
				first = o.job.timeout
			}
			count++
			_ = histogram.RecordValue(first.Microseconds())
		}
		ms := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		results = append(results, BandResult{Band: name, Count: count, P50: ms(50), P95: ms(95), P99: ms(99)})
	}
	return results
}

// MeanResult averages the figures of one policy's results over seeds; counts are summed.
func MeanResult(results []PolicyResult) PolicyResult {
	n := float64(len(results))
	mean := PolicyResult{Policy: results[0].Policy, Load: results[0].Load, Goodput: map[string]float64{}, FirstToken: make([]BandResult, len(LengthBands))}
	for _, r := range results {
		for i, band := range r.FirstToken {
			m := &mean.FirstToken[i]
			m.Band = band.Band
			m.Count += band.Count
			m.P50 += band.P50 / n
			m.P95 += band.P95 / n
			m.P99 += band.P99 / n
		}
		for class, share := range r.Goodput {
			mean.Goodput[class] += share / n
		}
		mean.ShortSlowdown += r.ShortSlowdown / n
		mean.ShortSlowdownMean += r.ShortSlowdownMean / n
		mean.Refused += r.Refused / n
		mean.RetrySucceeded += r.RetrySucceeded / n
		mean.PrefixReused += r.PrefixReused / n
		mean.Fairness += r.Fairness / n
		mean.LateAdmitted += r.LateAdmitted
		mean.KillRetries += r.KillRetries
		mean.Retried += r.Retried
		mean.Requests += r.Requests
	}
	return mean
}

// PolicyTable formats results as text, sorted by load, with a line for each.
func PolicyTable(results []PolicyResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-18s %5s | %s | %8s | %s | %7s %7s | %6s %6s | %s\n", "policy", "load",
		"first token p50/p95 ms: up to 4k, 16k, 100k, above", "slowdown", "goodput urgent/normal/bulk", "refused", "retryok", "reused", "fair", "late")
	b.WriteString(strings.Repeat("-", 190) + "\n")
	sort.SliceStable(results, func(i, j int) bool { return results[i].Load < results[j].Load })
	for _, r := range results {
		bands := make([]string, 0, len(r.FirstToken))
		for _, band := range r.FirstToken {
			bands = append(bands, fmt.Sprintf("%6.0f/%-6.0f", band.P50, band.P95))
		}
		fmt.Fprintf(&b, "%-18s %5.2f | %s | %8.2f | %.3f %.3f %.3f | %7.3f %7.2f | %6.3f %6.2f | %d of %d\n", r.Policy, r.Load, strings.Join(bands, " "),
			r.ShortSlowdown, r.Goodput["urgent"], r.Goodput["normal"], r.Goodput["bulk"], r.Refused, r.RetrySucceeded, r.PrefixReused, r.Fairness, r.LateAdmitted, r.Requests)
	}
	return b.String()
}

// PolicyNames returns the names of the routing policies in the order of the tables.
func PolicyNames() []string { return routing.PolicyNames() }
