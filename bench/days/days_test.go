package days

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The page has a row for each score, oldest first, with the worst day and class, and the plots
// are written.
func TestPageHasARowForEachScore(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	score := func(minute int, worth float64, description string) *Score {
		return &Score{
			Site: "a", Commit: "0123456789", Description: description, MeasuredAt: time.Unix(0, 0).Add(time.Duration(minute) * time.Minute), Score: worth, CPUCharged: true,
			Days: []Day{
				{Name: "one", Worth: worth, ClassWorths: []float64{0.9, 0.7}, Prices: map[string]float64{"orders": 0.02}},
				{Name: "two", Worth: worth + 0.2, ClassWorths: []float64{0.8, 0.95}, Prices: map[string]float64{"orders": 0.04}},
			},
		}
	}
	is.NoErr(WritePage(dir, []*Score{score(2, 0.6, "new | limit"), score(1, 0.5, "base")}))
	page, err := os.ReadFile(filepath.Join(dir, "days.md"))
	is.NoErr(err)
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.Contains(line, "charged") {
			rows = append(rows, line)
		}
	}
	is.Equal(rows, []string{
		"| 1 | 01234567 | 0.500 | 0.600 | one 0.500 | 0.700 | 0.030 | charged | base |",
		"| 2 | 01234567 | 0.600 | 0.700 | one 0.600 | 0.700 | 0.030 | charged | new / limit |",
	})
	for _, name := range []string{"a-worth.svg", "a-prices.svg"} {
		_, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
	}
	is.True(WritePage(dir, nil) != nil) // no scores
}
