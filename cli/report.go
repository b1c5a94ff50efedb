package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/bench/days"
	"aspenyard.example/burn"
	"aspenyard.example/catalogue"
	"aspenyard.example/platform/journal"
)

type reportBurn struct {
	JSON bool   `arg:"--json" help:"print JSON"`
	HTML string `arg:"--html" placeholder:"FILE" help:"write a self-contained page with plots"`
	operatorAccess
}

type reportDays struct {
	Out   string   `arg:"--out,required" placeholder:"DIR" help:"where the page and its plots are written"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"entries of the journal of played days"`
}

type reportCommand struct {
	Burn *reportBurn `arg:"subcommand:burn" help:"how fast the kinds of work use up their error budgets"`
	Days *reportDays `arg:"subcommand:days" help:"a page with plots of the scores of played days"`
}

func (c *reportDays) run(t terminal) int {
	var scores []*days.Score
	for _, path := range c.Files {
		data, err := os.ReadFile(path)
		if err != nil {
			return t.failf("%v", err)
		}
		score, err := journal.Decode(data)
		if err != nil {
			return t.failf("%s: %v", path, err)
		}
		if score != nil {
			scores = append(scores, score)
		}
	}
	if err := days.Write(c.Out, scores); err != nil {
		return t.failf("%v", err)
	}
	fmt.Fprintf(t.out, "%s: %d scores\n", c.Out, len(scores))
	return exitOK
}

func (c *reportCommand) run(t terminal) int {
	switch {
	case c.Burn != nil:
		return c.Burn.run(t)
	case c.Days != nil:
		return c.Days.run(t)
	}
	return t.failf("report: burn or days")
}

// scrapeTimeout bounds the reading of one node.
const scrapeTimeout = 3 * time.Second

func (c *reportBurn) run(t terminal) int {
	report, err := c.collect()
	if err != nil {
		return t.failf("%v", err)
	}
	if c.HTML != "" {
		data, err := report.HTML()
		if err == nil {
			err = os.WriteFile(c.HTML, data, 0o644)
		}
		if err != nil {
			return t.failf("%v", err)
		}
	}
	if c.JSON {
		return t.json(report)
	}
	fmt.Fprint(t.out, report.Text())
	return exitOK
}

// collect asks the entry for the objectives and the other entries, and reads the
// metrics of them all.
func (c *reportBurn) collect() (burn.Report, error) {
	var records struct {
		Records []*catalogue.Record `json:"records"`
	}
	var status struct {
		Node    string `json:"node"`
		Members []struct {
			Node, Role, Operators string
		} `json:"members"`
	}
	if err := c.getJSON("/v1/catalogue/work", &records); err != nil {
		return burn.Report{}, err
	}
	if err := c.getJSON("/v1/status", &status); err != nil {
		return burn.Report{}, err
	}
	var objectives []burn.Objective
	for _, record := range records.Records {
		if o := record.Work.Objective; o != nil {
			objectives = append(objectives, burn.Objective{Kind: record.ID, FirstTokenSeconds: o.FirstToken.D().Seconds(), Share: o.Share})
		}
	}
	collector := burn.NewCollector(objectives)
	scrape(collector, status.Node, c.Entry)
	for _, m := range status.Members {
		if m.Role == "entry" {
			scrape(collector, m.Node, m.Operators)
		}
	}
	return collector.Report(), nil
}

func (a *operatorAccess) getJSON(path string, into any) error {
	status, data, err := a.call(http.MethodGet, path, nil, 0)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("%s: %s", path, bytes.TrimSpace(data))
	}
	return errors.WithStack(json.Unmarshal(data, into))
}

func scrape(collector *burn.Collector, name, addr string) {
	client := &http.Client{Timeout: scrapeTimeout}
	response, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		collector.Missing(name)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if collector.Add(name, response.Body) != nil {
		collector.Missing(name)
	}
}
