package burn

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const nodeMetrics = `aspenyard_entry_objective_events{kind="line-plan",class="urgent",band="up_to_4k",outcome="good",window="5m"} 90
aspenyard_entry_objective_events{kind="line-plan",class="urgent",band="up_to_4k",outcome="bad",window="5m"} 10
aspenyard_entry_objective_events{kind="line-plan",class="urgent",band="up_to_4k",outcome="good",window="60m"} 990
aspenyard_entry_objective_events{kind="line-plan",class="urgent",band="up_to_4k",outcome="bad",window="60m"} 10
aspenyard_entry_objective_events{kind="no-objective",class="bulk",band="up_to_4k",outcome="bad",window="5m"} 7
aspenyard_entry_first_token_seconds_bucket{kind="line-plan",class="urgent",band="up_to_4k",le="0.1"} 900
aspenyard_entry_first_token_seconds_bucket{kind="line-plan",class="urgent",band="up_to_4k",le="0.5"} 960
aspenyard_entry_first_token_seconds_bucket{kind="line-plan",class="urgent",band="up_to_4k",le="+Inf"} 1000
`

// mergedReport returns the report on two nodes with the same metrics and a third one
// that is unreachable.
func mergedReport(t *testing.T) Report {
	t.Helper()
	is := is.New(t)
	c := NewCollector([]Objective{{Kind: "line-plan", FirstTokenSeconds: 1, Share: 0.95}})
	is.NoErr(c.Add("n1", strings.NewReader(nodeMetrics)))
	is.NoErr(c.Add("n2", strings.NewReader(nodeMetrics)))
	c.AddUnreachable("n3")
	return c.Report()
}

func TestReportMergesNodes(t *testing.T) {
	is := is.New(t)
	report := mergedReport(t)
	is.Equal(len(report.Rows), 1) // a kind without an objective is not reported
	row := report.Rows[0]
	is.Equal(row.ShortGood, 180.0)
	is.Equal(row.LongBad, 20.0)
	is.True(row.ShortBurn > 1.99 && row.ShortBurn < 2.01) // 10% were bad, 5% are allowed
	is.True(row.LongBurn > 0.19 && row.LongBurn < 0.21)
	is.Equal(row.P95Seconds, 0.5)
}

func TestReportNamesUnreachableNodes(t *testing.T) {
	is := is.New(t)
	report := mergedReport(t)
	is.True(strings.Contains(report.Text(), "NOT REACHED"))
	is.True(strings.Contains(report.Text(), "n3"))
	is.True(strings.Contains(report.Rows[0].Advice(), "a recent rise"))
	page, err := report.HTML()
	is.NoErr(err)
	is.True(strings.Contains(string(page), "<svg"))
	is.True(strings.Contains(string(page), "n3"))
}

// Gateways have no catalogue of objectives: the default share applies to all their
// classes.
func TestGatewaysUseDefaultShare(t *testing.T) {
	is := is.New(t)
	c := NewCollector(nil)
	c.SetDefaultShare(0.9)
	is.NoErr(c.Add("g1", strings.NewReader(`aspenyard_gateway_objective_events{kind="streaming_up_to_24k",outcome="good",window="5m"} 80
aspenyard_gateway_objective_events{kind="streaming_up_to_24k",outcome="bad",window="5m"} 20
`)))
	report := c.Report()
	is.Equal(len(report.Rows), 1)
	is.Equal(report.Rows[0].Kind, "streaming_up_to_24k")
	is.True(report.Rows[0].ShortBurn > 1.99 && report.Rows[0].ShortBurn < 2.01)
}

func TestInvalidMetricsAreAnError(t *testing.T) {
	is := is.New(t)
	is.True(NewCollector(nil).Add("n1", strings.NewReader("this is } not metrics")) != nil)
}

func TestReportWithoutEvents(t *testing.T) {
	is := is.New(t)
	report := NewCollector(nil).Report()
	is.True(strings.Contains(report.Text(), "no events"))
	_, err := report.HTML()
	is.NoErr(err)
}
