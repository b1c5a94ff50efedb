package driver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow"] = runSlow }

// Figures of the case "slow".
const (
	slowClients = 8
	// slowBody is the size of an answer. A client reads slowRead bytes of it each slowPause: all of it within
	// its time limit.
	slowBody  = 200_000
	slowRead  = 56_000
	slowPause = 4 * time.Second
	// lostBound is how often a machine may close a kept channel without an answer.
	lostBound = 3
)

// runSlow sends requests that may run once on kept channels, just after both gateways got SIGHUP. With
// trouble, the clients read the answers slowly, and within their time limit. The rule LOST is broken
// if a gateway more than three times ends the channel before the answer is whole.
func runSlow(h *harness) bool {
	body := strings.Repeat("0123456789", slowBody/10)
	for _, id := range []string{"i-a1", "i-b2"} {
		h.register(newWorker(id, "wuno96b", func(x *exchange) bool {
			x.begin()
			if strings.HasPrefix(x.request.URL.Path, "/once/small") {
				return x.plain(200, "small")
			}
			return x.plain(200, body)
		}))
	}
	h.writeConfig(7, []route{{name: "once", prefix: "/once/", kind: "non_idempotent", service: "wuno96b", timeout: 15000, target: 300, attempts: 1}}, []service{{name: "wuno96b"}})
	h.startGateways(2)
	var mu sync.Mutex
	lost := map[string]int{}
	var opened, clients sync.WaitGroup
	signalled := make(chan struct{})
	for i := range slowClients {
		g := h.gateways[i%len(h.gateways)]
		opened.Add(1)
		clients.Go(func() {
			conn, err := net.Dial("tcp", g.callers)
			must(err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReaderSize(conn, 1024)
			h.readAnswer(conn, reader, "/once/small", false)
			opened.Done()
			<-signalled
			if err := h.readAnswer(conn, reader, "/once/large", h.trouble); err != nil {
				mu.Lock()
				lost[g.name]++
				mu.Unlock()
			}
		})
	}
	opened.Wait()
	for _, g := range h.gateways {
		h.logf("gateway %s: SIGHUP", g.name)
		must(g.cmd.Process.Signal(syscall.SIGHUP))
	}
	time.Sleep(200 * time.Millisecond)
	close(signalled)
	clients.Wait()
	broken := false
	for name, n := range lost {
		h.logf("gateway %s: ended %d channels before the answer was whole", name, n)
		broken = broken || n > lostBound
	}
	return broken
}

// readAnswer sends a request on a kept channel and reads the answer, slowly or at once.
func (h *harness) readAnswer(conn net.Conn, reader *bufio.Reader, path string, slowly bool) error {
	c := call{id: h.newID(0x66), path: path, method: http.MethodPost, deadline: callTimeout}
	sentAt := time.Now()
	_ = conn.SetDeadline(sentAt.Add(callTimeout))
	_, err := io.WriteString(conn, c.text("b"))
	must(err)
	response, err := http.ReadResponse(reader, nil)
	must(err)
	size := 0
	for err == nil {
		if slowly && size > 0 {
			time.Sleep(slowPause)
		}
		for end := size + slowRead; err == nil && size < end; {
			var n int
			n, err = response.Body.Read(make([]byte, end-size))
			size += n
		}
	}
	if err == io.EOF {
		err = nil
	}
	h.logf("client: request %s: %d bytes after %v, error %v", c.id, size, time.Since(sentAt).Round(time.Millisecond), err)
	return err
}
