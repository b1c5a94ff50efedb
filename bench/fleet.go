// Package bench holds the demo and the benchmarks. Some run a small fleet, with stand-ins for the
// platform and the engines, in one process; others run the real routing, admission or power code
// against models of the engines in virtual time.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/agent"
	"aspenyard.example/catalogue"
	"aspenyard.example/entry"
	"aspenyard.example/infra/consul"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/settings"
	standinconsul "aspenyard.example/standin/consul"
	standinengine "aspenyard.example/standin/engine"
	"aspenyard.example/standin/link"
	standinservice "aspenyard.example/standin/service"
)

// FleetConfig is the size of a fleet.
type FleetConfig struct {
	Entries, Engines, Services int
	// TimeScale is the factor by which the engines run faster than real ones.
	TimeScale float64
	// Engine configures each engine.
	Engine standinengine.Config
}

// Fleet is a complete system in this process, on free loopback ports: stand-ins of the platform,
// the engines and plain services, agents, and entries.
type Fleet struct {
	// Callers and Operators are the entries' addresses for callers and operators, Engines
	// those of the engines.
	Callers, Operators, Engines []string
	client                      *http.Client
}

// Names and keys of the fleet's catalogue.
const (
	fleetModel    = "demo-model"
	fleetKey      = "demo.secret"
	fleetOperator = "demo-operator.secret"
	fleetService  = "filing"
	dataCentre    = "dc1"
	// fleetSilence is after how long a silent node counts as failed: all of them share one process, and
	// one that is silent waits for a processor.
	fleetSilence = settings.Duration(30 * time.Second)
)

// KindFor returns the kind of work for a prompt length in tokens: urgent work up to 4,000, normal
// up to 100,000, and bulk above.
func KindFor(tokens int) string {
	switch {
	case tokens <= 4_000:
		return "line-plan"
	case tokens <= 100_000:
		return "excuse-draft"
	}
	return "season-audit"
}

// StartFleet starts a fleet that runs until ctx ends, and waits until it is ready.
func StartFleet(ctx context.Context, config FleetConfig, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	store, err := f.startPlatform(ctx, config)
	if err != nil {
		return nil, err
	}
	for i := range config.Engines {
		if err := f.startEngine(ctx, config, store, i, log); err != nil {
			return nil, err
		}
	}
	for i := range config.Services {
		if err := f.startService(ctx, store, i, log); err != nil {
			return nil, err
		}
	}
	for i := range config.Entries {
		if err := f.startEntry(ctx, store, i, log); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady(ctx, config.Engines+config.Services)
}

// serve runs a handler on a free loopback port.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	go func() { _ = node.ServeHTTP(ctx, listener, handler) }()
	return listener.Addr().String(), nil
}

// startPlatform starts the stand-in of the store, writes the catalogue to it and returns its
// address.
func (f *Fleet) startPlatform(ctx context.Context, _ FleetConfig) (string, error) {
	addr, err := serve(ctx, standinconsul.New(standinconsul.Settings{}).Handler())
	if err != nil {
		return "", err
	}
	store := consul.NewClient(addr, time.Second)
	for i, record := range FleetRecords() {
		edit := catalogue.Edit{Record: record, ID: fmt.Sprintf("initial-%d", i), By: "demo", At: time.Now()}
		if _, err := catalogue.Apply(ctx, store, edit, 0); err != nil {
			return "", err
		}
	}
	return addr, nil
}

// FleetRecords returns the records of a fleet's catalogue.
func FleetRecords() []*catalogue.Record {
	work := func(id, class string) *catalogue.Record {
		return &catalogue.Record{Type: catalogue.TypeWork, ID: id, Owner: "demo", Work: &catalogue.Work{
			Class: class, Model: fleetModel, Repeatable: true,
			Objective: &catalogue.Objective{FirstToken: settings.Duration(time.Second), Share: 0.95},
		}}
	}
	return []*catalogue.Record{
		work("line-plan", "urgent"), work("excuse-draft", "normal"), work("season-audit", "bulk"),
		{Type: catalogue.TypeWork, ID: "excuse-filing", Owner: "demo", Work: &catalogue.Work{Class: "urgent", Service: fleetService}},
		{Type: catalogue.TypeAccount, ID: "demo", Owner: "demo", Account: &catalogue.Account{KeySHA256: catalogue.HashKey(fleetKey)}},
		{Type: catalogue.TypeOperator, ID: "demo-operator", Owner: "demo", Operator: &catalogue.Operator{KeySHA256: catalogue.HashKey(fleetOperator)}},
	}
}

