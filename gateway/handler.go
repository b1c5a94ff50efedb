package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/result"
)

// call is one caller's request on its way through the gateway.
type call struct {
	Request
	gateway     *Gateway
	started     time.Time
	deadline    time.Time
	snapshot    *directory.Snapshot
	config      *directory.Config
	route       *directory.Route
	service     *directory.Service
	account     *directory.Account
	body        []byte
	writer      http.ResponseWriter
	httpRequest *http.Request
	log         *eventlog.RequestLog
	// firstByteAt is when the answer's head or first event was passed on; gap is the
	// longest pause between events.
	firstByteAt     time.Time
	longestPause    time.Duration
	longestPauseEnd time.Time // when it ended
	eventsSent      int
	// lastEndpoint is the last that the request was sent to.
	lastEndpoint string
	// cachedFingerprint is the request's fingerprint; each half is 0 until it was asked for.
	cachedFingerprint attempt.Fingerprint
}

// serveCaller serves one request from a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{gateway: g, started: time.Now(), Request: g.dialect.ReadRequest(r.Header), writer: w, httpRequest: r}
	c.log = g.requestLogs.Begin(c.ID)
	failure := c.prepare()
	if failure == nil {
		failure = c.forward()
	}
	c.finish(failure)
}

// prepare finds out who asks for what and reads the body. Nothing has run when it fails.
func (c *call) prepare() *result.Error {
	if failure := c.checkFraming(); failure != nil {
		return failure
	}
	c.awaitConfig()
	c.snapshot = c.gateway.snapshot.Load()
	c.config = c.snapshot.Config
	if c.config == nil {
		return result.Refuse(result.NotReady, notReadyRetryAfter, "no configuration yet")
	}
	if limit := c.config.Limits.HeaderBytes; limit > 0 && headBytes(c.httpRequest) > limit {
		return result.Refuse(result.HeaderTooLarge, 0, "the head is over %d bytes", limit)
	}
	if failure := c.resolveRoute(); failure != nil {
		return failure
	}
	if failure := c.readBody(); failure != nil {
		return failure
	}
	name := c.route.PickService(globalRand{}.Float64())
	if name == "" {
		return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "route %q has no service", c.route.Name)
	}
	c.service = c.config.Service(name)
	if !c.gateway.canAccept(c.estimatedDuration()) {
		return result.Refuse(result.Leaving, drainingRetryAfter, "the process is shutting down")
	}
	c.gateway.retries.RecordRequest(c.started, c.service.Name)
	return nil
}

// awaitConfig waits for the first configuration of a process that has just started: when all
// nodes are started again at once, callers use them before they have read the store, and those
// who are refused then come back late.
func (c *call) awaitConfig() {
	select {
	case <-c.gateway.configured:
		return
	default:
	}
	remaining := c.gateway.firstConfigWait - time.Since(c.gateway.started)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-c.gateway.configured:
	case <-timer.C:
	case <-c.httpRequest.Context().Done():
	}
}

const (
	notReadyRetryAfter   = 500 * time.Millisecond
	drainingRetryAfter   = 50 * time.Millisecond
	noEndpointRetryAfter = time.Second
)

// checkFraming refuses a head that is malformed. It comes before any other answer: one
// that keeps the connection would let what follows an ambiguous body be taken for the
// next request.
func (c *call) checkFraming() *result.Error {
	if !strings.HasPrefix(c.httpRequest.RequestURI, "/") || strings.ContainsAny(c.httpRequest.RequestURI, " \t") {
		return result.Refuse(result.BadRequest, 0, "the request target is not a path")
	}
	if len(c.httpRequest.TransferEncoding) > 0 && ambiguousLength(c.httpRequest) {
		return result.Refuse(result.BadRequest, 0, "both a length and an encoding of the body")
	}
	return nil
}

// ambiguousLength tells whether the head gave two lengths of the body. The server has then
// taken the encoding and dropped the length; another reader might do the reverse, and
// a second request could be hidden in the difference.
func ambiguousLength(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && conn.hasContentLength()
}

