// Package days turns scores of played days into a page with plots, so that a person
// sees at a look where a deployment stands and what a change brought.
package days

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Score is one measurement of a site's standard days.
type Score struct {
	ID, Site, Commit, Description string
	MeasuredAt                    time.Time
	Score                         float64
	// CPUCharged is set when processor time was charged.
	CPUCharged bool
	Days       []Day
}

// Day is one played day.
type Day struct {
	Name string
	// Worth is what was earned less prices, of what was owed.
	Worth float64
	// Passed is set when the day keeps its floors; Broken names rules that it broke.
	Passed      bool
	BrokenRules []string
	// ClassWorths holds what each kind of request earned of what it was owed.
	ClassWorths []float64
	// Prices holds what was taken off, by what for, as a part of what was owed.
	Prices map[string]float64
}

// MeanWorth is the mean worth over the standard days.
func (s *Score) MeanWorth() float64 {
	sum := 0.0
	for _, d := range s.Days {
		sum += d.Worth
	}
	return sum / float64(max(len(s.Days), 1))
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// maxPlottedPrices is how many kinds of price are drawn, the dearest.
	maxPlottedPrices = 6
)

// WritePage writes days.md and its plots, for each site a plot of worth and one of prices.
func WritePage(dir string, scores []*Score) error {
	if len(scores) == 0 {
		return errors.New("no scores of standard days among the files")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	slices.SortFunc(scores, func(a, b *Score) int { return a.MeasuredAt.Compare(b.MeasuredAt) })
	bySite := map[string][]*Score{}
	var sites []string
	for _, s := range scores {
		if bySite[s.Site] == nil {
			sites = append(sites, s.Site)
		}
		bySite[s.Site] = append(bySite[s.Site], s)
	}
	slices.Sort(sites)
	var page strings.Builder
	page.WriteString("# Played days\n\nMade by `aspenyard report days`. Worth is what was earned less prices, of what was owed.\n")
	for _, site := range sites {
		list := bySite[site]
		if err := plotWorth(filepath.Join(dir, site+"-worth.svg"), site, list); err != nil {
			return err
		}
		if err := plotPrices(filepath.Join(dir, site+"-prices.svg"), site, list); err != nil {
			return err
		}
		writeTable(&page, site, list)
	}
	return errors.WithStack(os.WriteFile(filepath.Join(dir, "days.md"), []byte(page.String()), 0o644))
}

func writeTable(page *strings.Builder, site string, list []*Score) {
	fmt.Fprintf(page, "\n## %s\n\n![worth](%s-worth.svg)\n\n![prices](%s-prices.svg)\n\n", site, site, site)
	page.WriteString("| # | Commit | Score | Mean worth | Worst day | Worst class | Prices | Processor time | What was tried |\n|---|---|---|---|---|---|---|---|---|\n")
	for i, s := range list {
		charged := "not charged"
		if s.CPUCharged {
			charged = "charged"
		}
		day, class, prices := worst(s)
		fmt.Fprintf(page, "| %d | %.8s | %.3f | %.3f | %s %.3f | %.3f | %.3f | %s | %s |\n", i+1, s.Commit, s.Score, s.MeanWorth(), day.Name, day.Worth, class, prices, charged, strings.ReplaceAll(s.Description, "|", "/"))
	}
}

// worst gives the day with the least worth, the least that any class earned, and the
// mean of all prices.
func worst(s *Score) (day Day, class, prices float64) {
	class = 1
	for i, d := range s.Days {
		if i == 0 || d.Worth < day.Worth {
			day = d
		}
		for _, c := range d.ClassWorths {
			class = min(class, c)
		}
		for _, p := range d.Prices {
			prices += p
		}
	}
	return day, class, prices / float64(max(len(s.Days), 1))
}

func plotWorth(path, site string, list []*Score) error {
	lines := map[string]plotter.XYs{}
	for i, s := range list {
		lines["mean"] = append(lines["mean"], plotter.XY{X: float64(i + 1), Y: s.MeanWorth()})
		for _, d := range s.Days {
			if !strings.HasPrefix(d.Name, "fresh") {
				lines[d.Name] = append(lines[d.Name], plotter.XY{X: float64(i + 1), Y: d.Worth})
			}
		}
	}
	return savePlot(path, site+": worth by day", "worth", lines)
}

func plotPrices(path, site string, list []*Score) error {
	totals := map[string]float64{}
	for _, s := range list {
		for _, d := range s.Days {
			for name, price := range d.Prices {
				totals[name] += price
			}
		}
	}
	var names []string
	for name := range totals {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if totals[a] != totals[b] {
			if totals[a] > totals[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	lines := map[string]plotter.XYs{}
	for _, name := range names[:min(len(names), maxPlottedPrices)] {
		for i, s := range list {
			sum := 0.0
			for _, d := range s.Days {
				sum += d.Prices[name]
			}
			lines[name] = append(lines[name], plotter.XY{X: float64(i + 1), Y: sum / float64(max(len(s.Days), 1))})
		}
	}
	return savePlot(path, site+": what is taken off, mean of the days", "part of worth", lines)
}

func savePlot(path, title, y string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "measurement", y
	p.Legend.Top, p.Legend.Left = true, true
	if err := AddLines(p, lines); err != nil {
		return err
	}
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}

// AddLines draws lines with points, in the order of their names, so that the same data
// always gives the same plot.
func AddLines(p *plot.Plot, lines map[string]plotter.XYs) error {
	var drawn []any
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		drawn = append(drawn, name, lines[name])
	}
	return errors.WithStack(plotutil.AddLinePoints(p, drawn...))
}
