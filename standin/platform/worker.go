package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a worker does wrong with one request.
type Fault string

// The faults.
const (
	// FaultShed refuses the request and says that it did not run.
	FaultShed Fault = "shed"
	// FaultUnmarkedRefusal refuses with 503 without saying that it did not run.
	FaultUnmarkedRefusal Fault = "bare-refusal"
	// FaultError runs the request and answers 500.
	FaultError Fault = "error"
	// FaultReset runs the request and closes the connection without an answer.
	FaultReset Fault = "reset"
	// FaultTruncated breaks off in the midst of the second event, or of a plain body.
	FaultTruncated Fault = "cut"
	// FaultTruncatedUnframed gives a stream without length that ends in the midst of its second event.
	FaultTruncatedUnframed Fault = "torn"
	// FaultDuplicateResponse answers and sends a second answer to the same request a moment later.
	FaultDuplicateResponse Fault = "extra"
	// FaultUnframed gives no length: the answer ends with the connection.
	FaultUnframed Fault = "unframed"
	// FaultNoServerStamp leaves the signature out.
	FaultNoServerStamp Fault = "unsigned"
	// FaultGarbage sends bytes that are no answer.
	FaultGarbage Fault = "garbage"
	// FaultHang runs the request and never answers.
	FaultHang Fault = "hang"
	// FaultEarlyResponse answers before it has read the body, and reads on.
	FaultEarlyResponse Fault = "early"
	// FaultSlow answers right, each event a second after the last.
	FaultSlow Fault = "slow"
	// FaultHelperFailed refuses because of a helper, which it names.
	FaultHelperFailed Fault = "helper"
	// FaultLateOrder leaves an order unanswered and carries it out after orderDelay.
	FaultLateOrder Fault = "late"
)

// Run is one request that a worker ran, or refused.
type Run struct {
	ID, Method, RequestURI, Account, LastEventID, Helpers string
	Priority                                              string
	Body                                                  string
	DeadlineMS                                            int
	// Authorization is the caller's, which must not be passed on.
	Authorization string
	// Ran is false for a request that was refused.
	Ran bool
	// Status is what it was answered with, 0 for nothing that is an answer; Fault what
	// was done wrong with it.
	Status int
	Fault  Fault
	// ArrivedAt is when its head and body had been read; EndedAt when the work ended, zero
	// while it goes on. Dropped is set when the caller left before that.
	ArrivedAt, EndedAt time.Time
	Cancelled          bool
}

