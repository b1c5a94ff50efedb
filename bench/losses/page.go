package losses

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"aspenyard.example/bench/days"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// maxPlottedCauses is how many causes have a colour of their own; the rest is one.
	maxPlottedCauses = 6
)

// Write writes name.md and name.svg into a directory. played is what the users reported of
// the same day; nil where they did not.
func (a *Report) Write(dir, name string, played *days.DayReport) error {
	if len(a.Routes) == 0 {
		return errors.New("the logs hold no request that was owed an answer")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	if err := a.plot(filepath.Join(dir, name+".svg"), name); err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(filepath.Join(dir, name+".md"), []byte(a.markdown(name, played)), 0o644))
}

func (a *Report) markdown(name string, played *days.DayReport) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Losses: %s\n\nMade by `aspenyard report losses`. Shares are parts of what a route is owed, weighed by size; a late answer\nloses %.2f of its worth. Logs leave some of the requests that ended well out, so that shares of a busy day are too large.\n\n![losses](%s.svg)\n", name, 1-lateWorth, name)
	if played != nil {
		writeDayReport(&b, played)
	}
	b.WriteString("\n| Route | Logged | Mean prompt | On time | Lost to | Requests | Share |\n|---|---|---|---|---|---|---|\n")
	for _, r := range a.Routes {
		head := fmt.Sprintf("| %s | %d | %d | %d ", r.Route, r.Asked, r.MeanPromptTokens, r.OnTime)
		for _, l := range a.Losses {
			if l.Route == r.Route {
				fmt.Fprintf(&b, "%s| %s | %d | %.3f |\n", head, l.Cause, l.Count, l.Share)
				head = "| | | | "
			}
		}
		if !strings.HasPrefix(head, "| |") {
			fmt.Fprintf(&b, "%s| nothing | 0 | 0 |\n", head)
		}
	}
	writeSizes(&b, a.SizeClasses)
	return b.String()
}

// writeDayReport puts what the users reported of the day beside it.
func writeDayReport(b *strings.Builder, played *days.DayReport) {
	fmt.Fprintf(b, "\nWorth %.3f as reported.\n\n| Kind | Asked | On time | Late | Refused | Failed | Earned |\n|---|---|---|---|---|---|---|\n", played.Worth)
	for _, c := range played.Classes {
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d | %.3f |\n", c.Name, c.Asked, c.OnTime, c.Late, c.Refused, c.Failed, c.Earned)
	}
	b.WriteString("\n| Price | Worth |\n|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(played.Prices)) {
		fmt.Fprintf(b, "| %s | %.4f |\n", name, played.Prices[name])
	}
}

// plot draws what was lost over the seconds, stacked by cause.
func (a *Report) plot(path, title string) error {
	p := plot.New()
	p.Title.Text = title + ": lost by the second in which a request began"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests, weighed by size"
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, row := range a.stacked() {
		bars, err := plotter.NewBarChart(row.values, vg.Points(6))
		if err != nil {
			return errors.WithStack(err)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(row.name, bars)
	}
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}

type stackedRow struct {
	name   string
	values plotter.Values
	sum    float64
}

// stacked gives the causes that lost most, and all others as one, over the same seconds.
func (a *Report) stacked() []stackedRow {
	seconds := 0
	for _, values := range a.LossBySecond {
		seconds = max(seconds, len(values))
	}
	var rows []stackedRow
	for _, cause := range slices.Sorted(maps.Keys(a.LossBySecond)) {
		row := stackedRow{name: string(cause), values: make(plotter.Values, seconds)}
		for i, v := range a.LossBySecond[cause] {
			row.values[i] = v
			row.sum += v
		}
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(x, y stackedRow) int {
		if x.sum > y.sum {
			return -1
		}
		return 1
	})
	if len(rows) <= maxPlottedCauses {
		return rows
	}
	rest := stackedRow{name: "other", values: make(plotter.Values, seconds)}
	for _, row := range rows[maxPlottedCauses:] {
		for i, v := range row.values {
			rest.values[i] += v
		}
	}
	return append(rows[:maxPlottedCauses], rest)
}
