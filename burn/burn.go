// Package burn computes the burn rates of service-level objectives from the metrics of
// entries and gateways: how fast each kind of work uses up its error budget.
//
// An objective is the share of requests that should get their first token in time; the
// remaining share is the error budget. At a burn rate of 1, the budget is used up
// exactly; a burn rate of 6 over a short window means that something is wrong now.
package burn

import (
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The windows of a report, as the label "window" of the metrics has them.
const (
	ShortWindow = "5m"
	LongWindow  = "60m"
)

// Names of the metrics that a report is made from.
const (
	eventsMetric     = "aspenyard_entry_objective_events"
	firstTokenMetric = "aspenyard_entry_first_token_seconds"
	// In a gateway's metrics, the label "kind" is the request's class; in an entry's,
	// it is the kind of work.
	gatewayEventsMetric     = "aspenyard_gateway_objective_events"
	gatewayFirstEventMetric = "aspenyard_gateway_first_event_seconds"
)

// Objective is the service-level objective of one kind of work, from the catalogue.
type Objective struct {
	Kind string
	// FirstTokenSeconds is the longest time to first token of a good request, and Share
	// the fraction of requests that should be good.
	FirstTokenSeconds, Share float64
}

// Row holds the figures of one kind of work, class and band of prompt lengths.
type Row struct {
	Kind  string `json:"kind"`
	Class string `json:"class"`
	Band  string `json:"band"`
	// ShortGood to LongBad are the numbers of good and bad requests in the short and
	// the long window.
	ShortGood float64 `json:"short_good"`
	ShortBad  float64 `json:"short_bad"`
	LongGood  float64 `json:"long_good"`
	LongBad   float64 `json:"long_bad"`
	// ShortBurn and LongBurn are the burn rates of the error budget in each window.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// P95Seconds is the 95th percentile of the time to first token since the nodes
	// started: the upper bound of its bucket in their merged histograms.
	P95Seconds float64 `json:"p95_first_token_seconds"`
}

// Report holds the burn rates over all nodes that were read.
type Report struct {
	Rows []Row `json:"rows"`
	// Nodes are the nodes whose metrics were read. The events of the Unreachable ones
	// are missing from Rows.
	Nodes       []string `json:"nodes"`
	Unreachable []string `json:"unreachable"`
}

// seriesKey identifies a row by its labels.
type seriesKey struct{ kind, class, band string }

// Collector merges the metrics of several nodes into a report.
type Collector struct {
	objectives   map[string]Objective
	defaultShare float64 // 0: kinds without an objective are not reported
	rows         map[seriesKey]*Row
	buckets      map[seriesKey]map[float64]float64 // cumulative counts by upper bound
	report       Report
}

// NewCollector returns an empty collector for the given objectives.
func NewCollector(objectives []Objective) *Collector {
	c := &Collector{objectives: map[string]Objective{}, rows: map[seriesKey]*Row{}, buckets: map[seriesKey]map[float64]float64{}}
	for _, o := range objectives {
		c.objectives[o.Kind] = o
	}
	return c
}

// SetDefaultShare sets the share of requests that should be good for kinds without an
// objective of their own.
func (c *Collector) SetDefaultShare(share float64) { c.defaultShare = share }

// AddUnreachable records a node that could not be read.
func (c *Collector) AddUnreachable(node string) {
	c.report.Unreachable = append(c.report.Unreachable, node)
}

// Add adds the metrics of one node, in Prometheus' text format.
func (c *Collector) Add(node string, text io.Reader) error {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return errors.Wrapf(err, "metrics of %s", node)
	}
	c.report.Nodes = append(c.report.Nodes, node)
	for _, name := range []string{eventsMetric, gatewayEventsMetric} {
		for _, metric := range families[name].GetMetric() {
			c.addEvents(metric)
		}
	}
	for _, name := range []string{firstTokenMetric, gatewayFirstEventMetric} {
		for _, metric := range families[name+"_bucket"].GetMetric() {
			c.addBucket(metric)
		}
	}
	return nil
}

func labelsOf(metric *dto.Metric) map[string]string {
	labels := map[string]string{}
	for _, pair := range metric.GetLabel() {
		labels[pair.GetName()] = pair.GetValue()
	}
	return labels
}

// MetricValue returns the value of a counter, gauge or untyped metric.
func MetricValue(metric *dto.Metric) float64 {
	return metric.GetUntyped().GetValue() + metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
}

// row returns the row of a series, which it adds if it is new.
func (c *Collector) row(labels map[string]string) *Row {
	key := seriesKey{labels["kind"], labels["class"], labels["band"]}
	row := c.rows[key]
	if row == nil {
		row = &Row{Kind: key.kind, Class: key.class, Band: key.band}
		c.rows[key] = row
	}
	return row
}

func (c *Collector) addEvents(metric *dto.Metric) {
	labels := labelsOf(metric)
	row, value := c.row(labels), MetricValue(metric)
	switch labels["window"] + " " + labels["outcome"] {
	case ShortWindow + " good":
		row.ShortGood += value
	case ShortWindow + " bad":
		row.ShortBad += value
	case LongWindow + " good":
		row.LongGood += value
	case LongWindow + " bad":
		row.LongBad += value
	}
}

func (c *Collector) addBucket(metric *dto.Metric) {
	labels := labelsOf(metric)
	limit, err := strconv.ParseFloat(labels["le"], 64)
	if err != nil {
		return
	}
	key := seriesKey{labels["kind"], labels["class"], labels["band"]}
	if c.buckets[key] == nil {
		c.buckets[key] = map[float64]float64{}
	}
	c.buckets[key][limit] += MetricValue(metric)
}

// Report returns the rows of kinds with an objective, highest burn rate in the short
// window first.
func (c *Collector) Report() Report {
	report := c.report
	for key, row := range c.rows {
		objective, found := c.objectives[key.kind]
		if !found {
			objective.Share = c.defaultShare
		}
		if objective.Share == 0 {
			continue
		}
		row.ShortBurn = burnRate(row.ShortGood, row.ShortBad, objective.Share)
		row.LongBurn = burnRate(row.LongGood, row.LongBad, objective.Share)
		row.P95Seconds = quantile(c.buckets[key], 0.95)
		report.Rows = append(report.Rows, *row)
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := report.Rows[i], report.Rows[j]
		if a.ShortBurn != b.ShortBurn {
			return a.ShortBurn > b.ShortBurn
		}
		return strings.Join([]string{a.Kind, a.Class, a.Band}, " ") < strings.Join([]string{b.Kind, b.Class, b.Band}, " ")
	})
	sort.Strings(report.Nodes)
	sort.Strings(report.Unreachable)
	return report
}

// burnRate returns the fraction of bad events divided by the fraction that the
// objective allows; 0 without events.
func burnRate(good, bad, share float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return bad / (good + bad) / (1 - share)
}

// quantile returns the upper bound of the bucket that holds the q-quantile; 0 without
// events.
func quantile(buckets map[float64]float64, q float64) float64 {
	bounds := make([]float64, 0, len(buckets))
	total := 0.0
	for bound, count := range buckets {
		bounds = append(bounds, bound)
		total = max(total, count)
	}
	sort.Float64s(bounds)
	for _, bound := range bounds {
		if buckets[bound] >= q*total && total > 0 {
			return bound
		}
	}
	return 0
}