// ReservationIDs are the names of the reservations that a run uses.
func (r *Run) ReservationIDs() []string {
	var ids []string
	for _, helper := range strings.Split(r.Helpers, ",") {
		if _, id, found := strings.Cut(helper, "/"); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// Worker is a model worker or plain application.
type Worker struct {
	// ID names it, Service is what it serves.
	ID, Service string
	// StartUnixMilli is when this life began, in Unix milliseconds; 0: its registration does not say,
	// as on older platforms.
	StartUnixMilli int64
	// EventCount is how many events a stream has; 0: answers are plain.
	EventCount int
	// EventInterval is the time between events, WorkTime that which a plain answer takes.
	EventInterval, WorkTime time.Duration
	// Slots is how many requests it works on at once; more are refused as not run.
	// 0: any number.
	Slots int
	// CrashBody is the body of requests under which the worker ends as it begins to run them; "":
	// none.
	CrashBody string
	// OnCrash is called as the worker ends under CrashOn; nil: nothing is.
	OnCrash func()
	// MemoryTokens is its KV cache, of which reservations take their part; 0: no bound.
	MemoryTokens int

	mu         sync.Mutex
	runs       []*Run
	faultQueue []Fault
	// orderFaultQueue go before faults, for orders.
	orderFaultQueue []Fault
	defaultFault    Fault
	reservations    map[string]reservation
	releasedIDs     []string
	orderCount      int
	freedCount      int
	failedHelper    string
	slowdown        float64
	reportCount     int
	listener        net.Listener
	conns           map[net.Conn]bool
	acceptedCount   int
	inFlight        int
	registrationSeq int
}

// Start listens on a free port of the loopback.
func (w *Worker) Start() error { return w.StartAt("127.0.0.1:0") }

// StartAt listens on an address, which a worker that has ended may have left.
func (w *Worker) StartAt(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.conns, w.reservations = listener, map[net.Conn]bool{}, map[string]reservation{}
	if w.slowdown == 0 {
		w.slowdown = 1
	}
	w.mu.Unlock()
	go w.accept(listener)
	return nil
}

// Addr is where it listens.
func (w *Worker) Addr() string { return w.listener.Addr().String() }

// StopListening closes the port and leaves the connections open, as if the worker hung.
func (w *Worker) StopListening() { _ = w.listener.Close() }

// Stop closes the port and all connections; a worker that never started stays as it is.
func (w *Worker) Stop() {
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// Registration is what the worker writes under servers/ID, with a sequence number that
// rises each time.
func (w *Worker) Registration(state string) []byte { return w.RegistrationAt(w.Addr(), state) }

// RegistrationAt is the same for a worker that is reached at another address.
func (w *Worker) RegistrationAt(addr, state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registrationSeq++
	fields := map[string]any{
		"service": w.Service, "address": addr, "zone": "dc1", "version": "v1", "slots": 16, "state": state, "cold_left_ms": 0, "seq_no": w.registrationSeq,
	}
	if w.StartUnixMilli != 0 {
		fields["born"] = w.StartUnixMilli
	}
	data, _ := json.Marshal(fields)
	return data
}

// Incarnation names this life of the worker, in records.
func (w *Worker) Incarnation() string {
	if w.StartUnixMilli == 0 {
		return w.ID
	}
	return w.ID + "/" + strconv.FormatInt(w.StartUnixMilli, 10)
}

// QueueFaults queues faults for the coming requests, one each.
func (w *Worker) QueueFaults(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultQueue = append(w.faultQueue, faults...)
}

// QueueOrderFaults queues faults for the coming orders, one each.
func (w *Worker) QueueOrderFaults(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderFaultQueue = append(w.orderFaultQueue, faults...)
}

// SetDefaultFault sets a fault for all requests that have none queued; "" for none.
func (w *Worker) SetDefaultFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultFault = f
}

// SetSlowdown sets how many times as long as described its work takes, as its report tells;
// 0 tells that it does not say.
func (w *Worker) SetSlowdown(slowdown float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = slowdown
}

// ReportCount counts how often it was asked for its report.
func (w *Worker) ReportCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportCount
}

// SetFailedHelper sets the address that FaultHelper names.
func (w *Worker) SetFailedHelper(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedHelper = addr
}

// Runs lists the requests so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		list = append(list, *run)
	}
	return list
}

// InFlight counts the requests at which it is at work.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

// AcceptedCount counts connections.
func (w *Worker) AcceptedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acceptedCount
}

// Reservations lists the reservations that are held, and how many were released.
func (w *Worker) Reservations() (held map[string]int, released, orders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held = map[string]int{}
	w.expireReservations(time.Now())
	for id, r := range w.reservations {
		held[id] = r.tokens
	}
	return held, len(w.releasedIDs), w.orderCount
}

func (w *Worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.acceptedCount++
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !w.handle(conn, reader, request) {
			return
		}
	}
}

// handle answers one request and tells whether the connection stays.
func (w *Worker) handle(conn net.Conn, reader *bufio.Reader, r *http.Request) bool {
	switch r.URL.Path {
	case "/-/order":
		return w.serveOrder(conn, r)
	case "/-/report":
		return w.serveReport(conn)
	}
	fault := w.nextFault()
	run := newRun(r, fault)
	if fault == FaultEarlyResponse {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", run.ID)
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	run.Body, run.ArrivedAt = string(body), time.Now()
	headers := fmt.Sprintf("X-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Instance-Load: 1,0,16\r\n", run.ID)
	if status, refusalHeaders := w.refusal(r, fault); status != 0 {
		run.Status = status
		w.addRun(run)
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers, refusalHeaders)
		return true
	}
	run.Ran, run.Status = true, http.StatusOK
	w.addRun(run)
	if w.CrashBody != "" && run.Body == w.CrashBody {
		if w.OnCrash != nil {
			w.OnCrash()
		}
		w.Stop()
		return false
	}
	callerGone := watchCaller(reader)
	keepAlive := w.process(conn, headers, run, fault, callerGone)
	w.finishRun(run, callerGone)
	if !keepAlive {
		_ = conn.Close()
	}
	<-callerGone // the reader is free again
	return keepAlive
}

