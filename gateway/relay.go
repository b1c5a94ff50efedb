package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/eventlog"
	"aspenyard.example/gateway/response"
	"aspenyard.example/result"
)

// bufferedResponse is a response whose body has been read completely.
type bufferedResponse struct {
	status int
	header http.Header
	// body is nil once it has been written.
	body [][]byte
}

// maxBufferedBytes bounds a buffered response. Responses are buffered so that one that breaks off
// can be requested again, or at least is not relayed as if it were complete.
const maxBufferedBytes = 8 << 20

var errResponseTooLong = errors.New("response is too large to be buffered")

// relayBuffered reads a response completely and then writes it to the caller. A response with
// status 500 or above is not written but kept in failedResponse.
func (f *forwarding) relayBuffered(ctx context.Context, r *endpointResponse) (attempt.SendOutcome, error) {
	body, err := f.readResponse(r.body, r.length)
	err = r.bodyError(err)
	if err == nil {
		err = f.gateway.checkEnd(ctx, r, f.route.Repeatable())
	}
	if err != nil {
		r.abandon()
		f.gateway.handleEndless(r.endpoint, err)
		return attempt.Broken, errors.Wrap(err, "read response body")
	}
	r.finish()
	response := &bufferedResponse{status: r.status, header: r.header, body: body}
	if r.status >= http.StatusInternalServerError {
		if f.failedResponse != nil {
			f.failedResponse.drop(f.call)
		}
		f.failedResponse = response
		return attempt.Failed, errors.Errorf("endpoint answered with status %d", r.status)
	}
	if failure := response.writeTo(f.call); failure != nil {
		return attempt.Broken, failure
	}
	return 0, nil
}

// writeTo writes the response to the caller. It returns nil unless another response has begun: a request that
// ends with an endpoint's own failure response has been answered, and finish must not write another one.
func (b *bufferedResponse) writeTo(c *call) *result.Error {
	if c.responseHeld.Bytes() > admission.SmallBody {
		if conn := c.backlog(); conn != nil {
			conn.setSendBuffer(largeSendBuffer)
			defer conn.setSendBuffer(callerSendBuffer)
		}
	}
	if err := c.response.Begin(b.status, endToEndHeaders(b.header)); err != nil {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "%v", err)
	}
	c.firstByteAt = time.Now()
	for i, segment := range b.body {
		if _, err := c.response.Write(segment); err != nil {
			c.log.Add("caller_lost", eventlog.Error(err))
			return nil
		}
		b.body[i] = nil
		c.responseHeld.Shrink(int64(cap(segment)))
	}
	if err := c.response.Complete(); err != nil {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "%v", err)
	}
	return nil
}

// drop gives up the body of a response that is not written.
func (b *bufferedResponse) drop(c *call) {
	for _, segment := range b.body {
		c.responseHeld.Shrink(int64(cap(segment)))
	}
	b.body = nil
}

// endToEndHeaders returns the end-to-end headers of an endpoint's response.
func endToEndHeaders(from http.Header) http.Header {
	header := forwardableHeaders(from)
	if from.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps the server from sniffing a type
	}
	return header
}

// discard ends an exchange whose response is not relayed. The connection is kept only if the rest
// of the body is short, complete and arrives at once.
func (r *endpointResponse) discard() {
	r.limitTime(discardTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxDiscard))
	r.unlimitTime()
	if err != nil || n == maxDiscard {
		r.abandon()
		return
	}
	r.finish()
}

// maxDiscard is how many bytes of a body are read to keep its connection.
const maxDiscard = 16 << 10

// streamRelay relays the events of a stream to the caller. It relays only complete events, so that
// a stream that breaks off in the middle of one can be resumed at another endpoint.
type streamRelay struct {
	*call
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	lastEventAt time.Time
	controller  *http.ResponseController
}

var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errEndedByCrash   = errors.New("endpoint ended with the response's connection")
	errEndedInUpload  = errors.New("response's connection broke while the request was written")
	errCallerWrite    = errors.New("write to the caller failed")
)

// run relays one endpoint's stream to its end. It calls onFirstEvent at the first event, which shows
// that the prompt's prefill is complete, and onPause with the time between two events.
func (s *streamRelay) run(ctx context.Context, r *endpointResponse, onFirstEvent func(), onPause func(pause time.Duration)) (attempt.SendOutcome, error) {
	var previous time.Time
	events := newEventReader(r.body)
	defer events.release()
	emptyBytes := 0
	for {
		event, id, hasData, err := events.next()
		if emptyBytes += len(event); hasData || id != "" {
			emptyBytes = 0
		} else if err == nil && emptyBytes > maxEventBytes {
			err = &endlessError{"comments", fmt.Sprintf("%d bytes", maxEventBytes)}
		}
		if err == io.EOF {
			if endErr := s.gateway.checkEnd(ctx, r, s.route.Repeatable()); endErr != nil {
				err = endErr
			}
		}
		if err == io.EOF {
			r.finish()
			if err := s.end(r); err != nil {
				return attempt.Broken, err
			}
			return 0, nil
		}
		if err = r.bodyError(err); err != nil {
			r.abandon()
			s.gateway.handleEndless(r.endpoint, err)
			return attempt.Broken, errors.Wrapf(err, "after event %q", s.lastEventID)
		}
		r.noteActivity()
		now := time.Now()
		if previous.IsZero() {
			onFirstEvent()
		} else {
			onPause(now.Sub(previous))
		}
		previous = now
		if s.begun() && !s.isNew(id) {
			continue
		}
		if err := s.writeEvent(r, event, id, now, events.buffered()); err != nil {
			r.abandon()
			return attempt.Broken, err
		}
	}
}

// isNew reports whether the caller lacks an event. An endpoint that resumes a stream may start
// with events that the caller has already received.
func (s *streamRelay) isNew(id string) bool {
	return id == "" || laterEvent(id, s.lastEventID)
}

// laterEvent reports whether id is greater than last. Event IDs are decimal numbers without
// leading zeros.
func laterEvent(id, last string) bool {
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

// begun reports whether the caller has been sent the response's head.
func (s *streamRelay) begun() bool { return s.response.State() != response.Unsent }

// writeHead sends the response's head. A stream that is resumed at another endpoint keeps it.
func (s *streamRelay) writeHead(r *endpointResponse) error {
	s.controller = s.response.Controller()
	if conn := s.backlog(); conn != nil {
		conn.beginStream()
	}
	return s.response.BeginStream(r.status, endToEndHeaders(r.header))
}

// end completes the response; that of a stream without events has only a head.
func (s *streamRelay) end(r *endpointResponse) error {
	if !s.begun() {
		if err := s.writeHead(r); err != nil {
			return err
		}
	}
	return s.response.Complete()
}

// writeEvent sends an event that arrived at now to the caller. It flushes unless more says that
// further events are buffered.
func (s *streamRelay) writeEvent(r *endpointResponse, event []byte, id string, now time.Time, more bool) error {
	if !s.begun() {
		if err := s.writeHead(r); err != nil {
			return err
		}
		s.firstByteAt = now
	} else if s.eventsSent > 0 {
		if pause := now.Sub(s.lastEventAt); pause > s.longestPause {
			s.longestPause, s.longestPauseEnd = pause, now
		}
	}
	if _, err := s.response.Write(event); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	s.lastEventAt = now
	s.eventsSent++
	if id != "" {
		s.lastEventID = id
	}
	if more {
		return nil
	}
	if err := s.controller.Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}
