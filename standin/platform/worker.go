package platform

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that a worker simulates for one request.
type Fault string

// The faults.
const (
	// FaultShed refuses the request and states that it was not executed.
	FaultShed Fault = "shed"
	// FaultUnmarkedRefusal responds with status 503 and does not state whether the request
	// was executed.
	FaultUnmarkedRefusal Fault = "bare-refusal"
	// FaultError executes the request and responds with status 500.
	FaultError Fault = "error"
	// FaultReset executes the request and closes the connection without a response.
	FaultReset Fault = "reset"
	// FaultTruncated closes the connection in the middle of the second event, or of a plain
	// body.
	FaultTruncated Fault = "cut"
	// FaultTruncatedUnframed sends a stream without a length or chunks that ends in the
	// middle of its second event.
	FaultTruncatedUnframed Fault = "torn"
	// FaultDuplicateResponse responds and sends the same response again a moment later.
	FaultDuplicateResponse Fault = "extra"
	// FaultUnframed sends no length and no chunks: the end of the connection ends the
	// response.
	FaultUnframed Fault = "unframed"
	// FaultUnframedCrash ends the worker in a response without a length or chunks: between two events of a
	// stream, or in the middle of a plain body.
	FaultUnframedCrash Fault = "unframed-crash"
	// FaultNoServerStamp leaves out the server stamp.
	FaultNoServerStamp Fault = "unsigned"
	// FaultGarbage sends bytes that are not an HTTP response.
	FaultGarbage Fault = "garbage"
	// FaultHang executes the request and never responds.
	FaultHang Fault = "hang"
	// FaultLateResponse executes the request and sends nothing for lateResponseDelay.
	FaultLateResponse Fault = "late-response"
	// FaultEarlyResponse responds before it has read the body, and then reads the rest.
	FaultEarlyResponse Fault = "early"
	// FaultSlow sends a correct stream with one second between events.
	FaultSlow Fault = "slow"
	// FaultHelperFailed refuses the request because of a helper, whose address it names.
	FaultHelperFailed Fault = "helper"
	// FaultHelperBusy refuses a request that lists helpers because of the first one.
	FaultHelperBusy Fault = "helper-busy"
	// FaultLateOrder leaves an order unanswered and applies it after lateOrderDelay.
	FaultLateOrder Fault = "late"
	// FaultSilentOrder is FaultLateOrder on a connection that stays open.
	FaultSilentOrder Fault = "silent"
)

// Run is one request that a worker executed or refused.
type Run struct {
	ID, Method, RequestURI, Account, LastEventID, Helpers string
	// Parts are the parts of the prompt, as sent.
	Parts      string
	Priority   string
	Body       string
	DeadlineMS int
	// Authorization is the caller's header, which a gateway must not forward. Statements are the
	// values of headers in which only workers make statements.
	Authorization, Statements string
	// Ran is false for a request that was refused as not executed.
	Ran bool
	// Status is that of the response, 0 if what was sent is not a response. Fault is the
	// fault that was simulated.
	Status int
	Fault  Fault
	// StatedBackoff is the text of Retry-After in the refusal; "" if there was none.
	StatedBackoff string
	// ArrivedAt is when the request was read completely; EndedAt when its execution ended,
	// zero while it runs. Cancelled is set if the caller disconnected before that.
	ArrivedAt, EndedAt time.Time
	Cancelled          bool
}

