package driver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the interval at which a worker writes its registration.
const heartbeatInterval = 1200 * time.Millisecond

// run is one request that a worker began to work on.
type run struct {
	id, worker string
	at         time.Time
}

// worker is a stand-in of a worker. serve handles a request that is meant for it and reports whether the
// channel stays open.
type worker struct {
	id, service string
	slots       int
	listener    net.Listener
	processAddr string
	serve       func(x *exchange) bool

	mu      sync.Mutex
	conns   map[net.Conn]bool
	runs    []run
	arrived int
	state   string
	seqNo   int
	gone    chan struct{}
}

// exchange is one request at a worker.
type exchange struct {
	worker  *worker
	conn    net.Conn
	channel *channel
	request *http.Request
	body    []byte
	id      string
	// callerGone is closed when the caller closes the channel or sends more.
	callerGone chan struct{}
}

// channel is what a worker keeps of one connection.
type channel struct {
	reader *bufio.Reader
	// late is sent where the next response is expected.
	late string
}

func newWorker(id, service string, serve func(x *exchange) bool) *worker {
	w := &worker{id: id, service: service, slots: 16, serve: serve, conns: map[net.Conn]bool{}, state: "ready", gone: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.listener = listener
	go w.accept()
	return w
}

// addr returns the worker's address; processAddr is that of a worker in a process of its own.
func (w *worker) addr() string {
	if w.processAddr != "" {
		return w.processAddr
	}
	return w.listener.Addr().String()
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serveConn(conn)
	}
}

func (w *worker) serveConn(conn net.Conn) {
	c := &channel{reader: bufio.NewReader(conn)}
	for keep := true; keep; {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			break
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			break
		}
		x := &exchange{worker: w, conn: conn, channel: c, request: request, body: body, id: request.Header.Get("X-Aspenyard-Attempt-Id")}
		keep = w.handle(x)
	}
	_ = conn.Close()
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
}

func (w *worker) handle(x *exchange) bool {
	if late := x.channel.late; late != "" {
		x.channel.late = ""
		x.write(late)
	}
	instance := x.request.Header.Get("X-Aspenyard-Expect-Instance")
	switch {
	case x.request.URL.Path == "/healthz":
		x.write("HTTP/1.1 200 OK\r\nX-Aspenyard-Instance-Id: " + w.id + "\r\nX-Aspenyard-Instance-Load: " + w.load() + "\r\nContent-Length: 0\r\n\r\n")
		return true
	case x.request.URL.Path == "/-/report":
		body := `{"phase":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq_no":0,"queued":0,"active":0,"kv_used":0,"kv_total":405000,"handles":0,"pace":1.0}`
		x.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return true
	case instance != "" && instance != w.id:
		x.write("HTTP/1.1 421 Misdirected Request\r\nX-Aspenyard-Attempt-Id: " + x.id + "\r\nX-Aspenyard-Not-Executed: 1\r\nAt-Server: " + w.addr() + "\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	w.mu.Lock()
	w.arrived++
	w.mu.Unlock()
	return w.serve(x)
}

func (w *worker) load() string { return "1,0," + strconv.Itoa(w.slots) }

// answered returns how many requests have arrived.
func (w *worker) answered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived
}

// write sends text and reports whether that succeeded.
func (x *exchange) write(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}

// begin records that the worker begins to work on the request.
func (x *exchange) begin() {
	x.worker.mu.Lock()
	defer x.worker.mu.Unlock()
	x.worker.runs = append(x.worker.runs, run{x.id, x.worker.id, time.Now()})
}

// watchCaller makes callerGone known. Nothing else may read the channel until it is closed.
func (x *exchange) watchCaller() {
	x.callerGone = make(chan struct{})
	go func() {
		_, _ = x.channel.reader.Peek(1)
		close(x.callerGone)
	}()
}

// refusal returns a response that says that the request was not run because of a worker.
func (x *exchange) refusal(faulty string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Aspenyard-Attempt-Id: " + x.id + "\r\nX-Aspenyard-Not-Executed: 1\r\nAt-Server: " + faulty + "\r\nX-Aspenyard-Instance-Load: " + x.worker.load() + "\r\nContent-Length: 0\r\n\r\n"
}

// head returns the head of a response, up to its framing.
func (x *exchange) head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Server-Stamp: 3e1b.07.%s\r\nX-Aspenyard-Weight-Versions: 1\r\nX-Aspenyard-Instance-Load: %s\r\n",
		status, http.StatusText(status), x.id, x.worker.id, x.worker.load())
}