// startEngine starts an engine and its agent.
func (f *Fleet) startEngine(ctx context.Context, config FleetConfig, store string, i int, log *zap.Logger) error {
	server := standinengine.New(standinengine.Settings{Config: config.Engine, Models: []string{fleetModel}, TimeScale: config.TimeScale})
	go server.Run(ctx)
	addr, err := serve(ctx, server.Handler())
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, addr)
	return startAgent(ctx, store, fmt.Sprintf("engine-%d", i), addr, "engine", log)
}

// startService starts a plain service and its agent.
func (f *Fleet) startService(ctx context.Context, store string, i int, log *zap.Logger) error {
	addr, err := serve(ctx, standinservice.New(standinservice.Settings{}).Handler())
	if err != nil {
		return err
	}
	return startAgent(ctx, store, fmt.Sprintf("service-%d", i), addr, "service", log)
}

// nodeSettings returns settings with free ports, on which the node listens later.
func nodeSettings(store, name string) (settings.Node, error) {
	listen, err := link.FreeAddr()
	if err != nil {
		return settings.Node{}, err
	}
	operators, err := link.FreeAddr()
	return settings.Node{Name: name, DataCentre: dataCentre, Listen: listen, OperatorsListen: operators, Platform: store, PeerTimeout: fleetSilence, SuspectAfter: fleetSilence}, err
}

// startAgent lists an agent's VM and starts the agent beside an endpoint.
func startAgent(ctx context.Context, store, name, endpoint, kind string, log *zap.Logger) error {
	base, err := nodeSettings(store, name)
	if err != nil {
		return err
	}
	if err := listVM(ctx, store, standinconsul.VM{Name: name, Role: membership.RoleAgent, DataCentre: dataCentre, Addr: base.Listen}); err != nil {
		return err
	}
	s := settings.Agent{Node: base, Endpoint: endpoint, Kind: kind}
	if kind == "service" {
		s.Services = []string{fleetService}
	}
	if err := s.Check().Err(); err != nil {
		return err
	}
	go func() { _ = agent.New(s, log).Serve(ctx, nil) }()
	return nil
}

// startEntry lists an entry's VM and starts the entry.
func (f *Fleet) startEntry(ctx context.Context, store string, i int, log *zap.Logger) error {
	base, err := nodeSettings(store, fmt.Sprintf("entry-%d", i))
	if err != nil {
		return err
	}
	callers, err := link.FreeAddr()
	if err != nil {
		return err
	}
	if err := listVM(ctx, store, standinconsul.VM{Name: base.Name, Role: membership.RoleEntry, DataCentre: dataCentre, Addr: base.Listen}); err != nil {
		return err
	}
	s := settings.Entry{Node: base, CallersListen: callers}
	if err := s.Check().Err(); err != nil {
		return err
	}
	e, err := entry.New(s, log)
	if err != nil {
		return err
	}
	go func() { _ = e.Serve(ctx, nil) }()
	f.Callers = append(f.Callers, callers)
	f.Operators = append(f.Operators, base.OperatorsListen)
	return nil
}

