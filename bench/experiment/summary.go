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

// Summary compares policies over the plays of an experiment.
type Summary struct {
	file    *File
	results map[string]map[runKey]*RunResult // by policy
	count   int
}

// runKey names what plays under several policies have in common.
type runKey struct {
	site string
	seed uint64
}

func (k runKey) compare(other runKey) int {
	return cmp.Or(cmp.Compare(k.site, other.site), cmp.Compare(k.seed, other.seed))
}

// NewSummary makes an empty summary.
func NewSummary(f *File) *Summary {
	return &Summary{file: f, results: map[string]map[runKey]*RunResult{}}
}

// Add takes a play in.
func (s *Summary) Add(p *RunResult) {
	if s.results[p.Policy] == nil {
		s.results[p.Policy] = map[runKey]*RunResult{}
	}
	s.results[p.Policy][runKey{p.Site, p.Seed}] = p
	s.count++
}

// Row is one policy on one site, or on all random ones.
type Row struct {
	Site, Policy string
	Runs         int
	Worth        float64
	// Difference is to the first policy over Pairs of plays, StandardError its standard error; Lost
	// is in how many of the pairs the first policy did better.
	Difference, StandardError float64
	Pairs, WorsePairs         int
	// OnTimeShares are the parts of each kind's requests that were on time.
	OnTimeShares []KindShare
}

// KindShare is how many of a kind's requests were on time.
type KindShare struct {
	Kind   string
	OnTime float64
}

// randomSitesLabel stands for all random sites in a table.
const randomSitesLabel = "random sites"

// Rows gives a row for each site and policy; random sites are one.
func (s *Summary) Rows() []Row {
	var rows []Row
	for i := range s.file.Sites {
		name := s.file.Sites[i].Name
		rows = append(rows, s.rows(name, func(k runKey) bool { return k.site == name })...)
	}
	if s.file.Random != nil {
		written := map[string]bool{}
		for i := range s.file.Sites {
			written[s.file.Sites[i].Name] = true
		}
		rows = append(rows, s.rows(randomSitesLabel, func(k runKey) bool { return !written[k.site] })...)
	}
	return rows
}

func (s *Summary) rows(site string, among func(k runKey) bool) []Row {
	var rows []Row
	for i := range s.file.Policies {
		if row := s.row(site, s.file.Policies[i].Name, among); row.Runs > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// row sums a policy's plays, in the order of their keys: sums of floating-point numbers hang
// on their order, and that of a map is another one each time.
func (s *Summary) row(site, policy string, among func(k runKey) bool) Row {
	row := Row{Site: site, Policy: policy}
	plays, base := s.results[policy], s.results[s.file.Policies[0].Name]
	var differences []float64
	var kinds []emulator.Result
	for _, key := range slices.SortedFunc(maps.Keys(plays), runKey.compare) {
		if !among(key) {
			continue
		}
		p := plays[key]
		row.Runs++
		row.Worth += p.Worth
		if before := base[key]; before != nil {
			differences = append(differences, p.Worth-before.Worth)
		}
		kinds = addResults(kinds, p.Kinds)
	}
	row.Worth /= float64(max(row.Runs, 1))
	row.compare(differences)
	for _, k := range kinds {
		row.OnTimeShares = append(row.OnTimeShares, KindShare{k.Kind, k.OnTimeShare()})
	}
	return row
}

// addResults adds results to sums by kind.
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

// compare sets the mean of paired differences and its standard error.
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

// Outperformed lists the random sites on which another policy earns more than the first by more
// than twice the error, worst first.
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

// Table writes rows as a table in Markdown.
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