// eventText returns event n, from 1, of the stream that answers a request.
func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// streamText returns a whole stream.
func streamText(id string, events int) string {
	var text strings.Builder
	for n := 1; n <= events; n++ {
		text.WriteString(eventText(id, n))
	}
	return text.String()
}

// stream answers with a stream, after the event that the request names as its last one. Without a length and
// chunks it ends with the channel. It reports whether the channel stays open.
func (x *exchange) stream(events int, interval time.Duration, chunked bool) bool {
	x.watchCaller()
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	if !chunked {
		framing = "Connection: close\r\n\r\n"
	}
	if !x.write(x.head(http.StatusOK) + "Content-Type: text/event-stream\r\n" + framing) {
		return false
	}
	last, _ := strconv.Atoi(x.request.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(interval):
		case <-x.callerGone:
			return false
		}
		text := eventText(x.id, n)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if !x.write(text) {
			return false
		}
	}
	if !chunked {
		return false
	}
	x.write("0\r\n\r\n")
	<-x.callerGone
	return true
}

// plain answers with a body of known length and reports that the channel stays open.
func (x *exchange) plain(status int, body string) bool {
	x.write(x.head(status) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	return true
}

// crash ends the worker: its port is closed and its channels are reset.
func (w *worker) crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// register keeps a worker registered in the store until it is gone.
func (h *harness) register(w *worker) {
	h.putRegistration(w)
	go func() {
		for {
			select {
			case <-w.gone:
				return
			case <-h.closed:
				return
			case <-time.After(heartbeatInterval):
				h.putRegistration(w)
			}
		}
	}()
}

func (h *harness) putRegistration(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.gone:
		return
	default:
	}
	w.seqNo++
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr(), "zone": "bog-a", "version": "1.0", "slots": w.slots, "state": w.state, "cold_left_ms": 0, "seq_no": w.seqNo, "born": h.started.UnixMilli(),
	})
	must(err)
	h.store.Put("servers/"+w.id, data)
}

// drain makes a worker report that it is draining.
func (h *harness) drain(w *worker) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	h.putRegistration(w)
}

// remove ends a worker's registration.
func (h *harness) remove(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.gone)
	h.store.Delete("servers/" + w.id)
}

// startWorkerProcess starts a worker that answers with streams in a process of its own, and registers it.
func (h *harness) startWorkerProcess(id, service string, events int, interval time.Duration) (*worker, *exec.Cmd) {
	w := &worker{id: id, service: service, slots: 16, state: "ready", gone: make(chan struct{})}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "REVIEW_WORKER="+id, "REVIEW_EVENTS="+strconv.Itoa(events), "REVIEW_INTERVAL="+interval.String())
	cmd.Stderr = os.Stderr
	_, err := cmd.StdinPipe()
	must(err)
	output, err := cmd.StdoutPipe()
	must(err)
	h.start(cmd)
	lines := bufio.NewScanner(output)
	for w.processAddr == "" && lines.Scan() {
		w.processAddr, _ = strings.CutPrefix(lines.Text(), "listening ")
	}
	go func() {
		for lines.Scan() {
			h.logf("worker %s: %s", id, lines.Text())
		}
	}()
	h.register(w)
	return w, cmd
}

// runWorkerProcess serves as a worker in a process of its own, as the environment says. It writes its address
// and then one line for each request that it runs.
func runWorkerProcess() {
	events, _ := strconv.Atoi(os.Getenv("REVIEW_EVENTS"))
	interval, _ := time.ParseDuration(os.Getenv("REVIEW_INTERVAL"))
	var output sync.Mutex
	w := newWorker(os.Getenv("REVIEW_WORKER"), "", func(x *exchange) bool {
		output.Lock()
		fmt.Printf("run %s after %q\n", x.id, x.request.Header.Get("Last-Event-Id"))
		output.Unlock()
		return x.stream(events, interval, os.Getenv("REVIEW_CHUNKED") != "")
	})
	fmt.Println("listening " + w.addr())
	_, _ = io.Copy(io.Discard, os.Stdin) // until the case ends
}
