package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/httpcheck"
)

// sendError is a failure to obtain a response's head. outcome says whether the request may have
// run.
type sendError struct {
	outcome attempt.SendOutcome
	cause   error
}

// Error implements error.
func (e *sendError) Error() string { return e.outcome.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// endpointResponse is an endpoint's response whose body has not been read yet.
type endpointResponse struct {
	status         int
	header         http.Header
	parsed         Response
	body           io.Reader
	length         int64 // of the body in bytes; negative if the head does not say
	closeDelimited bool  // the body ends with the connection
	endpoint       *directory.EndpointState
	// beganAt is when the exchange began, in nanoseconds since the gateway's start.
	beganAt int64

	pool        *pool
	conn        *endpointConn
	ctx         context.Context // of the exchange
	writeResult <-chan error
	// keepAlive is how long the connection may be reused.
	keepAlive time.Duration
	// stop ends the cancellation by the context; it returns false if the context has ended.
	stop func() bool
	// watchdog is nil if the request could not be retried at another endpoint.
	watchdog *watchdog
}

// noteActivity tells the watchdog that data came from the endpoint.
func (r *endpointResponse) noteActivity() {
	if r.watchdog != nil {
		r.watchdog.noteActivity()
	}
}

// givenUp reports whether the watchdog has ended the exchange.
func (r *endpointResponse) givenUp() bool {
	return r.watchdog != nil && r.watchdog.givenUp.Load()
}

// stopWatching stops the watchdog and the cancellation by the context. It reports whether neither
// has fired, so that the connection can be reused.
func (r *endpointResponse) stopWatching() bool {
	if r.watchdog != nil {
		r.watchdog.stop()
		if r.givenUp() {
			r.stop()
			return false
		}
	}
	return r.stop()
}

// maxStrayResponses is how many responses to other requests are discarded on a connection before
// it is closed.
const maxStrayResponses = 3

// errStrayResponse is returned when a connection delivers only responses to other requests.
var errStrayResponse = errors.New("response belongs to another request")

// errConnectedLate is returned when a request was held up for so long that it must be placed anew.
var errConnectedLate = errors.New("the connection to the endpoint took too long")

// exchange sends a request to an endpoint and reads the head of the response. ctx covers the whole
// exchange, including the body: when it ends, the connection is closed so that the endpoint
// cancels the request.
//
// nonRepeatable is set for requests that must not run twice. silence is the time without a byte
// after which the endpoint is probed; 0 disables probing, for requests that could not be retried
// at another endpoint. handOver says when the exchange is given up for another one as the process stops.
func (g *Gateway) exchange(ctx context.Context, e *directory.EndpointState, out *outgoingRequest, nonRepeatable bool, silence time.Duration, handOver *handOver) (*endpointResponse, *sendError) {
	conn, err := g.pool.get(ctx, e, out.used, nonRepeatable)
	if err != nil {
		if ctx.Err() == nil {
			g.markUnreachable(e, err.Error())
		}
		return nil, &sendError{attempt.NotSent, err}
	}
	g.countConnection(conn.reused)
	r := &endpointResponse{ctx: ctx, endpoint: e, beganAt: g.uptimeNanos(), pool: g.pool, conn: conn}
	if err := out.beforeWrite(); err != nil { // connecting takes up to dialTimeout
		_ = conn.Close()
		return nil, &sendError{attempt.NotSent, err}
	}
	r.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if silence > 0 {
		r.watchdog = g.startWatchdog(ctx, r, silence, handOver)
	}
	out.used.add(conn)
	r.writeResult = out.write(conn)
	if err := r.readHead(g.headerCodec, out); err != nil {
		r.abandon()
		g.handleEndless(e, err)
		return nil, &sendError{attempt.Broken, err}
	}
	return r, nil
}

// readHead reads responses until one belongs to the request. A late second response to an earlier
// request may precede it; the request ID distinguishes them.
func (r *endpointResponse) readHead(codec HeaderCodec, out *outgoingRequest) error {
	r.conn.limitHeads()
	defer r.conn.unlimit()
	interim := 0
	for strays := 0; strays < maxStrayResponses; {
		response, err := r.readResponse(out.method)
		if err != nil {
			return err
		}
		r.noteActivity()
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return &endlessError{"interim", strconv.Itoa(maxInterimResponses) + " responses"}
			}
			continue
		}
		r.parsed = codec.ReadResponse(response.StatusCode, response.Header)
		closeDelimited := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		if r.parsed.ID != out.id {
			strays++
			r.pool.strays.Inc()
			if closeDelimited || response.Close {
				return errStrayResponse
			}
			if err := r.discardStray(response.Body); err != nil {
				return err
			}
			continue
		}
		r.status, r.header, r.body, r.length, r.closeDelimited = response.StatusCode, response.Header, response.Body, response.ContentLength, closeDelimited
		if response.Body == http.NoBody {
			r.length = 0 // the head may state the length of a body that it does not have, as after HEAD
		}
		r.keepAlive = keepAliveTimeout(response)
		return nil
	}
	return errStrayResponse
}

