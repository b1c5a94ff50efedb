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

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/gateway/response"
	"aspenyard.example/graceful"
	"aspenyard.example/intake"
	"aspenyard.example/result"
)

// call is the state of one caller's request while the gateway serves it.
type call struct {
	Request
	gateway  *Gateway
	started  time.Time
	deadline time.Time
	// limitedBy names what the deadline follows from; it is written to logs.
	limitedBy string
	snapshot  *directory.Snapshot
	config    *directory.Config
	route     *directory.Route
	service   *directory.Service
	account   *directory.Account
	// restriction limits the request to endpoints in some regions; nil without a limit.
	restriction *directory.Restriction
	body        []byte
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	// held is what is held of the request's body, responseHeld of responses. rank is 0 for the most
	// urgent requests and 1 for the least urgent.
	held, responseHeld admission.Holding
	rank               float64
	// expected is the part of held that is kept for the response.
	expected    int64
	response    *response.Writer
	httpRequest *http.Request
	log         *eventlog.RequestLog
	// firstByteAt is when the response's head or first event was written to the caller.
	firstByteAt time.Time
	// longestPause is the longest time between two events of the stream.
	longestPause    time.Duration
	longestPauseEnd time.Time // when that pause ended
	eventsSent      int
	// lastEndpoint is the ID of the endpoint that was selected last.
	lastEndpoint string
	placedAt     time.Time // when the last plan was made
	// cachedFingerprint is the request's fingerprint. Each half is computed on first use and is 0
	// until then.
	cachedFingerprint attempt.Fingerprint
	// cachedParts are the identifiers of SharedParts; nil until they are first used.
	cachedParts []crashcause.Part
	// cachedReturnKey is the request's return key; 0 until it is first used.
	cachedReturnKey uint64
	// returnStatus says whether the caller was refused before and returns when it was told to.
	returnStatus admission.ReturnStatus
	// attemptsRefused is set if the call is refused because all of its attempts were.
	attemptsRefused bool
}

// serveCaller is the HTTP handler of the callers' port. It logs and counts the request when it
// ends.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.bytes.Reserve(callMemory)
	defer g.bytes.Reserve(-callMemory)
	c := &call{gateway: g, started: time.Now(), Request: g.headerCodec.ReadRequest(r.Header), response: response.New(w), httpRequest: r}
	c.response.CloseConnectionIf(func() bool { return g.draining() || c.sentAheadWhileCrowded() })
	c.log = g.requestLogs.Begin(c.ID)
	if conn := c.callerConn(); conn != nil {
		if conn.Evicted() {
			panic(http.ErrAbortHandler)
		}
		conn.handled.Store(true)
	}
	defer c.releaseHolding()
	c.closeOverLimit()
	failure := c.prepare()
	if failure == nil {
		failure = c.forward()
	}
	c.finish(failure)
}

// prepare validates the request, resolves its route and client account, reads its body and
// selects the service. When it fails, the request has not been sent to any endpoint.
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
	if limit := c.config.Limits.HeaderBytes; limit > 0 && c.headBytes() > limit {
		return result.Refuse(result.HeaderTooLarge, 0, "request head exceeds %d bytes", limit)
	}
	if conn := c.callerConn(); conn != nil && !conn.holdHead(intake.HeaderMemory(c.httpRequest.Header)) {
		return c.refuseFull(intake.HeaderMemory(c.httpRequest.Header))
	}
	if failure := c.resolveRoute(); failure != nil {
		return failure
	}
	c.openHolding()
	if failure := c.refusePressed(); failure != nil {
		return failure
	}
	if failure := c.holdResponse(); failure != nil {
		return failure
	}
	if failure := c.readBody(); failure != nil {
		return failure
	}
	if failure := c.followConfig(); failure != nil {
		return failure
	}
	name := c.route.PickService(globalRand{}.Float64())
	if name == "" {
		return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "route %q has no service", c.route.Name)
	}
	c.service = c.config.Service(name)
	if !c.canAccept() {
		return c.refuseLeaving()
	}
	c.recogniseReturn()
	c.gateway.retries.RecordRequest(c.started, c.service.Name)
	return nil
}

// followConfig applies a configuration that came into force while the body was received: a request counts as sent when all of
// it is.
func (c *call) followConfig() *result.Error {
	latest := c.gateway.snapshot.Load()
	if latest.Config == c.config {
		return nil
	}
	c.snapshot, c.config = latest, latest.Config
	return c.resolveRoute()
}

