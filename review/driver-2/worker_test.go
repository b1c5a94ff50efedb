package driver2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// arrival is a request as a worker received it.
type arrival struct {
	id, method, target, body string
	header                   http.Header
	at                       time.Time
}

// worker is a stand-in of a worker. answer writes the response to a request and returns true if the connection stays open.
type worker struct {
	id, service, zone string
	answer            func(w *worker, conn net.Conn, a *arrival) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	arrivals []arrival
	ended    bool
	// running is the number of requests that have not been answered.
	running int
	// coldUntil is when the worker is warm.
	coldUntil time.Time
}

func startWorker(t *testing.T, id, service, zone string, answer func(w *worker, conn net.Conn, a *arrival) bool) *worker {
	return startWorkerAt(t, "127.0.0.1:0", id, service, zone, answer)
}

// startWorkerAt starts a worker that listens on an address.
func startWorkerAt(t *testing.T, addr, id, service, zone string, answer func(w *worker, conn net.Conn, a *arrival) bool) *worker {
	w := &worker{id: id, service: service, zone: zone, answer: answer, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", addr)
	cannotRun(err)
	w.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	t.Cleanup(w.end)
	return w
}

// end ends the worker as the end of its process does: its port refuses connections and the open ones are closed.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// registration is the worker's entry in the store.
func (w *worker) registration(state string) []byte {
	return w.registrationAt(w.listener.Addr().String(), state)
}

// registrationAt is the entry of a worker that is reached at another address.
func (w *worker) registrationAt(addr, state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": w.service, "address": addr, "zone": w.zone, "version": "v1", "slots": 16, "state": state, "cold_left_ms": w.coldLeft().Milliseconds(), "seq_no": 1,
	})
	return data
}

// setCold makes the worker cold for a time.
func (w *worker) setCold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// coldLeft returns how long the worker is cold.
func (w *worker) coldLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(time.Until(w.coldUntil), 0)
}

// load returns the number of requests that run; -1 once the worker has ended.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return -1
	}
	return w.running
}

// received returns the requests that have arrived so far.
func (w *worker) received() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		at := time.Now()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := &arrival{id: request.Header.Get("X-Aspenyard-Attempt-Id"), method: request.Method, target: request.RequestURI, body: string(body), header: request.Header, at: at}
		if named := request.Header.Get("X-Aspenyard-Expect-Instance"); named != "" && named != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", a.id, w.id)
			continue
		}
		w.mu.Lock()
		w.arrivals = append(w.arrivals, *a)
		w.running++
		w.mu.Unlock()
		keep := w.answer(w, conn, a)
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		if !keep {
			return
		}
	}
}

// stamp is the signature of a worker's response to a request.
func stamp(w *worker, id string) string { return w.id + "." + id }

// plainBody is the whole body that every worker sends for a request.
func plainBody(id string) string { return "answer to " + id + strings.Repeat(".", 800) }

// answerPlain sends a whole response after some work.
func answerPlain(work time.Duration) func(w *worker, conn net.Conn, a *arrival) bool {
	return func(w *worker, conn net.Conn, a *arrival) bool {
		time.Sleep(work)
		body := plainBody(a.id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", a.id, stamp(w, a.id), len(body), body)
		return err == nil
	}
}
