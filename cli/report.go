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
	JSON     bool     `arg:"--json" help:"print JSON"`
	HTML     string   `arg:"--html" placeholder:"FILE" help:"write a self-contained page with plots"`
	Entry    string   `arg:"--entry" placeholder:"IP:PORT" help:"operators' address of any entry; the other entries are read too"`
	Key      string   `arg:"--key,env:ASPENYARD_OPERATOR_KEY" placeholder:"KEY" help:"operator's key, with --entry"`
	Gateways []string `arg:"--gateways" placeholder:"IP:PORT" help:"metrics addresses of gateways, instead of --entry"`
	Share    float64  `arg:"--share" default:"0.95" help:"fraction of the gateways' requests that should be on time, above 0 and below 1"`
}

type reportDays struct {
	Out   string   `arg:"--out,required" placeholder:"DIR" help:"directory for the page and its plots"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"entries of the journal of played days"`
}

type reportCommand struct {
	Burn   *reportBurn   `arg:"subcommand:burn" help:"show how fast the kinds of work use up their error budgets"`
	Days   *reportDays   `arg:"subcommand:days" help:"write a page with plots of the scores of played days"`
	Losses *reportLosses `arg:"subcommand:losses" help:"write a page, with a plot, on why requests in gateways' logs were late, refused or failed"`
}

func (c *reportDays) run(t terminal) int {
	var scores []*days.Score
	for _, path := range c.Files {
		data, err := os.ReadFile(path)
		if err != nil {
			return t.failf("%v", err)
		}
		score, err := journal.DecodeEntry(data)
		if err != nil {
			return t.failf("%s: %v", path, err)
		}
		if score != nil {
			scores = append(scores, score)
		}
	}
	if err := days.WritePage(c.Out, scores); err != nil {
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
	case c.Losses != nil:
		return c.Losses.run(t)
	}
	return t.failf("report: missing subcommand: burn, days or losses")
}

// scrapeTimeout bounds the time for reading the metrics of one node.
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

// collect validates the flags and reads the metrics of all nodes.
func (c *reportBurn) collect() (burn.Report, error) {
	switch {
	case (c.Entry == "") == (len(c.Gateways) == 0):
		return burn.Report{}, errors.New("report burn: give either --entry or --gateways")
	case c.Entry != "" && c.Key == "":
		return burn.Report{}, errors.New("report burn: --entry needs --key")
	case c.Share <= 0 || c.Share >= 1:
		return burn.Report{}, errors.Errorf("report burn: --share is %v, must be above 0 and below 1", c.Share)
	case c.Entry != "":
		return c.collectEntries(operatorAccess{Entry: c.Entry, Key: c.Key})
	}
	collector := burn.NewCollector(nil)
	collector.SetDefaultShare(c.Share)
	for _, addr := range c.Gateways {
		scrape(collector, addr, addr)
	}
	return collector.Report(), nil
}

// collectEntries gets the objectives and the list of entries from one entry, and reads the
// metrics of all entries.
func (c *reportBurn) collectEntries(access operatorAccess) (burn.Report, error) {
	var records struct {
		Records []*catalogue.Record `json:"records"`
	}
	var status struct {
		Node    string `json:"node"`
		Members []struct {
			Node, Role, Operators string
		} `json:"members"`
	}
	if err := access.getJSON("/v1/catalogue/work", &records); err != nil {
		return burn.Report{}, err
	}
	if err := access.getJSON("/v1/status", &status); err != nil {
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

// getJSON decodes the JSON response to a GET request.
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

// scrape adds the metrics of a node to the collector, or records the node as unreachable if
// they cannot be read.
func scrape(collector *burn.Collector, name, addr string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		collector.AddUnreachable(name)
		return
	}
	response, err := askNode(request, scrapeTimeout)
	if err != nil {
		collector.AddUnreachable(name)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if collector.Add(name, response.Body) != nil {
		collector.AddUnreachable(name)
	}
}