// readResponse reads the head of one response, however long it takes to begin.
func (r *endpointResponse) readResponse(method string) (*http.Response, error) {
	_, err := r.conn.reader.Peek(1)
	if err == nil && !r.conn.headArrived() {
		r.limitTime(headTimeout)
		defer r.unlimitTime()
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(r.conn.reader, &http.Request{Method: method})
	}
	if err == nil {
		err = httpcheck.CheckHead(response)
	}
	return response, errors.Wrap(r.readError(err, "head", headTimeout), "read response head")
}

// discardStray reads the body of a response to another request.
func (r *endpointResponse) discardStray(body io.Reader) error {
	r.conn.headLimited = false
	defer func() { r.conn.headLimited = true }()
	r.limitTime(headTimeout)
	defer r.unlimitTime()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBytes+1))
	if n > maxBufferedBytes {
		return &endlessError{"stray", fmt.Sprintf("%d bytes", maxBufferedBytes)}
	}
	return errors.Wrap(r.readError(err, "stray", headTimeout), "discard response to another request")
}

// keepAliveTimeout returns how long the connection may be reused; 0 if the endpoint closes it.
func keepAliveTimeout(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds)*time.Second - keepAliveMargin
			}
		}
	}
	return maxIdleTime
}

// awaitUpload waits until the request has been written, or the exchange has ended, and reports whether all of it was. The error of
// a reset goes to the write or to the read of a connection, whichever comes first; the other sees an ordinary end.
func (r *endpointResponse) awaitUpload(ctx context.Context) bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// abandon closes the connection, on which the endpoint cancels the request.
func (r *endpointResponse) abandon() {
	r.stopWatching()
	_ = r.conn.Close()
}

// finish ends an exchange whose body was read completely. The connection is reused only if its
// state is certain: the request was written completely and no data follows the response.
func (r *endpointResponse) finish() {
	written := false
	select {
	case err := <-r.writeResult:
		written = err == nil
	default:
	}
	if !r.stopWatching() || !written || r.closeDelimited || r.keepAlive <= 0 || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.endpoint, r.conn, r.keepAlive)
}

// outgoingRequest is a request as it is written to an endpoint.
type outgoingRequest struct {
	id, method, target, host string
	header                   http.Header
	body                     []byte
	// used are the connections on which the request was sent before; exchange adds its own.
	used *usedConns
	// beforeWrite is called right before the request is written, which it is not if there is an error.
	beforeWrite func() error
}

// maxInlineWrite is the size in bytes up to which a request is written before the response is
// read. Larger requests are written concurrently: an endpoint may respond before it has read the
// whole request, and with both sides' buffers full the exchange would deadlock.
const maxInlineWrite = 16 << 10

// write writes the request and returns a channel that receives the result of the write.
func (o *outgoingRequest) write(conn io.Writer) <-chan error {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(o.method + " " + o.target + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	_ = o.header.Write(&head)
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	writeResult := make(chan error, 1)
	if head.Len()+len(o.body) <= maxInlineWrite {
		head.Write(o.body)
		_, err := conn.Write(head.Bytes())
		writeResult <- err
		return writeResult
	}
	go func() { // in two writes, as a copy would double the memory that a large body takes
		_, err := conn.Write(head.Bytes())
		if err == nil {
			_, err = conn.Write(o.body)
		}
		writeResult <- err
	}()
	return writeResult
}
