package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/catalogue"
	"aspenyard.example/standin/link"
)

// conditionTimeout limits every wait for a condition. It is long, so that a slow machine does not
// fail a scenario, and it makes a scenario fail if the system never reaches the condition.
const conditionTimeout = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// harness holds the processes and the calls of one script.
type harness struct {
	dir        string
	binary     string
	mu         sync.Mutex
	processes  map[string]*process
	callsByID  map[string]*callRecord // the latest call of each ID
	calls      []*callRecord          // all calls of the script
	vms        []vm
	client     *http.Client
	caps       *capHistory
	markedRuns map[string]int
}

// process is a process of the script, running or ended.
type process struct {
	name, role string
	args       []string
	addrs      map[string]string
	cmd        *exec.Cmd
	ended      chan struct{}
	// endRequested is set once the script has sent a signal that ends the process.
	endRequested atomic.Bool
	link         *link.Link
}

// vm is an entry in the platform's list of VMs.
type vm struct{ Name, Role, DataCentre, Addr, State string }

// harnessKey is the key of the harness in the values of a testscript environment.
type harnessKey struct{}

// setup creates the harness of a script and finds the binary under test on its PATH.
func setup(env *testscript.Env) error {
	binary := ""
	for _, dir := range filepath.SplitList(env.Getenv("PATH")) {
		if _, err := os.Stat(filepath.Join(dir, "aspenyard")); err == nil {
			binary = filepath.Join(dir, "aspenyard")
			break
		}
	}
	if binary == "" {
		return fmt.Errorf("binary aspenyard not found on the script's PATH")
	}
	h := &harness{
		dir: env.WorkDir, binary: binary, processes: map[string]*process{}, callsByID: map[string]*callRecord{}, markedRuns: map[string]int{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	env.Values[harnessKey{}] = h
	env.Defer(h.stop)
	env.Defer(func() { // before stop: deferred calls run in reverse order
		if ends := h.unrequestedEnds(); ends != "" {
			env.T().Log(ends)
		}
	})
	return nil
}

// harnessOf returns the harness of a script.
func harnessOf(ts *testscript.TestScript) *harness { return ts.Value(harnessKey{}).(*harness) }

// stop kills the processes that this script started, by their process IDs.
func (h *harness) stop() {
	for _, p := range h.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		if p.link != nil {
			p.link.Close()
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	if s != syscall.SIGSTOP && s != syscall.SIGCONT && s != syscall.SIGHUP {
		p.endRequested.Store(true)
	}
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// lastLogBytes is how much of the log of a process is shown that has ended by itself.
const lastLogBytes = 2000

// unrequestedEnds describes the processes that have ended although the script sent no signal for it; "" if there are
// none.
func (h *harness) unrequestedEnds() string {
	text := ""
	for _, p := range h.processes {
		select {
		case <-p.ended:
		default:
			continue
		}
		if p.endRequested.Load() {
			continue
		}
		log, err := os.ReadFile(filepath.Join(h.dir, p.name+".log"))
		if err != nil {
			log = []byte(err.Error())
		}
		text += fmt.Sprintf("\nprocess %s has ended by itself: %v; its log ends:\n%s", p.name, p.cmd.ProcessState, log[max(len(log)-lastLogBytes, 0):])
	}
	return text
}

// launch starts or restarts a process; its output is appended to NAME.log.
func (h *harness) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(h.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(h.binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	p.endRequested.Store(false)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// writeSettings writes a settings file for a process and returns its path.
func (h *harness) writeSettings(name string, body any) (string, error) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(h.dir, name+".json")
	return path, os.WriteFile(path, data, 0o644)
}

// freeAddrs returns a free address for each named port. A process keeps its addresses when it is
// restarted.
func freeAddrs(ports ...string) (map[string]string, error) {
	addrs := map[string]string{}
	for _, port := range ports {
		addr, err := link.FreeAddr()
		if err != nil {
			return nil, err
		}
		addrs[port] = addr
	}
	return addrs, nil
}

// options separates the key=value arguments of a command from the others.
func options(args []string) (plain []string, opts map[string]string) {
	opts = map[string]string{}
	for _, arg := range args {
		if key, value, found := strings.Cut(arg, "="); found {
			opts[key] = value
		} else {
			plain = append(plain, arg)
		}
	}
	return plain, opts
}

// mustProcess returns the process with a name and fails the script if there is none.
func (h *harness) mustProcess(ts *testscript.TestScript, name string) *process {
	p := h.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	return p
}

// await polls check until it returns "". After conditionTimeout it fails the script with the last
// result of check.
func await(ts *testscript.TestScript, what string, check func() string) {
	deadline := time.Now().Add(conditionTimeout)
	for {
		reason := check()
		if reason == "" {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: %s", what, reason)
		}
		time.Sleep(pollInterval)
	}
}

// get requests url with the operator's key and decodes the JSON response.
func (h *harness) get(url string, into any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("HTTP status %d: %s", response.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// post sends body as JSON; any status but 200 is an error.
func (h *harness) post(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("HTTP status %d", response.StatusCode)
	}
	return nil
}

// Keys of the operator and of the client account in the catalogue of the scenarios.
const (
	operatorKey = "ops.secret"
	accountKey  = "crew.secret"
)

func operatorKeyHash() string { return catalogue.HashKey(operatorKey) }
