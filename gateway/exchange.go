package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
)

// sendError is a failure to get an answer's head, and what it means for the request.
type sendError struct {
	outcome attempt.SendOutcome
	cause   error
}

// Error implements error.
func (e *sendError) Error() string { return e.outcome.String() + ": " + e.cause.Error() }

// Unwrap gives the cause.
func (e *sendError) Unwrap() error { return e.cause }

// endpointResponse is an endpoint's answer, its body not yet read.
type endpointResponse struct {
	status         int
	header         http.Header
	parsed         Response
	body           io.Reader
	closeDelimited bool // its end is the connection's end
	endpoint       *directory.EndpointState

	pool        *pool
	conn        *endpointConn
	writeResult <-chan error
	keepAlive   time.Duration
	stop        func() bool
	// watchdog is nil where the request could not go on elsewhere.
	watchdog *watchdog
}

// noteActivity notes that the endpoint gave a sign of life.
func (r *endpointResponse) noteActivity() {
	if r.watchdog != nil {
		r.watchdog.noteActivity()
	}
}

// stopWatching ends what looks after the exchange; it tells whether its context still
// stood, so that nothing has disturbed the connection.
func (r *endpointResponse) stopWatching() bool {
	if r.watchdog != nil {
		r.watchdog.stop()
		if r.watchdog.unreachable.Load() {
			r.stop()
			return false
		}
	}
	return r.stop()
}

// maxStrayResponses is how many answers to other requests are passed over on a connection
// before it is given up.
const maxStrayResponses = 3

// errStrayResponse is returned when a connection brings answers to other requests only.
var errStrayResponse = errors.New("answer belongs to another request")

// exchange sends a request to an endpoint and reads the head of its answer. ctx
// bounds the whole exchange, the body included: its end closes the connection, so
// that the endpoint drops the work.
//
// silence is after which time without a byte the endpoint is probed; 0: never, for
// requests that could not go on elsewhere.
func (g *Gateway) exchange(ctx context.Context, e *directory.EndpointState, out *outgoingRequest, once bool, silence time.Duration) (*endpointResponse, *sendError) {
	conn, err := g.pool.get(ctx, e, once)
	if err != nil {
		if ctx.Err() == nil {
			g.markUnreachable(e, err.Error())
		}
		return nil, &sendError{attempt.NotSent, err}
	}
	g.countConnection(conn.reused)
	r := &endpointResponse{endpoint: e, pool: g.pool, conn: conn}
	r.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if silence > 0 {
		r.watchdog = g.startWatchdog(ctx, r, silence)
	}
	r.writeResult = out.write(conn)
	if err := r.readHead(g.dialect, out); err != nil {
		r.abandon()
		return nil, &sendError{attempt.Broken, err}
	}
	return r, nil
}

// readHead reads answers until one belongs to the request. A late second answer to
// an earlier request may stand before it; its ID tells.
func (r *endpointResponse) readHead(dialect Dialect, out *outgoingRequest) error {
	for strays := 0; strays < maxStrayResponses; {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: out.method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		r.noteActivity()
		if response.StatusCode < http.StatusOK {
			continue
		}
		r.parsed = dialect.ReadResponse(response.StatusCode, response.Header)
		unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		if r.parsed.ID != out.id {
			strays++
			if unframed || response.Close {
				return errStrayResponse
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read another request's answer")
			}
			continue
		}
		r.status, r.header, r.body, r.closeDelimited = response.StatusCode, response.Header, response.Body, unframed
		r.keepAlive = keepAliveTimeout(response)
		return nil
	}
	return errStrayResponse
}

// keepAliveTimeout tells how long the endpoint keeps the connection; 0: it closes it.
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

// abandon closes the connection; the endpoint drops what it does for the request.
func (r *endpointResponse) abandon() {
	r.stopWatching()
	_ = r.conn.Close()
}

// finish ends an exchange whose body was read to its end. The connection is used
// again only if nothing is doubtful about it: the request was written whole and
// nothing stands behind the answer.
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
	r.pool.put(r.endpoint.Incarnation, r.conn, r.keepAlive)
}

// outgoingRequest is a request as it is written to endpoints.
type outgoingRequest struct {
	id, method, target, host string
	header                   http.Header
	body                     []byte
}

// maxInlineWrite is the largest request that is written before the answer is awaited. A
// longer one is written beside: an endpoint may answer before it has read it all, and
// with both sides' buffers full neither would go on.
const maxInlineWrite = 16 << 10

// write writes the request and gives the outcome.
func (o *outgoingRequest) write(conn io.Writer) <-chan error {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(o.method + " " + o.target + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	_ = o.header.Write(&head)
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(o.body)
	written := make(chan error, 1)
	if head.Len() <= maxInlineWrite {
		_, err := conn.Write(head.Bytes())
		written <- err
		return written
	}
	go func() {
		_, err := conn.Write(head.Bytes())
		written <- err
	}()
	return written
}