// headBytes is the size of a request's head as it was sent, to a few bytes.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// resolveRoute finds the route and the account and fixes the deadline.
func (c *call) resolveRoute() *result.Error {
	path, _, _ := strings.Cut(c.httpRequest.RequestURI, "?")
	c.route = c.config.Route(c.httpRequest.Host, path)
	if c.route == nil {
		if c.gateway.configMayBeStale() {
			return c.refuseOutOfDate()
		}
		return result.Refuse(result.UnknownKind, 0, "no route for host %q and path %q", c.httpRequest.Host, path)
	}
	c.account = c.config.Account(c.Key)
	if c.config.HasAccounts() && !c.route.Public && c.account == nil {
		if c.Key != "" && c.gateway.configMayBeStale() {
			return c.refuseOutOfDate()
		}
		code := result.WrongKey
		if c.Key == "" {
			code = result.NoKey
		}
		return result.Refuse(code, 0, "route %q needs the key of a client account", c.route.Name)
	}
	if c.ID == "" {
		return result.Refuse(result.BadRequest, 0, "no request id")
	}
	limit := c.route.Timeout
	if c.Deadline > 0 && (limit == 0 || c.Deadline < limit) {
		limit = c.Deadline
	}
	if limit <= 0 {
		limit = defaultDeadline
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// refuseOutOfDate answers a request for a route or with a key that this node does not know
// but that a newer configuration may have. Callers ask another node after it, and nobody
// after 404 or 401.
func (c *call) refuseOutOfDate() *result.Error {
	return result.Refuse(result.NotReady, notReadyRetryAfter, "the configuration here may be out of date")
}

// defaultDeadline is used where neither the caller nor the route gives one.
const defaultDeadline = 30 * time.Second

// readBody reads the whole body before anything is sent on: a request that breaks
// off on its way here then certainly has not run.
func (c *call) readBody() *result.Error {
	if c.httpRequest.Body == nil || c.httpRequest.Body == http.NoBody {
		return nil
	}
	limit := int64(c.config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.httpRequest.ContentLength > limit {
		return result.Refuse(result.BodyTooLarge, 0, "the body has %d bytes, %d are allowed", c.httpRequest.ContentLength, limit)
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.deadline)
	reader := http.MaxBytesReader(c.writer, c.httpRequest.Body, limit)
	body, err := readAll(reader, c.httpRequest.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		c.body = body
		return nil
	case errors.As(err, &tooLarge):
		return result.Refuse(result.BodyTooLarge, 0, "the body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout():
		return result.Refuse(result.SlowCaller, 0, "the body did not come in time")
	case c.httpRequest.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return result.Refuse(result.Cancelled, 0, "the caller went away while sending the body")
	}
	return result.Refuse(result.BadRequest, 0, "the body could not be read: %v", err)
}

const defaultBodyBytes = 16 << 20

// readAll reads a body of a known or (negative) unknown length.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// writeError answers a request that has not run, or that failed without an answer from
// an endpoint.
func (c *call) writeError(failure *result.Error) {
	status := result.Lookup(failure.Code).HTTPStatus
	h := c.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if failure.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if failure.Code == result.SlowCaller || failure.Code == result.BodyTooLarge || failure.Code == result.BadRequest || failure.Code == result.Leaving {
		h.Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, failure.Error()+"\n")
}

// finish answers a request that failed, counts it and logs it.
func (c *call) finish(failure *result.Error) {
	elapsed := time.Since(c.started)
	code, responseStarted := result.OK, !c.firstByteAt.IsZero()
	if failure != nil {
		code = failure.Code
	}
	late := c.lateness(elapsed)
	c.gateway.observeCall(c, code, elapsed, late)
	fields := []zap.Field{
		zap.Int("code", int(code)), zap.Duration("took_ms", elapsed), zap.Uint64("config", c.configVersion()),
		zap.String("route", c.routeName()), zap.String("endpoint", c.lastEndpoint), zap.Int("prompt_tokens", c.PromptTokens),
	}
	if responseStarted {
		fields = append(fields, zap.String("late", string(late)), zap.Bool("resumed", c.LastEventID != ""), zap.Duration("first_ms", c.firstByteAt.Sub(c.started)), zap.Duration("gap_ms", c.longestPause), zap.Duration("gap_end_ms", c.pauseEndOffset()), zap.Int("events", c.eventsSent))
	}
	if failure != nil {
		fields = append(fields, zap.String("ran", string(failure.Ran)), zap.String("detail", failure.Detail), zap.Duration("retry_after_ms", failure.RetryAfter))
	}
	c.log.Add("request_ended", fields...)
	c.log.End(failure != nil || late != onTime)
	switch {
	case failure == nil:
	case responseStarted || failure.Code == result.Cancelled:
		// The answer has begun and must not look whole, or nobody reads it.
		panic(http.ErrAbortHandler)
	default:
		c.writeError(failure)
	}
}

// lateness is in which way an answer missed its route's targets.
type lateness string

// The ways of being late.
const (
	onTime         lateness = "no"
	lateResponse   lateness = "answer"
	lateFirstEvent lateness = "first"
	latePause      lateness = "pause"
	lateBoth       lateness = "both"
)

// lateness tells in which way an answer missed its route's targets.
func (c *call) lateness(elapsed time.Duration) lateness {
	if c.route == nil || c.route.Target == 0 {
		return onTime
	}
	if c.route.Kind != directory.Streaming {
		if elapsed > c.route.Target {
			return lateResponse
		}
		return onTime
	}
	firstLate := c.firstByteAt.Sub(c.started) > c.route.Target
	pauseLate := c.route.TargetPause > 0 && c.longestPause > c.route.TargetPause
	switch {
	case firstLate && pauseLate:
		return lateBoth
	case firstLate:
		return lateFirstEvent
	case pauseLate:
		return latePause
	}
	return onTime
}

// pauseEndOffset is when the longest pause ended, from the start of the call.
func (c *call) pauseEndOffset() time.Duration {
	if c.longestPauseEnd.IsZero() {
		return 0
	}
	return c.longestPauseEnd.Sub(c.started)
}

func (c *call) configVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// withDeadline gives a context that ends at the call's deadline or when the caller leaves.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.httpRequest.Context(), c.deadline)
}