func newRun(r *http.Request, fault Fault) *Run {
	deadline, _ := strconv.Atoi(r.Header.Get("X-Aspenyard-Deadline-Ms"))
	return &Run{
		ID: r.Header.Get("X-Aspenyard-Attempt-Id"), Method: r.Method, RequestURI: r.RequestURI, Account: r.Header.Get("X-Aspenyard-Tenant"),
		LastEventID: r.Header.Get("Last-Event-Id"), Helpers: r.Header.Get("X-Aspenyard-Helpers"), Priority: r.Header.Get("X-Aspenyard-Request-Priority"),
		DeadlineMS: deadline, Authorization: r.Header.Get("Authorization"), Fault: fault,
	}
}

// refusal tells with which status, and which headers besides, a request is refused that
// does not run; 0: it runs.
func (w *Worker) refusal(r *http.Request, fault Fault) (status int, headers string) {
	const notExecuted = "X-Aspenyard-Not-Executed: 1\r\n"
	switch {
	case r.Header.Get("X-Aspenyard-Expect-Instance") != w.ID:
		return http.StatusMisdirectedRequest, "X-Aspenyard-Instance-Id: " + w.ID + "\r\n"
	case fault == FaultShed:
		return http.StatusServiceUnavailable, notExecuted
	case w.atCapacity():
		return http.StatusServiceUnavailable, notExecuted + "At-Server: " + w.Addr() + "\r\n"
	case fault == FaultHelperFailed:
		return http.StatusServiceUnavailable, notExecuted + "At-Server: " + w.failedHelper + "\r\n"
	}
	return 0, ""
}

// watchCaller gives a channel that is closed when the caller closes the connection or
// sends its next request; until then nobody else may use the reader.
func watchCaller(reader *bufio.Reader) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1)
		close(done)
	}()
	return done
}

// process works on a request and tells whether the connection stays.
func (w *Worker) process(conn net.Conn, headers string, run *Run, fault Fault, callerGone <-chan struct{}) bool {
	w.addInFlight(1)
	defer w.addInFlight(-1)
	if w.EventCount > 0 {
		return w.sendStream(conn, headers, run, fault, callerGone)
	}
	if w.WorkTime > 0 && !sleepUnlessGone(w.WorkTime, callerGone) {
		return false
	}
	return w.sendPlain(conn, headers, run, fault, callerGone)
}

// sleepUnlessGone waits; false when the caller left meanwhile.
func sleepUnlessGone(d time.Duration, callerGone <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-callerGone:
		return false
	}
}

func (w *Worker) finishRun(run *Run, callerGone <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.EndedAt = time.Now()
	select {
	case <-callerGone:
		run.Cancelled = true
	default:
	}
}

// atCapacity tells whether all slots are taken.
func (w *Worker) atCapacity() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Slots > 0 && w.inFlight >= w.Slots
}

func (w *Worker) nextFault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faultQueue) == 0 {
		return w.defaultFault
	}
	fault := w.faultQueue[0]
	w.faultQueue = w.faultQueue[1:]
	return fault
}

// nextOrderFault gives the fault of the next order.
func (w *Worker) nextOrderFault() Fault {
	w.mu.Lock()
	if len(w.orderFaultQueue) > 0 {
		defer w.mu.Unlock()
		fault := w.orderFaultQueue[0]
		w.orderFaultQueue = w.orderFaultQueue[1:]
		return fault
	}
	w.mu.Unlock()
	return w.nextFault()
}

func (w *Worker) addRun(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run)
}

func (w *Worker) addInFlight(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight += n
}
