//go:build crowds

package crowds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/cli"
)

// productArgument as first argument makes the test binary run as the product's command line.
const productArgument = "aspenyard"

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == productArgument {
		os.Args = append(os.Args[:1], os.Args[2:]...)
		os.Exit(cli.Main())
	}
	os.Exit(m.Run())
}

const (
	// conditionTimeout limits every wait for a condition.
	conditionTimeout = 30 * time.Second
	pollInterval     = 20 * time.Millisecond
	sampleInterval   = 10 * time.Millisecond
	lastLogBytes     = 3000
)

// process is one of the product's processes.
type process struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	logPath string
	// ports are the TCP ports that it serves.
	ports map[int]bool

	mu   sync.Mutex
	peak usage
}

// usage is what a process holds at one moment.
type usage struct {
	// resident are the bytes of its resident memory, kernel those that the kernel holds of its connections: received and not
	// read, or written and not acknowledged.
	resident, kernel int
	descriptors      int
}

// memory returns the memory that the process takes of its machine.
func (u usage) memory() int { return u.resident + u.kernel }

// startProcess starts the product with the given command and settings. addrs are the addresses that it serves. The process
// may open descriptors files.
func startProcess(t *testing.T, command string, settings map[string]any, descriptors int, addrs ...string) *process {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	data, err := json.Marshal(settings)
	is.NoErr(err)
	path := filepath.Join(dir, "settings.json")
	is.NoErr(os.WriteFile(path, data, 0o600))
	self, err := os.Executable()
	is.NoErr(err)
	p := &process{logPath: filepath.Join(dir, "log"), ended: make(chan struct{}), ports: map[int]bool{}}
	for _, addr := range addrs {
		_, port, err := net.SplitHostPort(addr)
		is.NoErr(err)
		n, err := strconv.Atoi(port)
		is.NoErr(err)
		p.ports[n] = true
	}
	log, err := os.Create(p.logPath)
	is.NoErr(err)
	defer func() { _ = log.Close() }()
	limited := fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors)
	p.cmd = exec.Command("/bin/sh", "-c", limited, "sh", self, productArgument, command, "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	is.NoErr(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// lastLog returns the end of the process's log.
func (p *process) lastLog() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data[max(len(data)-lastLogBytes, 0):])
}

// sample records the largest usage until the process ends.
func (p *process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-ticker.C:
		}
		u := p.usage()
		p.mu.Lock()
		if u.memory() > p.peak.memory() {
			p.peak.resident, p.peak.kernel = u.resident, u.kernel
		}
		p.peak.descriptors = max(p.peak.descriptors, u.descriptors)
		p.mu.Unlock()
	}
}

// peakUsage returns the largest usage so far.
func (p *process) peakUsage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// usage measures what the process holds now.
func (p *process) usage() usage {
	var u usage
	pid := p.cmd.Process.Pid
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		var size, resident int
		_, _ = fmt.Sscan(string(data), &size, &resident)
		u.resident = resident * os.Getpagesize()
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		u.descriptors = len(files)
	}
	u.kernel = p.queuedBytes()
	return u
}

// queuedBytes returns what the kernel holds of the process's connections.
func (p *process) queuedBytes() int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" { // of a listener it is the length of the backlog
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if n, err := strconv.ParseInt(port, 16, 32); err != nil || !p.ports[int(n)] {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, text := range []string{sent, received} {
			n, _ := strconv.ParseInt(text, 16, 64)
			total += int(n)
		}
	}
	return total
}

// await waits until check returns nil. After conditionTimeout it fails the test with its last error.
func await(t *testing.T, what string, check func() error) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); ; time.Sleep(pollInterval) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
	}
}