// ReservationIDs returns the IDs of the reservations that a run uses at helpers.
func (r *Run) ReservationIDs() []string {
	var ids []string
	for _, helper := range strings.Split(r.Helpers, ",") {
		if _, id, found := strings.Cut(helper, "/"); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// Worker is a model engine or a plain service, of the kind that registers in the platform's
// store.
type Worker struct {
	// ID identifies the worker; Service is the service that it belongs to.
	ID, Service string
	// DataCentre is the data centre that the worker is in; "" stands for dc1.
	DataCentre string
	// StartUnixMilli is when this incarnation started, in Unix milliseconds. With 0 the
	// registration leaves it out, as on older platforms.
	StartUnixMilli int64
	// EventCount is the number of events in a stream; with 0 responses are plain.
	EventCount int
	// EventInterval is the time between events; WorkTime is how long a plain response
	// takes.
	EventInterval, WorkTime time.Duration
	// CutWait is how long the faults of a Cut wait.
	CutWait time.Duration
	// SingleUse ends each connection with its first response.
	SingleUse bool
	// FaultFor returns the fault for a request that arrives on the connection from an address; nil, or "" from it,
	// leaves the choice to the other fields.
	FaultFor func(id, from string) Fault
	// OrderFault is the fault for orders that have none queued; "" leaves the choice to those for requests.
	OrderFault Fault
	// EndlessPause is the pause after each byte of the faults that send without end; 0 for full speed.
	EndlessPause time.Duration
	// Slots is the largest number of requests in flight; further ones are refused as not
	// executed. 0 means no limit.
	Slots int
	// CrashBody is the body of requests that crash the worker when it starts to execute
	// them; "" means none.
	CrashBody string
	// CrashPart begins the names of the parts of prompts, other than the last one, that crash the worker when
	// it begins to write a response; "" means none.
	CrashPart string
	// Hold, unless nil, delays the responses of FaultError, the crashes of FaultUnframedCrash and the ends of
	// FaultUnframed until it is closed.
	Hold <-chan struct{}
	// OnCrash is called, unless nil, when a request crashes the worker.
	OnCrash func()
	// OnOrder is called, unless nil, before an order is carried out and answered.
	OnOrder func()
	// MemoryTokens is the size of the KV cache for reservations, in tokens; 0 means no
	// limit.
	MemoryTokens int

	mu         sync.Mutex
	runs       []*Run
	faultQueue []Fault
	// orderFaultQueue is for orders and is used before faultQueue.
	orderFaultQueue []Fault
	defaultFault    Fault
	reservations    map[string]reservation
	// granted holds the IDs of all reservations that were ever made.
	granted      map[string]bool
	releasedIDs  []string
	orderCount   int
	freedCount   int
	failedHelper string
	// statedLimit and statedLeaving are the texts of headers in responses, statedBackoff that of
	// Retry-After in refusals; "" states nothing.
	statedLimit, statedLeaving, statedBackoff string
	cold                                      coldState

	// lateCopies is how often a response is sent again where the next one is expected on its connection, due the
	// text of what is to be sent so.
	lateCopies int
	due        map[net.Conn]string

	slowdown        float64
	reportCount     int
	listener        net.Listener
	conns           map[net.Conn]bool
	acceptedCount   int
	inFlight        int
	registrationSeq int
}

// Start listens on a free port of the loopback interface.
func (w *Worker) Start() error { return w.StartAt("127.0.0.1:0") }

// StartAt listens on an address. A worker that has stopped may have used it before.
func (w *Worker) StartAt(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.conns, w.due, w.reservations = listener, map[net.Conn]bool{}, map[net.Conn]string{}, map[string]reservation{}
	w.granted = map[string]bool{}
	if w.slowdown == 0 {
		w.slowdown = 1
	}
	w.mu.Unlock()
	go w.accept(listener)
	return nil
}

// Addr returns the address on which the worker listens.
func (w *Worker) Addr() string { return w.listener.Addr().String() }

// StopListening closes the port and leaves the connections open, as a process that hangs
// does.
func (w *Worker) StopListening() { _ = w.listener.Close() }

// Stop closes the port and all connections. A worker that never started is left as it is.
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

// Registration returns the value that the worker writes under servers/ID. Its sequence
// number is higher each time.
func (w *Worker) Registration(state string) []byte { return w.RegistrationAt(w.Addr(), state) }

// RegistrationAt returns the registration of a worker that is reached at another address.
func (w *Worker) RegistrationAt(addr, state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registrationSeq++
	fields := map[string]any{
		"service": w.Service, "address": addr, "zone": cmp.Or(w.DataCentre, "dc1"), "version": "v1", "slots": 16, "state": state, "cold_left_ms": w.cold.registered(time.Now()), "seq_no": w.registrationSeq,
	}
	if w.StartUnixMilli != 0 {
		fields["born"] = w.StartUnixMilli
	}
	data, _ := json.Marshal(fields)
	return data
}

// Incarnation identifies this incarnation of the worker in records.
func (w *Worker) Incarnation() string {
	if w.StartUnixMilli == 0 {
		return w.ID
	}
	return w.ID + "/" + strconv.FormatInt(w.StartUnixMilli, 10)
}

// QueueFaults adds faults for the next requests, one for each.
func (w *Worker) QueueFaults(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultQueue = append(w.faultQueue, faults...)
}

// QueueOrderFaults adds faults for the next orders, one for each.
func (w *Worker) QueueOrderFaults(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderFaultQueue = append(w.orderFaultQueue, faults...)
}

// SetDefaultFault sets the fault for requests that have none queued; "" means none.
func (w *Worker) SetDefaultFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultFault = f
}

// SetSlowdown sets the factor by which, according to the load report, work takes longer
// than configured; with 0 the report has no valid factor.
func (w *Worker) SetSlowdown(slowdown float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = slowdown
}

// ReportCount returns how often the worker's report was read.
func (w *Worker) ReportCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportCount
}