// awaitConfig waits for the first configuration of a process that has just started. When all
// nodes restart at once, requests arrive before the store has been read, and callers that are
// refused then come back late.
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
	// Retry-After values of refusals.
	notReadyRetryAfter   = 500 * time.Millisecond
	drainingRetryAfter   = 50 * time.Millisecond
	noEndpointRetryAfter = time.Second
)

// checkFraming refuses a request whose head is malformed. It runs before any other check: a
// refusal that kept the connection open would let the bytes after an ambiguous body be parsed as
// the next request.
func (c *call) checkFraming() *result.Error {
	if !strings.HasPrefix(c.httpRequest.RequestURI, "/") || strings.ContainsAny(c.httpRequest.RequestURI, " \t") {
		return result.Refuse(result.BadRequest, 0, "request target is not a path")
	}
	if len(c.httpRequest.TransferEncoding) > 0 && ambiguousLength(c.httpRequest) {
		return result.Refuse(result.BadRequest, 0, "request has both Content-Length and Transfer-Encoding")
	}
	return nil
}

// ambiguousLength reports whether a request with a Transfer-Encoding was sent with a Content-Length
// as well. The server has then used the encoding and removed the length. Another parser may do the
// opposite, which allows request smuggling.
func ambiguousLength(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && conn.hasContentLength()
}

// headBytes returns the size of the request's head as it was sent. That of one that was read together with the request before is
// estimated, without the blanks behind the names.
func (c *call) headBytes() int {
	if conn := c.callerConn(); conn != nil && conn.head.Ended() {
		return conn.head.Bytes()
	}
	r := c.httpRequest
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host:\r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(":\r\n")
		}
	}
	return n
}

