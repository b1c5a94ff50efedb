// Package driver2 plays the cases of the second review: gateways as processes, and the platform, its workers and its
// clients as stand-ins of this process.
package driver2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

// Bounds of a small deployment, as the users' sheet of citara-bog gives them.
const (
	drainMS  = 2000 * time.Millisecond
	configMS = 2000 * time.Millisecond
	graceS   = 8 * time.Second
)

const (
	host = "front.example"
	key  = "key-1"
)

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cannotRun ends the case as one that could not run. The processes that were started end with this one.
func cannotRun(err error) {
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
}

// startThread starts all processes from one thread, which lasts as long as this process: the kernel kills them when the
// thread that started them ends.
var startThread = sync.OnceValue(func() chan func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// record is the account of what was sent, answered and run. It is written to record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord() *record {
	file, err := os.Create(os.Getenv("RECORD"))
	cannotRun(err)
	return &record{began: time.Now(), file: file}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// store is the platform's store. Each gateway reaches it at an address of its own, so that single ones can be cut off.
type store struct {
	*platform.Store
	t *testing.T
	// prepare, unless nil, is called with the path of each gateway before the gateway starts.
	prepare func(p *path, n int)
}

func newStore(t *testing.T) *store { return &store{Store: platform.NewStore(), t: t} }

// path is a gateway's path to the store.
type path struct {
	store    *store
	addr     string
	mu       sync.Mutex
	server   *http.Server
	watching int
	// wrap, unless nil, may handle a call in the store's place; it then returns true.
	wrap func(w http.ResponseWriter, r *http.Request) bool
}

// newPath opens a path to the store.
func (s *store) newPath() *path {
	addr, err := link.FreeAddr()
	cannotRun(err)
	p := &path{store: s, addr: addr}
	p.open()
	s.t.Cleanup(p.cut)
	return p
}

// open lets the gateway reach the store.
func (p *path) open() {
	listener, err := net.Listen("tcp", p.addr)
	cannotRun(err)
	handler := p.store.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/kv-watch") {
			p.countWatch(1)
			defer p.countWatch(-1)
		}
		if p.wrap == nil || !p.wrap(w, r) {
			handler.ServeHTTP(w, r)
		}
	})}
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// cut closes the gateway's connections to the store and refuses new ones.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
}

func (p *path) countWatch(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watching += n
}

// watches reports whether the gateway waits for changes at the store.
func (p *path) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watching > 0
}

// gateway is one process of the product.
type gateway struct {
	name, callers, readiness string
	store                    *path
	settings, log            string // the paths of its files
	process                  *os.Process
	exited                   chan struct{}
}

// startGateways starts n gateways with the deploy file's command and waits until they are ready. extra are further
// settings.
func startGateways(t *testing.T, r *record, n int, s *store, extra map[string]any) []*gateway {
	dir := t.TempDir()
	var all []*gateway
	for i := range n {
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), store: s.newPath()}
		addrs := map[string]string{}
		for _, field := range []string{"callers_listen", "readiness_listen", "metrics_listen", "peers_listen"} {
			addr, err := link.FreeAddr()
			cannotRun(err)
			addrs[field] = addr
		}
		if s.prepare != nil {
			s.prepare(g.store, i)
		}
		g.callers, g.readiness = addrs["callers_listen"], addrs["readiness_listen"]
		settings := map[string]any{
			"name": g.name, "data_centre": "zone-a", "store": g.store.addr, "store_history": "20s", "config_within": configMS.String(), "leaving_within": drainMS.String(),
			"drain_timeout": graceS.String(), "retry_ratio": 0.2, "retry_allowance": 102, "retry_window": "10s", "memory_free_within": "4s", "memory_idle_within": "9s",
			"regions": map[string]string{"zone-a": "region", "zone-b": "region"}, "descriptor_limit": 4100, "memory_limit": "284MB",
		}
		for field, addr := range addrs {
			settings[field] = addr
		}
		for field, value := range extra {
			settings[field] = value
		}
		data, err := json.Marshal(settings)
		cannotRun(err)
		g.settings, g.log = filepath.Join(dir, g.name+".json"), filepath.Join(dir, g.name+".log")
		cannotRun(os.WriteFile(g.settings, data, 0o644))
		g.start(t)
		all = append(all, g)
	}
	for _, g := range all {
		g.awaitReady()
		r.add("%s is ready", g.name)
	}
	return all
}

// start starts the process. Its log is appended to the one of the process before.
func (g *gateway) start(t *testing.T) {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	cannotRun(err)
	cmd := exec.Command("target/aspenyard", "gateway", "--settings", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startThread() <- func() { started <- cmd.Start() }
	cannotRun(<-started)
	exited := make(chan struct{})
	g.process, g.exited = cmd.Process, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	t.Cleanup(func() {
		g.kill()
		if keep := os.Getenv("LOGS"); keep != "" {
			data, _ := os.ReadFile(g.log)
			_ = os.WriteFile(filepath.Join(keep, g.name+".log"), data, 0o644)
		}
	})
}

// kill ends the process by SIGKILL.
func (g *gateway) kill() {
	_ = g.process.Signal(syscall.SIGKILL)
	<-g.exited
}

func (g *gateway) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.readiness + "/-/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			cannotRun(fmt.Errorf("%s is not ready", g.name))
		}
	}
}