// SetFailedHelper sets the address that FaultHelperFailed names.
func (w *Worker) SetFailedHelper(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedHelper = addr
}

// Runs returns a copy of the requests so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		list = append(list, *run)
	}
	return list
}

// InFlight returns the number of requests that the worker executes now.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

// AcceptedCount returns the number of connections accepted so far.
func (w *Worker) AcceptedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acceptedCount
}

// Reservations returns the tokens of each held reservation by its ID, the number of
// release orders and the number of all orders.
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

// OpenConnections returns the number of open connections.
func (w *Worker) OpenConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
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
		delete(w.due, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request.RemoteAddr = conn.RemoteAddr().String()
		if !w.handleCopied(conn, reader, request) {
			return
		}
	}
}

// handle serves one request and returns true if the connection stays open.
func (w *Worker) handle(conn net.Conn, reader *bufio.Reader, r *http.Request) bool {
	switch r.URL.Path {
	case "/-/order":
		return w.serveOrder(conn, r)
	case "/-/report":
		return w.serveReport(conn)
	}
	fault := w.faultFor(r)
	run := newRun(r, fault)
	if fault == FaultEarlyResponse {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Not-Executed: 1\r\n%s%sContent-Length: 0\r\n\r\n", run.ID, w.statements(), w.backoffHeader())
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	}
	headers := fmt.Sprintf("X-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Instance-Load: 1,0,16\r\n%s", run.ID, w.statements())
	if w.sendCutBefore(conn, headers, run, false) {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	run.Body, run.ArrivedAt = string(body), time.Now()
	if w.sendCutBefore(conn, headers, run, true) {
		return false
	}
	if w.SingleUse {
		headers += connCloseHeader
	}
	if status, refusalHeaders := w.refusal(r, fault); status != 0 {
		run.Status = status
		if status == http.StatusServiceUnavailable {
			run.StatedBackoff = w.backoff()
		}
		w.addRun(run)
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers, refusalHeaders)
		return true
	}
	if fault == FaultEndlessRefusal {
		w.addRun(run)
		first, repeated, _ := endless(fault, headers)
		w.sendEndless(conn, first, repeated, watchCaller(reader))
		return false
	}
	run.Ran, run.Status = true, http.StatusOK
	w.addRun(run)
	if w.CrashBody != "" && run.Body == w.CrashBody {
		return w.crash()
	}
	callerGone := watchCaller(reader)
	if w.CrashPart != "" && hasSharedPart(run.Parts, w.CrashPart) {
		sleepUnlessGone(w.WorkTime, callerGone)
		return w.crash()
	}
	keepAlive := w.process(conn, headers, run, fault, callerGone) && !w.SingleUse
	w.finishRun(run, callerGone)
	if !keepAlive {
		_ = conn.Close()
	}
	<-callerGone // only then may the reader be used again
	return keepAlive
}

// faultFor returns the fault for a request.
func (w *Worker) faultFor(r *http.Request) Fault {
	if w.FaultFor != nil {
		if fault := w.FaultFor(r.Header.Get("X-Aspenyard-Attempt-Id"), r.RemoteAddr); fault != "" {
			return fault
		}
	}
	return w.nextFault()
}

// crash ends the worker as a request does that crashes it. It always returns false: no connection stays
// open.
func (w *Worker) crash() bool {
	if w.OnCrash != nil {
		w.OnCrash()
	}
	w.Stop()
	return false
}

