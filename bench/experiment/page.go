package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 12 // points
	// maxOutperformedRows is how many sites a page lists on which another policy earns more.
	maxOutperformedRows = 30
)

// WritePage writes NAME.md and NAME.svg into a directory, where NAME is page.
func (s *Summary) WritePage(dir, page string) error {
	rows := s.Rows()
	if len(rows) == 0 {
		return errors.New("no play was finished")
	}
	if err := s.plot(rows, filepath.Join(dir, page+".svg")); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nMade by `aspenyard experiment`: %d plays in virtual time. Worth is what was earned of what was owed, a late answer a\nquarter; differences are to the first policy, paired by site and seed, with their standard errors.\n\n![worth](%s.svg)\n\n", s.file.Name, s.count, page)
	b.WriteString(Table(rows))
	if beaten := s.Outperformed(); len(beaten) > 0 {
		fmt.Fprintf(&b, "\nRandom sites on which another policy earns more, by more than twice the error: %d.\n\n", len(beaten))
		b.WriteString(Table(beaten[:min(len(beaten), maxOutperformedRows)]))
	}
	return errors.WithStack(os.WriteFile(filepath.Join(dir, page+".md"), []byte(b.String()), 0o644))
}

// plot draws the worth of each policy, a group of bars for each site.
func (s *Summary) plot(rows []Row, path string) error {
	p := plot.New()
	p.Title.Text = s.file.Name
	p.Y.Label.Text = "worth earned of what was owed"
	p.Y.Min, p.Y.Max = 0, 1
	var sites []string
	for _, r := range rows {
		if len(sites) == 0 || sites[len(sites)-1] != r.Site {
			sites = append(sites, r.Site)
		}
	}
	for i := range s.file.Policies {
		name := s.file.Policies[i].Name
		values := make(plotter.Values, len(sites))
		for j, site := range sites {
			for _, r := range rows {
				if r.Site == site && r.Policy == name {
					values[j] = r.Worth
				}
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.WithStack(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(s.file.Policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.Legend.Top = true
	p.NominalX(sites...)
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}
