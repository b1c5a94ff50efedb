package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/catalogue"
	"aspenyard.example/settings"
	"aspenyard.example/standin/link"
)

// command implements one command of the scripts; README.md lists them.
type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands are all commands by their names in the scripts.
var commands map[string]command

// The map is filled in init because the command repeat looks commands up in it, which would
// otherwise be an initialization cycle.
func init() {
	commands = map[string]command{
		// Processes, and faults of processes, links and the platform.
		"start": start, "restart": restart, "crash": crash, "freeze": freeze, "thaw": thaw, "term": term, "hup": hup, "gone": gone,
		"cut": cut, "heal": heal, "delay": delay, "reset": reset,
		"platform": platformFault, "fault": fault, "list": list, "outage": outage,
		// Edits of the catalogue and commands of operators.
		"seed": seed, "edit": edit, "race": race, "sees": sees, "keeps": keeps, "spread": spread, "cap": setCap, "limit": limit, "operate": operate,
		// Conditions to wait for.
		"ready": ready, "member": member, "metric": metric, "saturate": saturate, "claim": claim, "writing": writing, "emptied": emptied, "granted": granted, "started": started, "streaming": streaming,
		// Calls and their results.
		"call": call, "again": again, "repeat": repeat, "finish": finish, "finish-all": finishAll, "expect": expect, "whole": whole,
		"lookup": lookup, "client": client, "served": served,
		// Checks against the records of the stand-ins.
		"runs": runs, "held": held, "watts": watts, "drawing": drawing, "calls": storeCalls, "mark": mark, "unchanged": unchanged,
		"total": total, "cancelled": cancelled, "audit": audit,
	}
}

// start KIND NAME [key=value...] starts a process on free ports.
func start(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	plain, opts := options(args)
	kind, name := plain[0], plain[len(plain)-1]
	p := &process{name: name, role: kind}
	var err error
	switch kind {
	case "platform", "engine", "service":
		err = h.prepareStandin(p, opts)
	case "agent":
		err = h.prepareAgent(p, opts)
	case "entry":
		err = h.prepareEntry(p, opts)
	default:
		ts.Fatalf("start: unknown kind of process %q", kind)
	}
	ts.Check(err)
	ts.Check(h.launch(p))
	h.processes[name] = p
	if kind == "platform" {
		await(ts, "start platform", func() string { return errorText(h.publishVMs()) })
	}
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err != nil {
		return err.Error()
	}
	return ""
}

