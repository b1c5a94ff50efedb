package bench

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"aspenyard.example/bench/days"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// PlotPolicies plots the short requests' p95 time to first token against the load, with a line for
// each policy. The extension of path selects the format, such as SVG or PNG.
func PlotPolicies(results []PolicyResult, path string) error {
	p := plot.New()
	p.Title.Text = "Short prompts (up to 4k tokens) with long ones present"
	p.X.Label.Text = "offered work over capacity"
	p.Y.Label.Text = "time to first token, p95 (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	lines := map[string]plotter.XYs{}
	for _, r := range results {
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: r.Load, Y: max(1, r.FirstToken[0].P95)})
	}
	if err := days.AddLines(p, lines); err != nil {
		return err
	}
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}
