package experiment

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/bench/emulator"
	"aspenyard.example/settings"
)

// smallExperiment is an experiment of a few short runs.
func smallExperiment() *File {
	site := (&RandomSites{Count: 1, Seed: 3}).generate()[0]
	site.Name, site.Entries, site.Engines, site.Duration, site.LoadChanges = "one", 2, 6, settings.Duration(3*time.Second), nil
	for i := range site.Kinds {
		site.Kinds[i].RequestsPerSecond = []float64{10, 1, 0.5}[i]
	}
	return &File{Name: "small", Seeds: 3, Sites: []Site{site}, Policies: []Policy{{Name: "product"}, {Name: "random", Policy: emulator.Random}, {Name: "one view", SingleEntry: true}}}
}

func runExperiment(t *testing.T, f *File) *Summary {
	t.Helper()
	s := NewSummary(f)
	if err := f.Run(context.Background(), func(p *RunResult, _ int) { s.Add(p) }); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestExperimentIsDeterministic(t *testing.T) {
	is := is.New(t)
	first, second := runExperiment(t, smallExperiment()), runExperiment(t, smallExperiment())
	is.Equal(Table(first.Rows()), Table(second.Rows()))
	rows := first.Rows()
	is.Equal(len(rows), 3)
	for _, r := range rows {
		is.Equal(r.Runs, 3)
		is.Equal(r.Pairs, 3)
		is.True(r.Worth > 0 && r.Worth <= 1)
		is.Equal(len(r.OnTimeShares), 3)
	}
	is.Equal(rows[0].Difference, 0.0) // from itself
}

func TestDifferencesArePairedBySiteAndSeed(t *testing.T) {
	is := is.New(t)
	f := smallExperiment()
	s := NewSummary(f)
	for seed, worth := range []float64{0.5, 0.9} {
		s.Add(&RunResult{Site: "one", Policy: "product", Seed: uint64(seed), Worth: worth})
		s.Add(&RunResult{Site: "one", Policy: "random", Seed: uint64(seed), Worth: worth - 0.1})
	}
	s.Add(&RunResult{Site: "one", Policy: "random", Seed: 7, Worth: 0}) // has no counterpart
	row := s.Rows()[1]
	is.Equal(row.Pairs, 2)
	is.Equal(row.WorsePairs, 2)
	is.True(row.Difference < -0.0999 && row.Difference > -0.1001)
	is.True(row.StandardError < 1e-9) // the difference is the same in each pair, though the worth differs
}

func TestEveryInvalidFieldIsReported(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte(`{"name":"","seeds":0,"colour":1,"random_sites":{"count":0},
		"sites":[{"name":"a","entries":0,"engines":1,"kinds":[{"name":"","tokens":-1,"worth":-1}],"turns":[{"factors":[]}],"slow":[{"engines":9,"pace":0}],"heartbeat_loss":2,"skew":-1}],
		"policies":[{"name":"p","policy":"best"},{"name":"p","without":["luck"]}]}`))
	var fieldErrs settings.FieldErrors
	is.True(errors.As(err, &fieldErrs))
	for _, field := range []string{
		"name", "seeds", "colour", "random_sites.count", "sites[0].entries", "sites[0].length", "sites[0].engine.slots", "sites[0].kinds[0].name", "sites[0].kinds[0].tokens",
		"sites[0].kinds[0].worth", "sites[0].turns[0].factors", "sites[0].slow[0].engines", "sites[0].slow[0].pace", "sites[0].heartbeat_loss", "sites[0].skew", "policies[0].policy", "policies[1].name", "policies[1].without",
	} {
		if !strings.Contains(err.Error(), `"`+field+`"`) {
			t.Errorf("%s is not named", field)
		}
	}
}

func TestRandomSitesAreValidAndDeterministic(t *testing.T) {
	is := is.New(t)
	random := &RandomSites{Count: 100, Seed: 5}
	sites, again := random.generate(), random.generate()
	is.Equal(sites, again)
	f := &File{Name: "drawn", Seeds: 1, Sites: sites, Policies: []Policy{{Name: "product"}}}
	is.NoErr(f.Check().Err())
	is.True(sites[0].Engines != sites[1].Engines || sites[0].Entries != sites[1].Entries)
}

// Guards against losing the runs that were finished before an interrupt.
func TestCancelledExperimentKeepsFinishedRuns(t *testing.T) {
	is := is.New(t)
	f := smallExperiment()
	f.Seeds = 1000
	s := NewSummary(f)
	ctx, cancel := context.WithCancel(context.Background())
	err := f.Run(ctx, func(p *RunResult, _ int) {
		s.Add(p)
		if s.count == 6 {
			cancel()
		}
	})
	is.True(errors.Is(err, context.Canceled))
	is.True(s.count >= 6 && s.count < 3000)
	dir := t.TempDir()
	is.NoErr(s.WritePage(dir, "page"))
	for _, name := range []string{"page.md", "page.svg"} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}

// Guards against a product policy that is tuned only to the sites of the examples: on random
// sites it earns more than each baseline, in the mean and on at least 10 of 12.
func TestProductBeatsBaselinesOnRandomSites(t *testing.T) {
	is := is.New(t)
	f := &File{Name: "drawn", Seeds: 1, Random: &RandomSites{Count: 12, Seed: 1}, Policies: []Policy{{Name: "product"}}}
	for _, policy := range emulator.Policies()[1:] {
		f.Policies = append(f.Policies, Policy{Name: string(policy), Policy: policy})
	}
	for _, row := range runExperiment(t, f).Rows()[1:] {
		is.True(row.Difference < -2*row.StandardError)
		is.True(row.WorsePairs >= 10) // of 12
	}
}
