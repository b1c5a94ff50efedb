// Package driver runs the cases of the review: it starts gateways as processes, with stand-ins for the
// store, the workers and the clients, and judges by what clients and workers see.
package driver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenyard.example/standin/platform"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(h *harness) (broken bool){}

func init() {
	runtime.LockOSThread() // Pdeathsig depends on the thread that starts a process
}

func TestMain(*testing.M) {
	if os.Getenv("REVIEW_WORKER") != "" {
		runWorkerProcess()
		return
	}
	os.Exit(runCase(os.Getenv("REVIEW_CASE")))
}

func runCase(name string) (code int) {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	h, err := newHarness(os.Getenv("REVIEW_ROOT"), os.Getenv("REVIEW_RECORD"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer h.close()
	defer func() {
		if failure := recover(); failure != nil {
			h.logf("not run: %v", failure)
			code = exitNotRun
		}
	}()
	if run(h) {
		h.logf("result: the rule was broken")
		return exitBroken
	}
	h.logf("result: the rule held")
	return exitHeld
}

// harness holds the processes under test and the stand-ins around them.
type harness struct {
	root, dir string
	// trouble is unset for the run without the disruption.
	trouble bool
	started time.Time
	store   *platform.Store
	server  *http.Server
	// storeAddr is the address of the store.
	storeAddr string

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	gateways  []*gatewayProcess
	nextID    int
	closed    chan struct{}
}

func newHarness(root, record string, trouble bool) (*harness, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	h := &harness{root: root, dir: dir, trouble: trouble, started: time.Now(), store: platform.NewStore(), record: file, closed: make(chan struct{})}
	h.store.HideEra() // the pages name no such header
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.storeAddr = listener.Addr().String()
	h.server = &http.Server{Handler: h.store.Handler()}
	go func() { _ = h.server.Serve(listener) }()
	h.logf("TROUBLE=%t", trouble)
	return h, nil
}

// close ends all processes and removes the temporary folder.
func (h *harness) close() {
	close(h.closed)
	for _, p := range h.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = h.server.Close()
	_ = h.record.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(h.dir)
	} else {
		fmt.Println("kept", h.dir)
	}
}

// logf writes a line with the time since the start to the record.
func (h *harness) logf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(h.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(h.record, line)
	if os.Getenv("REVIEW_VERBOSE") != "" {
		fmt.Println(line)
	}
}

// must ends the case as not run if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newID returns a new request ID.
func (h *harness) newID(prefix byte) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextID++
	return fmt.Sprintf("%02x%014x", prefix, h.nextID)
}

func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// gatewayProcess is a gateway that runs as a process.
type gatewayProcess struct {
	name, callers, readiness string
	cmd                      *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// startGateways starts n gateways by the command of the deploy file and waits until all are ready.
func (h *harness) startGateways(n int) {
	for i := range n {
		h.gateways = append(h.gateways, h.startGateway(fmt.Sprintf("edge-a-%d", i+1)))
	}
	for _, g := range h.gateways {
		h.awaitReady(g)
	}
	time.Sleep(1500 * time.Millisecond) // the gateways hear of each other
}

func (h *harness) startGateway(name string) *gatewayProcess {
	g := &gatewayProcess{name: name, callers: freeAddr(), readiness: freeAddr(), done: make(chan struct{})}
	ip, metricsPort, _ := strings.Cut(freeAddr(), ":")
	_, peersPort, _ := strings.Cut(freeAddr(), ":")
	path := filepath.Join(h.dir, name+".json")
	must(os.WriteFile(path, h.renderSettings(g, ip, metricsPort, peersPort), 0o644))
	log, err := os.Create(filepath.Join(h.dir, name+".log"))
	must(err)
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command("target/aspenyard", "gateway", "--settings", path)
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = h.root, log, log
	h.start(g.cmd)
	go func() {
		_, _ = g.cmd.Process.Wait()
		close(g.done)
	}()
	return g
}

// start starts a process, which ends with this one at the latest.
func (h *harness) start(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	h.processes = append(h.processes, cmd)
}

func (h *harness) awaitReady(g *gatewayProcess) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	panic("gateway " + g.name + " is not ready")
}

var (
	sectionPattern = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// renderSettings fills the template of the deploy file with the bounds of a small deployment. The metrics
// port is the template's only fixed port and is replaced by a free one.
func (h *harness) renderSettings(g *gatewayProcess, ip, metricsPort, peersPort string) []byte {
	template, err := os.ReadFile(filepath.Join(h.root, "deploy", "entry.json"))
	must(err)
	values := map[string]any{
		"node_name": g.name, "zone": "bog-a", "listen.frontend": g.callers, "listen.readiness": g.readiness, "ip": ip, "internal_ports.0": peersPort,
		"platform.address": h.storeAddr, "platform.history_s": 20, "bounds.config_apply_ms": 2000, "bounds.drain_ms": 2000, "bounds.grace_s": 8,
		"bounds.retry_budget_ratio": 0.2, "bounds.retry_allowance": 102, "bounds.budget_window_s": 10, "bounds.free_ms": 4000, "bounds.idle_max_ms": 9000,
		"zones": map[string]string{"bog-a": "bogota", "bog-b": "bogota", "bog-c": "bogota"}, "limits.link_mbps": 1000, "limits.max_fds": 4100, "limits.memory_mb": 284,
	}
	text := strings.ReplaceAll(string(template), "{{ip}}:9464", "{{ip}}:"+metricsPort)
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value, found := values[parts[1]]
		if !found {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	text = valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		if parts[2] == "" {
			return fmt.Sprint(values[parts[1]])
		}
		data, err := json.Marshal(values[parts[1]])
		must(err)
		return string(data)
	})
	var compact bytes.Buffer
	must(json.Compact(&compact, []byte(text)))
	return compact.Bytes()
}

// route and service are parts of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target, gap        int
	attempts                    int
	resumable                   bool
}

type service struct {
	name   string
	engine bool
}

const (
	host   = "front.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// writeConfig writes a configuration as the operator does.
func (h *harness) writeConfig(version int, routes []route, services []service) {
	var routeList, serviceList []map[string]any
	for _, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "route_kind": r.kind, "timeout_ms": r.timeout, "target_latency_ms": r.target, "target_gap_ms": r.gap,
			"priority": 1, "service": r.service, "max_attempts": r.attempts, "public": false, "sticky": true, "resumable": r.resumable,
		})
	}
	for _, s := range services {
		item := map[string]any{"name": s.name, "health_path": "/healthz", "max_conns": 264, "protocol": "h1", "tls": false}
		if s.engine {
			item["engine"] = map[string]any{
				"slots": 16, "kv_capacity": 405000, "kv_bytes": 163840, "link_mbps": 400000.0, "stride": 34, "models": []any{map[string]any{"name": "m"}}, "step_ms": 1.31,
				"per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.1,
			}
		}
		serviceList = append(serviceList, item)
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	})
	must(err)
	h.store.Put("op/config", data)
}