// listVM adds a VM to the platform's VM list.
func listVM(ctx context.Context, store string, vm standinconsul.VM) error {
	vms, err := consul.NewClient(store, time.Second).VMs(ctx)
	if err != nil {
		return err
	}
	list := []standinconsul.VM{vm}
	for _, listed := range vms {
		list = append(list, standinconsul.VM{Name: listed.Name, Role: listed.Role, DataCentre: listed.DataCentre, Addr: listed.Addr})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.Post("http://"+store+"/control/vms", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(response.Body.Close())
}

const (
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 30 * time.Second
)

// awaitReady waits until every entry is ready and receives the heartbeats of all agents.
func (f *Fleet) awaitReady(ctx context.Context, agents int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.Callers {
		for f.liveAgents(ctx, i) < agents || f.getJSON(ctx, "http://"+f.Callers[i]+"/readyz", nil) != nil {
			select {
			case <-ctx.Done():
				return errors.Errorf("entry %d was not ready within %s", i, readyTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// liveAgents counts the agents that entry i sees as live, 0 if it does not answer.
func (f *Fleet) liveAgents(ctx context.Context, i int) int {
	var status struct {
		Members []struct{ Role, State string } `json:"members"`
	}
	if f.getJSON(ctx, "http://"+f.Operators[i]+"/v1/status", &status) != nil {
		return 0
	}
	live := 0
	for _, m := range status.Members {
		if m.Role == membership.RoleAgent && m.State == "live" {
			live++
		}
	}
	return live
}

// getJSON reads JSON from an operators' or engine's address into a value, or discards the body for nil.
func (f *Fleet) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleetOperator)
	response, err := f.client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: HTTP status %d", url, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(response.Body).Decode(into))
}

// AwaitNoHeldTokens waits until no engine holds KV cache. After readyTimeout it returns the sum
// that is still held, in tokens, and an error that names the engines.
func (f *Fleet) AwaitNoHeldTokens(ctx context.Context) (int, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		held, err := f.heldTokens(ctx)
		if err == nil || time.Now().After(deadline) {
			return held, err
		}
		time.Sleep(readyPollInterval)
	}
}

// heldTokens sums the KV cache that engines hold now; the error names those that hold some.
func (f *Fleet) heldTokens(ctx context.Context) (int, error) {
	held := 0
	var holding []string
	for _, addr := range f.Engines {
		var record standinengine.Record
		if err := f.getJSON(ctx, "http://"+addr+"/record", &record); err != nil {
			return 0, err
		}
		held += record.HeldTokens
		if record.HeldTokens > 0 {
			holding = append(holding, fmt.Sprintf("%s: %d", addr, record.HeldTokens))
		}
	}
	if held > 0 {
		return held, errors.New(strings.Join(holding, ", "))
	}
	return 0, nil
}

// Completion is a completion request to a fleet. Entry is the index of the entry, modulo their
// number.
type Completion struct {
	Entry     int
	Kind      string
	Prompt    string
	MaxTokens int
	Deadline  time.Duration
}

// CompletionResult is a completion's text and its times since the request was sent.
type CompletionResult struct {
	Text       string
	FirstToken time.Duration
	Duration   time.Duration
}

// Complete sends a completion request and reads the stream to its end. A stream without its end
// marker is an error.
func (f *Fleet) Complete(ctx context.Context, c Completion) (CompletionResult, error) {
	body, err := json.Marshal(map[string]any{"model": c.Kind, "prompt": c.Prompt, "max_tokens": c.MaxTokens, "stream": true})
	if err != nil {
		return CompletionResult{}, errors.WithStack(err)
	}
	header := http.Header{"Authorization": {"Bearer " + fleetKey}, "X-Request-Deadline": {c.Deadline.String()}}
	return Stream(ctx, f.client, "http://"+f.Callers[c.Entry%len(f.Callers)]+"/v1/completions", header, body)
}

// Stream posts a completion request and reads its server-sent events. An HTTP status other than 200
// and an error event are errors.
func Stream(ctx context.Context, client *http.Client, url string, header http.Header, body []byte) (CompletionResult, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return CompletionResult{}, errors.WithStack(err)
	}
	request.Header = header
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return CompletionResult{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return CompletionResult{}, errors.Errorf("HTTP status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	return readEvents(response.Body, sentAt)
}

// readEvents reads a stream up to its end marker.
func readEvents(body io.Reader, sentAt time.Time) (CompletionResult, error) {
	var result CompletionResult
	var text strings.Builder
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return result, errors.New("the stream ended without its end marker")
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			result.Text, result.Duration = text.String(), time.Since(sentAt)
			return result, nil
		}
		var event struct {
			Error   *struct{ Message string }
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return result, errors.WithStack(err)
		}
		if event.Error != nil {
			return result, errors.New(event.Error.Message)
		}
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(sentAt)
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
	}
}