// resolveRoute finds the route and the client account and computes the deadline.
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
		return result.Refuse(result.BadRequest, 0, "request ID is missing")
	}
	limit := c.route.Timeout
	if c.Deadline > 0 && (limit == 0 || c.Deadline < limit) {
		limit = c.Deadline
	}
	c.limitedBy = "the route's timeout"
	if limit == c.Deadline {
		c.limitedBy = "the caller's deadline"
	}
	if limit <= 0 {
		limit, c.limitedBy = defaultDeadline, "the default deadline"
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// refuseOutOfDate refuses a request whose route or key is unknown here but may exist in a newer
// configuration. Callers retry at another node after this refusal; after 404 or 401 they do not
// retry.
func (c *call) refuseOutOfDate() *result.Error {
	return result.Refuse(result.NotReady, notReadyRetryAfter, "this node's configuration may be out of date")
}

// defaultDeadline applies when neither the caller nor the route sets a timeout.
const defaultDeadline = 30 * time.Second

// readBody reads the whole body before the request is sent to an endpoint, so that a request
// whose upload breaks off has certainly not run.
func (c *call) readBody() *result.Error {
	if c.httpRequest.Body == nil || c.httpRequest.Body == http.NoBody {
		return nil
	}
	limit := int64(c.config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.httpRequest.ContentLength > limit {
		return result.Refuse(result.BodyTooLarge, 0, "request body has %d bytes; the limit is %d", c.httpRequest.ContentLength, limit)
	}
	if failure := c.refuseLateBody(c.httpRequest.ContentLength); failure != nil {
		return failure
	}
	control := c.response.Controller()
	_ = control.SetReadDeadline(c.deadline)
	defer c.gateway.shutdown.Before(0, c.endBodyRead)()
	reader := http.MaxBytesReader(nil, c.httpRequest.Body, limit) // writeError closes the connection
	body, err := c.readBodyWithin(reader, c.httpRequest.ContentLength, int(limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		c.body, c.bodyRead = body, true
		return nil
	case c.shutdownDue():
		return c.refuseLeaving()
	case errors.Is(err, errBodyRefused):
		return c.refuseFull(max(c.httpRequest.ContentLength, c.held.Bytes()))
	case errors.As(err, &tooLarge):
		return result.Refuse(result.BodyTooLarge, 0, "request body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout():
		return result.Refuse(result.SlowCaller, 0, "request body was not received in time")
	case c.httpRequest.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return result.Refuse(result.Cancelled, 0, "caller disconnected while sending the body")
	}
	return result.Refuse(result.BadRequest, 0, "reading the request body failed: %v", err)
}

// shutdownDue reports whether this process must have responded to the request by now, as it stops.
func (c *call) shutdownDue() bool {
	remaining, draining := c.gateway.shutdown.Remaining()
	return draining && remaining <= 0
}

// defaultBodyBytes bounds the body when the configuration sets no limit.
const defaultBodyBytes = 16 << 20

// writeError writes the response to a request that was refused, or that failed without a response
// from an endpoint.
func (c *call) writeError(failure *result.Error) {
	status := result.Lookup(failure.Code).HTTPStatus
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := failure.Error() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if failure.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	switch failure.Code { // the rest of the body is on the connection, or the process ends
	case result.SlowCaller, result.BodyTooLarge, result.BadRequest, result.Leaving, result.EntryFull:
		c.response.CloseConnection()
	}
	if err := c.response.WriteWhole(status, h, text); err != nil {
		c.gateway.log.Info("caller_lost", zap.String("request", c.ID), eventlog.Error(err)) // the request's lines are written already
	}
}

// finish counts and logs the request and, if it failed, writes the error response or aborts the
// response that has begun.
func (c *call) finish(failure *result.Error) {
	elapsed := time.Since(c.started)
	code, responseStarted := result.OK, !c.firstByteAt.IsZero()
	if failure != nil {
		code = failure.Code
	}
	c.endReturn(failure)
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
	switch state := c.response.State(); {
	case failure == nil && state == response.Complete:
	case failure == nil || state != response.Unsent || failure.Code == result.Cancelled:
		c.abort()
	case c.bodyUnread() && c.connectionWanted():
		c.response.CloseConnection()
		c.writeError(failure)
		_ = c.response.Controller().Flush()
		c.abort() // others wait for the connection that the rest of the body would keep
	default:
		c.limitUnreadBody()
		c.writeError(failure)
	}
}

// connectionWanted reports whether another caller waits for the connection.
func (c *call) connectionWanted() bool {
	conn := c.callerConn()
	return conn != nil && (conn.overLimit || c.gateway.callers.full())
}

// sentAheadWhileCrowded reports whether the caller has sent further requests already, which the kernel holds, and callers have more
// than half of the connections that they may have. Its connection then ends with the response.
func (c *call) sentAheadWhileCrowded() bool {
	conn := c.callerConn()
	return conn != nil && c.gateway.callers.crowded() && !c.bodyUnread() && conn.SentAhead()
}

// bodyUnread reports whether the caller may still send a part of the body.
func (c *call) bodyUnread() bool {
	body := c.httpRequest.Body
	return body != nil && body != http.NoBody && !c.bodyRead
}

// limitUnreadBody bounds the time in which the server reads what is left of the body.
func (c *call) limitUnreadBody() {
	if c.bodyUnread() {
		_ = c.response.Controller().SetReadDeadline(time.Now().Add(intake.UnreadBodyTimeout))
	}
}

// abort ends the caller's connection, so that a partial response does not look complete.
func (c *call) abort() {
	if conn := c.backlog(); conn != nil && !c.httpRequest.ProtoAtLeast(1, 1) {
		conn.reset()
	}
	if c.bodyUnread() {
		_ = c.response.Controller().SetReadDeadline(time.Unix(1, 0)) // the server would read the rest first
	}
	panic(http.ErrAbortHandler)
}

// lateness says which of its route's targets a response missed; it is written to logs.
type lateness string

// The values of lateness.
const (
	onTime         lateness = "no"
	lateResponse   lateness = "answer"
	lateFirstEvent lateness = "first"
	latePause      lateness = "pause"
	lateBoth       lateness = "both"
)

// lateness compares the response's times with the route's targets: the total time for routes
// without streaming, the time to the first event and the longest pause for streams.
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

// pauseEndOffset returns when the longest pause ended, measured from the request's arrival; 0 if
// there was no pause.
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

// context returns a context that ends at the request's deadline, when the caller disconnects, or when this process must
// have responded before it stops. A response that has begun may go on for longer, as nothing else can be written then.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(c.httpRequest.Context())
	stop := func() { cancel(graceful.ErrShutdown) }
	cancelShutdown := c.gateway.shutdown.Before(0, func() {
		if c.response.Withdraw() {
			stop()
		}
	})
	cancelClosing := c.gateway.closing.Before(0, stop)
	ctx, cancelDeadline := context.WithDeadline(ctx, c.deadline)
	return ctx, func() {
		cancelShutdown()
		cancelClosing()
		cancelDeadline()
		cancel(nil)
	}
}
