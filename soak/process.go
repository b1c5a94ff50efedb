package soak

import (
	"encoding/json"
	"fmt"
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

// Settings of the gateways, which the checks use as well. The values are those of the users'
// sites unless noted.
const (
	configWithin  = 2 * time.Second
	leavingWithin = 2 * time.Second
	drainTimeout  = 8 * time.Second
	retryWindow   = 10 * time.Second
	// retryRatio is a tenth of the value at the users' sites, so that exceeding the retry budget
	// shows even with faults of single endpoints.
	retryRatio = 0.02
	// retryAllowancePerGateway is less than at the users' sites, for the same reason.
	retryAllowancePerGateway = 2
)

// restartDelay is the time from the end of a gateway process to its restart.
const restartDelay = 300 * time.Millisecond

// gateway is one gateway process, which is restarted whenever it ends.
type gateway struct {
	name         string
	command      []string
	logPath      string
	settingsPath string
	addrs        map[string]string
	// callers and store are the links for the gateway's traffic with its callers and with the
	// store.
	callers, store *link.Link

	settingsWrites sync.Mutex // held while the settings file is written

	mu           sync.Mutex
	cmd          *exec.Cmd
	incarnation  int
	endSignalled bool // this incarnation was sent a signal that ends it
	terminated   int  // the last incarnation that was sent SIGTERM
	closed       bool
	ready        bool
	// endStartDisturbance ends the disturbance that the start of the process counts as.
	endStartDisturbance func()
}

// newGateway prepares a gateway with free ports, links to its callers and the store, and a
// settings file.
func newGateway(name, storeAddr string, config *Config) (*gateway, error) {
	g := &gateway{name: name, command: config.Command, logPath: filepath.Join(config.Dir, name+".log"), settingsPath: filepath.Join(config.Dir, name+".json"), addrs: map[string]string{}}
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

// writeSettings writes the settings file. gateways is the number of gateways that share the retry
// allowance.
func (g *gateway) writeSettings(gateways int) error {
	data, err := json.MarshalIndent(map[string]any{
		"name": g.name, "data_centre": dataCentre, "callers_listen": g.addrs["callers"], "readiness_listen": g.addrs["readiness"],
		"metrics_listen": g.addrs["metrics"], "peers_listen": g.addrs["peers"], "store": g.store.Addr(),
		"config_within": configWithin.String(), "leaving_within": leavingWithin.String(), "evacuate_within": evacuateWithin.String(), "drain_timeout": drainTimeout.String(),
		"retry_ratio": retryRatio, "retry_allowance": retryAllowancePerGateway * gateways, "retry_window": retryWindow.String(), "memory_limit": fmt.Sprint(memoryLimit, "B"),
		"cold_overshoot": coldOvershoot, "cold_tolerance": coldTolerance,
	}, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	g.settingsWrites.Lock()
	defer g.settingsWrites.Unlock()
	// The file is renamed into place, as a process that starts meanwhile must not read half of it.
	next := g.settingsPath + ".next"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(next, g.settingsPath))
}

// startThread starts all processes from one thread that never ends. The kernel kills a process
// when the thread that started it ends (Pdeathsig), so no gateway outlives the soak even if the
// soak itself is killed.
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

// supervise starts the process and restarts it whenever it ends, until close. An exit that no
// signal caused is an EXIT violation.
func (g *gateway) supervise(r *Record) {
	for {
		done, err := g.start(r)
		if err != nil {
			r.addViolation("EXIT", "gateway %s could not be started: %v", g.name, err)
			return
		}
		<-done
		g.mu.Lock()
		closed, endSignalled, incarnation := g.closed, g.endSignalled, g.incarnation
		g.cmd, g.ready = nil, false
		g.mu.Unlock()
		if closed {
			return
		}
		if !endSignalled {
			r.addViolation("EXIT", "gateway %s exited without a signal in incarnation %d", g.name, incarnation)
		}
		time.Sleep(restartDelay)
	}
}

// start starts one incarnation and returns a channel that is closed when it ends.
func (g *gateway) start(r *Record) (<-chan struct{}, error) {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(g.command[0], append(append([]string(nil), g.command[1:]...), g.settingsPath)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	endStart := r.beginDisturbance(Disturbance{Kind: "start", Gateway: g.name})
	started := make(chan error)
	startThread() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.WithStack(err)
	}
	g.mu.Lock()
	g.cmd, g.endSignalled, g.endStartDisturbance = cmd, false, endStart
	g.incarnation++
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		endStart()
		close(done)
	}()
	return done, nil
}

// signal sends a signal to the current incarnation; ends says that the signal ends the process.
// It returns the incarnation and whether the signal was sent.
func (g *gateway) signal(s syscall.Signal, ends bool) (incarnation int, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return g.incarnation, false
	}
	g.endSignalled = g.endSignalled || ends
	return g.incarnation, g.cmd.Process.Signal(s) == nil
}

// kill ends the current incarnation by SIGKILL.
func (g *gateway) kill(r *Record) {
	end := r.beginDisturbance(Disturbance{Kind: "kill", Gateway: g.name})
	defer end()
	g.signal(syscall.SIGKILL, true)
}

// terminate ends the current incarnation by SIGTERM, and by SIGKILL if it has not ended after
// drainTimeout.
func (g *gateway) terminate(r *Record) {
	end := r.beginDisturbance(Disturbance{Kind: kindStop, Gateway: g.name, Incarnation: g.currentIncarnation(), Planned: true})
	incarnation, sent := g.signal(syscall.SIGTERM, true)
	if !sent {
		end()
		return
	}
	g.mu.Lock()
	g.terminated = incarnation
	g.mu.Unlock()
	time.AfterFunc(drainTimeout, func() {
		if g.currentIncarnation() == incarnation {
			g.signal(syscall.SIGKILL, true)
		}
		end()
	})
}

// currentIncarnation returns the number of the current incarnation. While none runs, it returns
// the negated number of the last one.
func (g *gateway) currentIncarnation() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return -g.incarnation
	}
	return g.incarnation
}

// close ends the process and does not restart it.
func (g *gateway) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.signal(syscall.SIGKILL, true)
	g.callers.Close()
	g.store.Close()
}

// updateReady asks the process whether it is ready for callers, as the load balancer does.
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
