package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"aspenyard.example/bench/emulator"
)

// Summary compares policies over the runs of an experiment. Not safe for concurrent use.
type Summary struct {
	file    *File
	results map[string]map[runKey]*RunResult // by policy
	count   int
}

// runKey identifies the runs of one site and seed, which differ in their policy.
type runKey struct {
	site string
	seed uint64
}

func (k runKey) compare(other runKey) int {
	return cmp.Or(cmp.Compare(k.site, other.site), cmp.Compare(k.seed, other.seed))
}

// NewSummary returns an empty summary of an experiment.
func NewSummary(f *File) *Summary {
	return &Summary{file: f, results: map[string]map[runKey]*RunResult{}}
}

// Add adds the result of a run.
func (s *Summary) Add(result *RunResult) {
	if s.results[result.Policy] == nil {
		s.results[result.Policy] = map[runKey]*RunResult{}
	}
	s.results[result.Policy][runKey{result.Site, result.Seed}] = result
	s.count++
}

// Row is the result of one policy on one site, or on all random sites.
type Row struct {
	Site, Policy string
	Runs         int
	// Worth is the mean worth of the runs, 0 to 1.
	Worth float64
	// Difference is the mean difference of the worth from that under the first policy, over
	// Pairs of runs with the same site and seed, and StandardError its standard error.
	// WorsePairs counts the pairs in which the first policy did better.
	Difference, StandardError float64
	Pairs, WorsePairs         int
	// OnTimeShares has an element for each kind of request.
	OnTimeShares []KindShare
}

// KindShare is the share of a kind's requests that were on time, 0 to 1.
type KindShare struct {
	Kind   string
	OnTime float64
}

// randomSitesLabel is the site name of rows that cover all random sites.
const randomSitesLabel = "random sites"

// Rows returns a row for each site and policy; the random sites share one row per policy.
func (s *Summary) Rows() []Row {
	var rows []Row
	for i := range s.file.Sites {
		name := s.file.Sites[i].Name
		rows = append(rows, s.rows(name, func(k runKey) bool { return k.site == name })...)
	}
	if s.file.Random != nil {
		given := map[string]bool{}
		for i := range s.file.Sites {
			given[s.file.Sites[i].Name] = true
		}
		rows = append(rows, s.rows(randomSitesLabel, func(k runKey) bool { return !given[k.site] })...)
	}
	return rows
}

// rows returns a row for each policy that has runs among the selected ones.
func (s *Summary) rows(site string, selected func(k runKey) bool) []Row {
	var rows []Row
	for i := range s.file.Policies {
		if row := s.row(site, s.file.Policies[i].Name, selected); row.Runs > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// row sums a policy's runs in the order of their keys. Floating-point sums depend on the order,
// and maps iterate in a random order.
func (s *Summary) row(site, policy string, selected func(k runKey) bool) Row {
	row := Row{Site: site, Policy: policy}
	runs, reference := s.results[policy], s.results[s.file.Policies[0].Name]
	var differences []float64
	var kinds []emulator.Result
	for _, key := range slices.SortedFunc(maps.Keys(runs), runKey.compare) {
		if !selected(key) {
			continue
		}
		result := runs[key]
		row.Runs++
		row.Worth += result.Worth
		if paired := reference[key]; paired != nil {
			differences = append(differences, result.Worth-paired.Worth)
		}
		kinds = addResults(kinds, result.Kinds)
	}
	row.Worth /= float64(max(row.Runs, 1))
	row.compare(differences)
	for _, k := range kinds {
		row.OnTimeShares = append(row.OnTimeShares, KindShare{k.Kind, k.OnTimeShare()})
	}
	return row
}

// addResults adds results to the sums of their kinds and returns the sums.
func addResults(sums, results []emulator.Result) []emulator.Result {
	for _, r := range results {
		i := slices.IndexFunc(sums, func(sum emulator.Result) bool { return sum.Kind == r.Kind })
		if i < 0 {
			i, sums = len(sums), append(sums, emulator.Result{Kind: r.Kind})
		}
		sums[i].Add(r)
	}
	return sums
}

// compare sets the row's comparison from the differences of its pairs.
func (r *Row) compare(differences []float64) {
	n := float64(len(differences))
	if n == 0 {
		return
	}
	sum, squares := 0.0, 0.0
	for _, d := range differences {
		sum += d
		if d < 0 {
			r.WorsePairs++
		}
	}
	r.Pairs, r.Difference = len(differences), sum/n
	for _, d := range differences {
		squares += (d - r.Difference) * (d - r.Difference)
	}
	if n > 1 {
		r.StandardError = math.Sqrt(squares / (n - 1) / n)
	}
}

// Outperformed returns the rows of single random sites on which another policy earns more than
// the first by more than twice the standard error, the largest difference first.
func (s *Summary) Outperformed() []Row {
	if s.file.Random == nil {
		return nil
	}
	var list []Row
	for _, site := range s.file.Random.generate() {
		for _, row := range s.rows(site.Name, func(k runKey) bool { return k.site == site.Name }) {
			if row.Difference > 2*row.StandardError && row.Difference > 0 {
				list = append(list, row)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Row) int { return cmp.Compare(b.Difference, a.Difference) })
	return list
}

// Table formats rows as a Markdown table.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| Site | Policy | Plays | Worth | Difference | Worse in | On time |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		difference := "–"
		if r.Pairs > 0 && (r.Difference != 0 || r.StandardError != 0) {
			difference = fmt.Sprintf("%+.3f ± %.3f", r.Difference, r.StandardError)
		}
		var shares []string
		for _, s := range r.OnTimeShares {
			shares = append(shares, fmt.Sprintf("%s %.3f", s.Kind, s.OnTime))
		}
		fmt.Fprintf(&b, "| %s | %s | %d | %.3f | %s | %d of %d | %s |\n", r.Site, r.Policy, r.Runs, r.Worth, difference, r.WorsePairs, r.Pairs, strings.Join(shares, ", "))
	}
	return b.String()
}