// hasSharedPart reports whether a prompt has a part, other than its last one, whose name begins with prefix.
// parts are entries ID:TOKENS, separated by commas.
func hasSharedPart(parts, prefix string) bool {
	list := strings.Split(parts, ",")
	return slices.ContainsFunc(list[:len(list)-1], func(part string) bool { return strings.HasPrefix(part, prefix) })
}

func newRun(r *http.Request, fault Fault) *Run {
	deadline, _ := strconv.Atoi(r.Header.Get("X-Aspenyard-Deadline-Ms"))
	return &Run{
		ID: r.Header.Get("X-Aspenyard-Attempt-Id"), Method: r.Method, RequestURI: r.RequestURI, Account: r.Header.Get("X-Aspenyard-Tenant"),
		LastEventID: r.Header.Get("Last-Event-Id"), Helpers: r.Header.Get(headerHelpers), Priority: r.Header.Get("X-Aspenyard-Request-Priority"), Parts: r.Header.Get(headerParts),
		DeadlineMS: deadline, Authorization: r.Header.Get("Authorization"), Statements: r.Header.Get(headerLimit) + r.Header.Get(headerLeaving), Fault: fault,
	}
}

// refusal returns the status, and further headers, with which a request is refused without
// being executed; status 0 means that it is executed.
func (w *Worker) refusal(r *http.Request, fault Fault) (status int, headers string) {
	notExecuted := "X-Aspenyard-Not-Executed: 1\r\n" + w.backoffHeader()
	switch {
	case r.Header.Get("X-Aspenyard-Expect-Instance") != w.ID:
		return http.StatusMisdirectedRequest, "X-Aspenyard-Instance-Id: " + w.ID + "\r\n"
	case fault == FaultShed:
		return http.StatusServiceUnavailable, notExecuted
	case w.atCapacity():
		return http.StatusServiceUnavailable, notExecuted + "At-Server: " + w.Addr() + "\r\n"
	case fault == FaultHelperBusy && r.Header.Get(headerHelpers) != "":
		busy, _, _ := strings.Cut(r.Header.Get(headerHelpers), ",")
		addr, _, _ := strings.Cut(busy, "/")
		return http.StatusServiceUnavailable, notExecuted + "At-Server: " + addr + "\r\n"
	case fault == FaultHelperFailed:
		return http.StatusServiceUnavailable, notExecuted + "At-Server: " + w.failedHelper + "\r\n"
	}
	return 0, ""
}

// watchCaller returns a channel that is closed when the caller closes the connection or
// sends its next request. Until then nothing else may use the reader.
func watchCaller(reader *bufio.Reader) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1)
		close(done)
	}()
	return done
}

// lateResponseDelay is how long the worker is silent with FaultLateResponse.
const lateResponseDelay = 2 * time.Second

// process executes a request and returns true if the connection stays open.
func (w *Worker) process(conn net.Conn, headers string, run *Run, fault Fault, callerGone <-chan struct{}) bool {
	w.addInFlight(1)
	defer w.addInFlight(-1)
	if first, repeated, ok := endless(fault, headers); ok {
		w.sendEndless(conn, first, repeated, callerGone)
		return false
	}
	if cut, ok := cutOf(fault); ok {
		return w.sendCut(conn, headers, run, cut, callerGone)
	}
	if head, ok := invalidHeadOf(fault); ok {
		head.send(conn, w.contentHeader()+headers+serverStamp, strings.Join(w.bodyParts(run), ""))
		return false
	}
	if fault == FaultLateResponse && !sleepUnlessGone(lateResponseDelay, callerGone) {
		return false
	}
	if w.EventCount > 0 {
		return w.sendStream(conn, headers, run, fault, callerGone)
	}
	if w.WorkTime > 0 && !sleepUnlessGone(w.WorkTime, callerGone) {
		return false
	}
	return w.sendPlain(conn, headers, run, fault, callerGone)
}

// sleepUnlessGone sleeps for d. It returns false early if the caller disconnects.
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

// atCapacity returns true if all slots are taken.
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

// nextOrderFault returns the fault for the next order.
func (w *Worker) nextOrderFault() Fault {
	w.mu.Lock()
	if len(w.orderFaultQueue) > 0 {
		defer w.mu.Unlock()
		fault := w.orderFaultQueue[0]
		w.orderFaultQueue = w.orderFaultQueue[1:]
		return fault
	}
	w.mu.Unlock()
	return cmp.Or(w.OrderFault, w.nextFault())
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
