package soak

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/standin/link"
)

// Bounds that the gateways are told and that the checks use; those of the users' sites.
const (
	configWithin  = 2 * time.Second
	leavingWithin = 2 * time.Second
	drainTimeout  = 8 * time.Second
	retryWindow   = 10 * time.Second
	// retryRatio is a tenth of what the users' sites give: a budget that is not kept must
	// show under faults of single endpoints.
	retryRatio = 0.02
	// retryAllowancePerGateway is less than the users' sites give, for the same reason.
	retryAllowancePerGateway = 2
)

// restartDelay is the time from a process's end to its next start.
const restartDelay = 300 * time.Millisecond

// gateway is one process that is started again whenever it ends.
type gateway struct {
	name     string
	command  []string
	logPath  string
	settings string
	addrs    map[string]string
	// callers and store carry its traffic with callers and with the store.
	callers, store *link.Link

	mu           sync.Mutex
	cmd          *exec.Cmd
	incarnation  int
	endSignalled bool // a signal that ends it was sent in this life
	closed       bool
	ready        bool
	// endStartDisturbance ends the disturbance that its start is.
	endStartDisturbance func()
}

// newGateway prepares a process on free ports with links to its surroundings.
func newGateway(name, storeAddr string, config *Config) (*gateway, error) {
	g := &gateway{name: name, command: config.Command, logPath: filepath.Join(config.Dir, name+".log"), settings: filepath.Join(config.Dir, name+".json"), addrs: map[string]string{}}
	for _, port := range []string{"callers", "readiness", "metrics", "peers"} {
		addr, err := link.FreeAddr()
		if err != nil {
			return nil, err
		}
		g.addrs[port] = addr
	}
	var err error
	if g.callers, err = link.New(g.addrs["callers"]); err != nil {
		return nil, err
	}
	if g.store, err = link.New(storeAddr); err != nil {
		return nil, err
	}
	return g, g.writeSettings(config.Gateways)
}

// writeSettings writes the settings file; gateways is how many share the allowance.
func (g *gateway) writeSettings(gateways int) error {
	data, err := json.MarshalIndent(map[string]any{
		"name": g.name, "data_centre": dataCentre, "callers_listen": g.addrs["callers"], "readiness_listen": g.addrs["readiness"],
		"metrics_listen": g.addrs["metrics"], "peers_listen": g.addrs["peers"], "store": g.store.Addr(),
		"config_within": configWithin.String(), "leaving_within": leavingWithin.String(), "drain_timeout": drainTimeout.String(),
		"retry_ratio": retryRatio, "retry_allowance": retryAllowancePerGateway * gateways, "retry_window": retryWindow.String(),
	}, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	// Renamed into place: a process that starts meanwhile must not read half of it.
	next := g.settings + ".next"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(next, g.settings))
}

// startThread starts all processes from one thread that never ends: the kernel kills a
// process when the thread that started it ends, so that none outlives the soak even if
// the soak is killed.
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

// supervise starts the process and starts it again until close.
func (g *gateway) supervise(r *Record) {
	for {
		done, err := g.start(r)
		if err != nil {
			r.addViolation("EXIT", "%s does not start: %v", g.name, err)
			return
		}
		<-done
		g.mu.Lock()
		closed, hit, life := g.closed, g.endSignalled, g.incarnation
		g.cmd, g.ready = nil, false
		g.mu.Unlock()
		if closed {
			return
		}
		if !hit {
			r.addViolation("EXIT", "%s ended by itself in its life %d", g.name, life)
		}
		time.Sleep(restartDelay)
	}
}

// start starts one life; the channel is closed at its end.
func (g *gateway) start(r *Record) (<-chan struct{}, error) {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(g.command[0], append(append([]string(nil), g.command[1:]...), g.settings)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	starting := r.beginDisturbance(Disturbance{Kind: "start", Gateway: g.name})
	started := make(chan error)
	startThread() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.WithStack(err)
	}
	g.mu.Lock()
	g.cmd, g.endSignalled, g.endStartDisturbance = cmd, false, starting
	g.incarnation++
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		starting()
		close(done)
	}()
	return done, nil
}

// signal sends a signal to the present life; ends is set for those that end it.
func (g *gateway) signal(s syscall.Signal, ends bool) (life int, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return g.incarnation, false
	}
	g.endSignalled = g.endSignalled || ends
	return g.incarnation, g.cmd.Process.Signal(s) == nil
}

// kill ends the present life at once.
func (g *gateway) kill(r *Record) {
	end := r.beginDisturbance(Disturbance{Kind: "kill", Gateway: g.name})
	defer end()
	g.signal(syscall.SIGKILL, true)
}

// terminate ends the present life gracefully, and kills it when that takes too long.
func (g *gateway) terminate(r *Record) {
	end := r.beginDisturbance(Disturbance{Kind: "term", Gateway: g.name, Planned: true})
	life, sent := g.signal(syscall.SIGTERM, true)
	if !sent {
		end()
		return
	}
	time.AfterFunc(drainTimeout, func() {
		if g.currentIncarnation() == life {
			g.signal(syscall.SIGKILL, true)
		}
		end()
	})
}

func (g *gateway) currentIncarnation() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return -g.incarnation
	}
	return g.incarnation
}

// close ends the process for good.
func (g *gateway) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.signal(syscall.SIGKILL, true)
	g.callers.Close()
	g.store.Close()
}

// updateReady asks the process, as the balancer does, whether it takes callers.
func (g *gateway) updateReady(client *http.Client) {
	response, err := client.Get("http://" + g.addrs["readiness"] + "/-/readyz")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && g.cmd != nil
	if g.ready {
		g.endStartDisturbance()
	}
}

func (g *gateway) isReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}