// parseNumber parses an integer; it returns 0 for other text, such as a missing option.
func parseNumber(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// prepareStandin writes the settings of a stand-in process.
func (h *harness) prepareStandin(p *process, opts map[string]string) error {
	addrs, err := freeAddrs("listen")
	if err != nil {
		return err
	}
	p.addrs = addrs
	body := map[string]any{"standin": p.role, "listen": addrs["listen"]}
	if p.role == "engine" {
		scale := 10.0
		if opts["scale"] != "" {
			scale, _ = strconv.ParseFloat(opts["scale"], 64)
		}
		body["models"], body["time_scale"] = []string{"model-a"}, scale
	}
	for option, field := range map[string]string{
		"reads": "reads_per_second", "writes": "writes_per_second", "memory": "memory_tokens", "running": "max_running",
		"floor": "floor_watts", "max": "max_watts", "gap": "event_gap",
	} {
		if opts[option] != "" {
			body[field] = parseNumber(opts[option])
		}
	}
	if opts["fencing"] == "yes" {
		body["checks_fencing"] = true
	}
	if opts["lag"] != "" {
		body["list_lag"] = opts["lag"]
	}
	path, err := h.writeSettings(p.name, body)
	p.args = []string{"standin", p.role, "--settings", path}
	return err
}

// nodeSettings returns the settings that entries and agents have in common, and adds the node to
// the platform's list of VMs.
func (h *harness) nodeSettings(p *process, opts map[string]string) (map[string]any, error) {
	addrs, err := freeAddrs("listen", "operators", "callers")
	if err != nil {
		return nil, err
	}
	p.addrs = addrs
	dc := opts["dc"]
	if dc == "" {
		dc = "dc1"
	}
	body := map[string]any{
		"name": p.name, "data_centre": dc, "listen": addrs["listen"], "operators_listen": addrs["operators"],
		"platform": h.processes["platform"].addrs["listen"], "heartbeat_interval": "100ms", "suspect_after": "1500ms",
		"list_interval": "200ms", "list_lag": "3s",
	}
	addr := addrs["listen"]
	if opts["link"] == "yes" {
		if p.link, err = link.New(addrs["listen"]); err != nil {
			return nil, err
		}
		addr = p.link.Addr()
		body["advertise"] = addr
	}
	if seed := h.processes[opts["seeds"]]; seed != nil {
		body["seeds"] = []string{seed.addrs["listen"]}
	}
	if opts["silence"] != "" {
		body["peer_timeout"], body["suspect_after"] = opts["silence"], opts["silence"]
	}
	if opts["drain"] != "" {
		body["drain_timeout"] = opts["drain"]
	}
	if opts["lease"] != "" {
		body["reservation_lease"] = opts["lease"]
	}
	h.vms = append(h.vms, vm{Name: p.name, Role: p.role, DataCentre: dc, Addr: addr, State: "live"})
	return body, h.publishVMs()
}

// publishVMs sends the list of VMs to the platform.
func (h *harness) publishVMs() error {
	return h.post("http://"+h.processes["platform"].addrs["listen"]+"/control/vms", h.vms)
}

// prepareAgent writes the settings of an agent beside the endpoint that the option beside= names.
func (h *harness) prepareAgent(p *process, opts map[string]string) error {
	body, err := h.nodeSettings(p, opts)
	if err != nil {
		return err
	}
	beside := h.processes[opts["beside"]]
	if beside == nil {
		return fmt.Errorf("agent %s: option beside= does not name a process", p.name)
	}
	body["endpoint"], body["kind"] = beside.addrs["listen"], beside.role
	if beside.role == "service" {
		body["services"] = []string{"filing"}
	}
	path, err := h.writeSettings(p.name, body)
	p.args = []string{"agent", "--settings", path}
	return err
}

// prepareEntry writes the settings of an entry.
func (h *harness) prepareEntry(p *process, opts map[string]string) error {
	body, err := h.nodeSettings(p, opts)
	if err != nil {
		return err
	}
	body["callers_listen"], body["bootstrap_operator_sha256"] = p.addrs["callers"], operatorKeyHash()
	path, err := h.writeSettings(p.name, body)
	p.args = []string{"entry", "--settings", path}
	return err
}

// restart NAME... kills processes and starts them again on their addresses, like VMs that are
// replaced.
func restart(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	for _, name := range args {
		p := h.mustProcess(ts, name)
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		ts.Check(h.launch(p))
	}
}

// signalAll sends a signal to the named processes.
func signalAll(ts *testscript.TestScript, args []string, s syscall.Signal) {
	for _, name := range args {
		harnessOf(ts).mustProcess(ts, name).signal(s)
	}
}

// crash NAME... kills processes by SIGKILL and waits for their end.
func crash(ts *testscript.TestScript, _ bool, args []string) {
	signalAll(ts, args, syscall.SIGKILL)
	for _, name := range args {
		<-harnessOf(ts).mustProcess(ts, name).ended
	}
}

// freeze NAME... suspends processes by SIGSTOP; their connections stay open.
func freeze(ts *testscript.TestScript, _ bool, args []string) {
	signalAll(ts, args, syscall.SIGSTOP)
}

// thaw NAME... resumes frozen processes.
func thaw(ts *testscript.TestScript, _ bool, args []string) { signalAll(ts, args, syscall.SIGCONT) }

// term NAME... asks processes to shut down gracefully, by SIGTERM.
func term(ts *testscript.TestScript, _ bool, args []string) { signalAll(ts, args, syscall.SIGTERM) }

// hup NAME... sends SIGHUP to processes.
func hup(ts *testscript.TestScript, _ bool, args []string) { signalAll(ts, args, syscall.SIGHUP) }

// gone NAME [exit=CODE] waits until a process has ended, with the given exit code.
func gone(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	p := harnessOf(ts).mustProcess(ts, plain[0])
	select {
	case <-p.ended:
	case <-time.After(conditionTimeout):
		ts.Fatalf("process %s has not ended", p.name)
	}
	if want := opts["exit"]; want != "" && strconv.Itoa(p.cmd.ProcessState.ExitCode()) != want {
		ts.Fatalf("process %s ended with %v, want exit code %s", p.name, p.cmd.ProcessState, want)
	}
}

// linkOf returns the link of a process and fails the script if the process has none.
func linkOf(ts *testscript.TestScript, name string) *link.Link {
	l := harnessOf(ts).mustProcess(ts, name).link
	if l == nil {
		ts.Fatalf("process %s was not started with link=yes", name)
	}
	return l
}

// cut NAME holds back all traffic to and from a process.
func cut(ts *testscript.TestScript, _ bool, args []string) { linkOf(ts, args[0]).SetBlocked(link.Both) }

// heal NAME ends a cut and delivers the traffic that was held back.
func heal(ts *testscript.TestScript, _ bool, args []string) { linkOf(ts, args[0]).SetBlocked(0) }

// delay NAME DURATION delays all traffic to and from a process.
func delay(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	linkOf(ts, args[0]).SetDelay(d)
}

// reset NAME breaks the connections of a process.
func reset(ts *testscript.TestScript, _ bool, args []string) { linkOf(ts, args[0]).ResetConnections() }

// platform up|down|slow MS|lose-answer N PREFIX|lose-answer-and-down PREFIX|stale PREFIX sets the
// fault of the store; up clears it.
func platformFault(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]any{}
	switch args[0] {
	case "up":
	case "down":
		faults["down"] = true
	case "slow":
		faults["delay_ms"] = parseNumber(args[1])
	case "lose-answer":
		faults["lose_answers"], faults["lose_prefix"] = parseNumber(args[1]), args[2]
	case "lose-answer-and-down":
		faults["lose_answers"], faults["lose_prefix"], faults["down_after_lose"] = 1, args[1], true
	case "stale":
		faults["stale_prefix"] = args[1]
	default:
		ts.Fatalf("platform: unknown fault %q", args[0])
	}
	h := harnessOf(ts)
	ts.Check(h.post("http://"+h.mustProcess(ts, "platform").addrs["listen"]+"/control/faults", faults))
}

