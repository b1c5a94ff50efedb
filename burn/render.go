package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Burn rates above which an operator should act. At fastBurn, the budget of a month is
// used up in two days.
const (
	fastBurn = 14.0
	slowBurn = 1.0
)

// Advice returns a sentence that tells an operator how urgent a row is.
func (r Row) Advice() string {
	name := fmt.Sprintf("%s (%s, prompts %s)", r.Kind, r.Class, strings.ReplaceAll(r.Band, "_", " "))
	switch {
	case r.ShortBurn >= fastBurn:
		return name + ": act now; the error budget burns " + formatBurn(r.ShortBurn) + " too fast over " + ShortWindow
	case r.ShortBurn > slowBurn && r.LongBurn > slowBurn:
		return name + ": look into it today; the error budget burns " + formatBurn(r.ShortBurn) + " too fast over " + ShortWindow + " and " + formatBurn(r.LongBurn) + " over " + LongWindow
	case r.ShortBurn > slowBurn:
		return name + ": a recent rise, the error budget burns " + formatBurn(r.ShortBurn) + " too fast over " + ShortWindow + "; keep watching it"
	case r.LongBurn > slowBurn:
		return name + ": recovered, but the error budget burned " + formatBurn(r.LongBurn) + " too fast over " + LongWindow
	}
	return name + ": within its objective"
}

func formatBurn(burn float64) string { return fmt.Sprintf("%.1f times", burn) }

// Text formats the report as a table, followed by advice on each row.
func (r Report) Text() string {
	var b strings.Builder
	if len(r.Rows) == 0 {
		b.WriteString("no events of a kind of work with an objective\n")
	} else {
		fmt.Fprintf(&b, "%-22s %-7s %-11s %10s %8s %8s %10s %8s %8s %9s\n", "kind", "class", "prompts", "good "+ShortWindow, "bad", "burn", "good "+LongWindow, "bad", "burn", "p95 s")
	}
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "%-22s %-7s %-11s %10.0f %8.0f %8.2f %10.0f %8.0f %8.2f %9.3g\n", row.Kind, row.Class, row.Band,
			row.ShortGood, row.ShortBad, row.ShortBurn, row.LongGood, row.LongBad, row.LongBurn, row.P95Seconds)
	}
	for _, row := range r.Rows {
		fmt.Fprintln(&b, "- "+row.Advice())
	}
	fmt.Fprintln(&b, r.coverage())
	return b.String()
}

// coverage tells which nodes the report is made from and which ones are missing.
func (r Report) coverage() string {
	if len(r.Unreachable) == 0 {
		return fmt.Sprintf("read %d nodes: %s", len(r.Nodes), strings.Join(r.Nodes, ", "))
	}
	return fmt.Sprintf("read %d nodes; NOT REACHED, their events are missing here: %s", len(r.Nodes), strings.Join(r.Unreachable, ", "))
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}.fast{background:#f8b0a8}.slow{background:#fbe7a1}</style></head><body>
<h1>Service-level burn</h1><p>{{.Coverage}}</p>
<ul>{{range .Report.Rows}}<li>{{.Advice}}</li>{{end}}</ul>
<table><tr><th>kind</th><th>class</th><th>prompts</th><th>good 5m</th><th>bad 5m</th><th>burn 5m</th><th>good 60m</th><th>bad 60m</th><th>burn 60m</th><th>p95 s</th></tr>
{{range .Report.Rows}}<tr class="{{if ge .ShortBurn 14.0}}fast{{else if gt .ShortBurn 1.0}}slow{{end}}"><td>{{.Kind}}</td><td>{{.Class}}</td><td>{{.Band}}</td><td>{{.ShortGood}}</td><td>{{.ShortBad}}</td><td>{{printf "%.2f" .ShortBurn}}</td><td>{{.LongGood}}</td><td>{{.LongBad}}</td><td>{{printf "%.2f" .LongBurn}}</td><td>{{printf "%.3g" .P95Seconds}}</td></tr>
{{end}}</table>{{.Plot}}</body></html>
`))

// HTML returns the report as a self-contained page with a plot.
func (r Report) HTML() ([]byte, error) {
	svg, err := r.plot()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = page.Execute(&b, struct {
		Report   Report
		Coverage string
		Plot     template.HTML
	}{r, r.coverage(), template.HTML(svg)})
	return b.Bytes(), errors.WithStack(err)
}

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
)

// plot returns a bar chart of the burn rates of each row, as SVG.
func (r Report) plot() (string, error) {
	if len(r.Rows) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Y.Label.Text = "burn rate of the error budget"
	short, long := make(plotter.Values, len(r.Rows)), make(plotter.Values, len(r.Rows))
	names := make([]string, len(r.Rows))
	for i, row := range r.Rows {
		short[i], long[i] = row.ShortBurn, row.LongBurn
		names[i] = row.Kind + "\n" + strings.ReplaceAll(row.Band, "_", " ")
	}
	for i, values := range []plotter.Values{short, long} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.WithStack(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(float64(i)-0.5) * barWidth
		p.Add(bars)
		p.Legend.Add([]string{ShortWindow, LongWindow}[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.WithStack(err)
	}
	// An SVG element in an HTML page must not have an XML declaration before it.
	_, svg, _ := strings.Cut(b.String(), "<svg")
	return "<svg" + svg, nil
}
