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

// reply is an endpoint's answer, its body not yet read.
type reply struct {
	status   int
	header   http.Header
	answer   Answer
	body     io.Reader
	unframed bool // its end is the connection's end
	endpoint *directory.Listed

	pool    *pool
	conn    *endpointConn
	written <-chan error
	keep    time.Duration
	stop    func() bool
	// watchdog is nil where the request could not go on elsewhere.
	watchdog *watchdog
}

// hear notes that the endpoint gave a sign of life.
func (r *reply) hear() {
	if r.watchdog != nil {
		r.watchdog.hear()
	}
}

// release ends what looks after the exchange; it tells whether its context still
// stood, so that nothing has disturbed the connection.
func (r *reply) release() bool {
	if r.watchdog != nil {
		r.watchdog.stop()
		if r.watchdog.unreachable.Load() {
			r.stop()
			return false
		}
	}
	return r.stop()
}

// maxCrossed is how many answers to other requests are passed over on a connection
// before it is given up.
const maxCrossed = 3

// errCrossed is returned when a connection brings answers to other requests only.
var errCrossed = errors.New("answer belongs to another request")

// exchange sends a request to an endpoint and reads the head of its answer. ctx
// bounds the whole exchange, the body included: its end closes the connection, so
// that the endpoint drops the work.
//
// silence is after which time without a byte the endpoint is probed; 0: never, for
// requests that could not go on elsewhere.
func (g *Gateway) exchange(ctx context.Context, e *directory.Listed, out *outgoing, once bool, silence time.Duration) (*reply, *sendError) {
	conn, err := g.pool.get(ctx, e, once)
	if err != nil {
		if ctx.Err() == nil {
			g.markUnreachable(e, err.Error())
		}
		return nil, &sendError{attempt.NotSent, err}
	}
	g.countConnection(conn.reused)
	r := &reply{endpoint: e, pool: g.pool, conn: conn}
	r.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if silence > 0 {
		r.watchdog = g.watch(ctx, r, silence)
	}
	r.written = out.send(conn)
	if err := r.readHead(g.dialect, out); err != nil {
		r.abandon()
		return nil, &sendError{attempt.Broken, err}
	}
	return r, nil
}

// readHead reads answers until one belongs to the request. A late second answer to
// an earlier request may stand before it; its ID tells.
func (r *reply) readHead(dialect Dialect, out *outgoing) error {
	for crossed := 0; crossed < maxCrossed; {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: out.method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		r.hear()
		if response.StatusCode < http.StatusOK {
			continue
		}
		r.answer = dialect.ReadAnswer(response.StatusCode, response.Header)
		unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		if r.answer.ID != out.id {
			crossed++
			if unframed || response.Close {
				return errCrossed
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read another request's answer")
			}
			continue
		}
		r.status, r.header, r.body, r.unframed = response.StatusCode, response.Header, response.Body, unframed
		r.keep = keepFor(response)
		return nil
	}
	return errCrossed
}

// keepFor tells how long the endpoint keeps the connection; 0: it closes it.
func keepFor(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return idleMost
}

// abandon closes the connection; the endpoint drops what it does for the request.
func (r *reply) abandon() {
	r.release()
	_ = r.conn.Close()
}

// finish ends an exchange whose body was read to its end. The connection is used
// again only if nothing is doubtful about it: the request was written whole and
// nothing stands behind the answer.
func (r *reply) finish() {
	whole := false
	select {
	case err := <-r.written:
		whole = err == nil
	default:
	}
	if !r.release() || !whole || r.unframed || r.keep <= 0 || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.endpoint.Life, r.conn, r.keep)
}

// outgoing is a request as it is written to endpoints.
type outgoing struct {
	id, method, target, host string
	header                   http.Header
	body                     []byte
}

// inlineBytes is the largest request that is written before the answer is awaited. A
// longer one is written beside: an endpoint may answer before it has read it all, and
// with both sides' buffers full neither would go on.
const inlineBytes = 16 << 10

// send writes the request and gives the outcome.
func (o *outgoing) send(conn io.Writer) <-chan error {
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
	if head.Len() <= inlineBytes {
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