// fault NAME [key=value...] sets the faults of an engine or a service, under the field names of
// the stand-in's control API with dashes for underscores. Without options it clears all faults.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	body := map[string]any{}
	for key, value := range opts {
		switch value {
		case "yes":
			body[strings.ReplaceAll(key, "-", "_")] = true
		default:
			body[strings.ReplaceAll(key, "-", "_")] = parseNumber(value)
		}
	}
	h := harnessOf(ts)
	ts.Check(h.post("http://"+h.mustProcess(ts, plain[0]).addrs["listen"]+"/control/faults", body))
}

// list NAME live|leaving|dropped changes the state of a VM in the platform's list; dropped
// removes it.
func list(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	for i := range h.vms {
		if h.vms[i].Name == args[0] {
			h.vms[i].State = args[1]
		}
	}
	if args[1] == "dropped" {
		h.vms = slices.DeleteFunc(h.vms, func(v vm) bool { return v.Name == args[0] })
	}
	ts.Check(h.publishVMs())
}

// catalogueRecords returns the catalogue of the scenarios, with a power cap for the site if
// capWatts is positive.
func catalogueRecords(capWatts int) []*catalogue.Record {
	work := func(id string, work catalogue.Work) *catalogue.Record {
		return &catalogue.Record{Type: catalogue.TypeWork, ID: id, Owner: "ops", Work: &work}
	}
	all := []*catalogue.Record{
		{Type: catalogue.TypeAccount, ID: "crew", Owner: "ops", Account: &catalogue.Account{KeySHA256: catalogue.HashKey(accountKey)}},
		work("line-plan", catalogue.Work{
			Class: "urgent", Model: "model-a", Repeatable: true,
			Objective: &catalogue.Objective{FirstToken: settings.Duration(conditionTimeout), Share: 0.95},
		}),
		work("excuse-draft", catalogue.Work{Class: "normal", Model: "model-a", Repeatable: true}),
		work("season-audit", catalogue.Work{Class: "bulk", Model: "model-a", Repeatable: true}),
		work("excuse-filing", catalogue.Work{Class: "urgent", Service: "filing"}),
		work("tide-check", catalogue.Work{Class: "normal", Service: "filing", Repeatable: true}),
	}
	if capWatts > 0 {
		all = append(all, &catalogue.Record{Type: catalogue.TypeSite, ID: "port", Owner: "ops", Site: &catalogue.Site{
			PowerCapWatts: uint64(capWatts), DataCentres: []string{"dc1", "dc2", "dc3"},
		}})
	}
	return all
}

// seed ENTRY [cap=WATTS] writes the catalogue of the scenarios through an entry.
func seed(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	for _, record := range catalogueRecords(parseNumber(opts["cap"])) {
		await(ts, "seed", func() string {
			if status, body := h.put(h.mustProcess(ts, plain[0]), record, 0); status != http.StatusOK {
				return fmt.Sprintf("%s: %d %s", record.Key(), status, body)
			}
			return ""
		})
	}
}

// put writes a record through an entry, on condition that its revision is expect. It returns the
// response status and body.
func (h *harness) put(p *process, record *catalogue.Record, expect uint64) (int, []byte) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, nil
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+p.addrs["operators"]+"/v1/catalogue/"+record.Key(), bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set("If-Match", strconv.FormatUint(expect, 10))
	response, err := h.client.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	var responseBody bytes.Buffer
	_, _ = responseBody.ReadFrom(response.Body)
	return response.StatusCode, responseBody.Bytes()
}

// entryStatus is the part of an entry's status that the commands use.
type entryStatus struct {
	Reader  bool `json:"reader"`
	Members []struct {
		Node, Role, State string
		LimitWatts        int `json:"limit_watts"`
	} `json:"members"`
	Sites []struct {
		CapWatts     int  `json:"cap_watts"`
		InForceWatts int  `json:"cap_in_force_watts"`
		CountedWatts int  `json:"counted_watts"`
		Known        bool `json:"known"`
	} `json:"sites"`
}

func (h *harness) status(p *process) (entryStatus, error) {
	var status entryStatus
	return status, h.get("http://"+p.addrs["operators"]+"/v1/status", &status)
}
