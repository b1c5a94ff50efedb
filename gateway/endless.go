package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/directory"
)

// Bounds of what an endpoint may send that is no response, or not yet one. A faulty endpoint sends bytes for
// as long as they are read.
const (
	// maxHeadBytes bounds the heads that are read in one exchange, those of interim responses and of
	// responses to other requests included.
	maxHeadBytes = 32 << 10
	// maxInterimResponses is how many interim responses (1xx) may precede a response.
	maxInterimResponses = 4
	// headTimeout is the time from the first byte of a head to its last, and to the last byte of a response
	// to another request. Packets that are lost on the way arrive sooner.
	headTimeout = 5 * time.Second
	// maxEventBytes bounds one event of a stream, and the events in a row that have neither data nor an ID.
	maxEventBytes = 128 << 10
	// discardTimeout bounds the time for which the rest of a response that is not used is read, to keep its
	// connection.
	discardTimeout = 100 * time.Millisecond
	// avoidEndlessFor is how long an endpoint is avoided that has exceeded one of these bounds.
	avoidEndlessFor = 5 * time.Second
)

// endlessError is the error of an endpoint that exceeds a bound.
type endlessError struct {
	// part is what exceeds it: "head", "interim", "stray", "event", "comments", "body" or
	// "framing", of a body in chunks.
	part  string
	bound string
}

// Error implements error.
func (e *endlessError) Error() string {
	return fmt.Sprintf("endpoint exceeds the bound of %s for %s", e.bound, e.part)
}

// longTrailerText is part of the error of net/http for trailers that exceed its buffer; no value is exported for it.
const longTrailerText = "suspiciously long trailer"

// bodyError returns the error of reading a body. Framing that net/http finds too long counts as endless. It says the same
// of a trailer that is cut.
func (r *endpointResponse) bodyError(err error) error {
	if errors.Is(err, http.ErrLineTooLong) || err != nil && r.conn.readErr == nil && strings.Contains(err.Error(), longTrailerText) {
		return &endlessError{"framing", fmt.Sprintf("%d bytes", readBufferSize)}
	}
	return err
}

// handleEndless avoids an endpoint whose response has exceeded a bound, and counts the case.
func (g *Gateway) handleEndless(e *directory.EndpointState, err error) {
	var endless *endlessError
	if !errors.As(err, &endless) {
		return
	}
	g.loadTracker.Avoid(e.Incarnation, time.Now().Add(avoidEndlessFor))
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_endless_responses_total{part=%q}`, endless.part)).Inc()
}

// limitTime lets reads fail after a time.
func (r *endpointResponse) limitTime(timeout time.Duration) {
	_ = r.conn.SetReadDeadline(time.Now().Add(timeout))
	r.restoreAborted()
}

// unlimitTime ends limitTime.
func (r *endpointResponse) unlimitTime() {
	_ = r.conn.SetReadDeadline(time.Time{})
	r.restoreAborted()
}

// restoreAborted sets the deadline in the past again that ends the exchange if it was aborted meanwhile.
func (r *endpointResponse) restoreAborted() {
	if r.aborted() {
		_ = r.conn.SetDeadline(time.Unix(1, 0))
	}
}

// aborted reports whether the exchange was ended by the context or the watchdog.
func (r *endpointResponse) aborted() bool { return r.ctx.Err() != nil || r.givenUp() }

// readError returns the error of reading part of a response: an endlessError if a bound was exceeded.
func (r *endpointResponse) readError(err error, part string, timeout time.Duration) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(r.conn.readErr, errHeadBytes):
		return errHeadBytes
	case errors.Is(r.conn.readErr, os.ErrDeadlineExceeded) && !r.aborted():
		return &endlessError{part, timeout.String()}
	}
	return err
}

// headArrived reports whether a whole head is in the connection's buffer, so that nothing has to be awaited.
func (c *endpointConn) headArrived() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// limitHeads bounds the bytes that are read from now on, until unlimit is called.
func (c *endpointConn) limitHeads() {
	c.headBytesLeft, c.headLimited, c.readErr = maxHeadBytes, true, nil
}

// unlimit ends limitHeads.
func (c *endpointConn) unlimit() { c.headLimited = false }

var errHeadBytes = &endlessError{"head", fmt.Sprintf("%d bytes", maxHeadBytes)}
