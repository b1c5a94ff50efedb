package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/attempt"
	"aspenyard.example/eventlog"
	"aspenyard.example/result"
)

// bufferedResponse is an answer that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxBufferedBytes bounds an answer that is held until it is whole. Answers are held so
// that one that breaks off can be asked for again, or is not passed on as if whole.
const maxBufferedBytes = 8 << 20

var errResponseTooLong = errors.New("the answer is too long to be held")

// relayBuffered reads an answer to its end and writes it to the caller.
func (f *forwarding) relayBuffered(r *endpointResponse) (attempt.SendOutcome, error) {
	body, err := io.ReadAll(io.LimitReader(r.body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
		err = errResponseTooLong
	}
	if err != nil {
		r.abandon()
		return attempt.Broken, errors.Wrap(err, "read answer's body")
	}
	r.finish()
	answer := &bufferedResponse{status: r.status, header: r.header, body: body}
	if r.status >= http.StatusInternalServerError {
		f.failedResponse = answer
		return attempt.Failed, errors.Errorf("the endpoint answered with status %d", r.status)
	}
	answer.writeTo(f.call)
	return 0, nil
}

// writeTo writes the answer to the caller. The nil that it returns lets a failure of
// the endpoint end a call as it was given.
func (a *bufferedResponse) writeTo(c *call) *result.Error {
	if c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
	copyHeaders(c.writer.Header(), a.header)
	c.writer.WriteHeader(a.status)
	if _, err := c.writer.Write(a.body); err != nil {
		c.log.Add("caller_lost", eventlog.Error(err))
	}
	return nil
}

// copyHeaders copies the headers of an endpoint's answer that are passed on.
func copyHeaders(to, from http.Header) {
	for name, values := range forwardableHeaders(from) {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // or the server would guess one
	}
}

// discard ends an exchange whose answer is of no use: its connection is kept
// only if the body is short and whole.
func (r *endpointResponse) discard() {
	if n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxDiscard)); err != nil || n == maxDiscard {
		r.abandon()
		return
	}
	r.finish()
}

const maxDiscard = 16 << 10

// streamRelay passes the events of a stream on. Only whole events are passed on, so that
// after a break in the midst of one the stream can go on elsewhere.
type streamRelay struct {
	*call
	// lastEventID is the ID of the lastEventID event that the caller has.
	lastEventID string
	headSent    bool
	lastEventAt time.Time
	controller  *http.ResponseController
}

var (
	errTruncatedEvent = errors.New("the stream ended in the midst of an event")
	errCallerWrite    = errors.New("the caller takes no more")
)

// run relays one endpoint's stream to its end. prefilled is called with the first event,
// which shows that the prompt has been read, and paused with the time between two events.
func (s *streamRelay) run(r *endpointResponse, onFirstEvent func(), onPause func(pause time.Duration)) (attempt.SendOutcome, error) {
	var previous time.Time
	reader := bufio.NewReaderSize(r.body, readBufferSize)
	for {
		event, id, err := readEvent(reader)
		if err == io.EOF {
			r.finish()
			if !s.headSent {
				s.writeHead(r)
			}
			return 0, nil
		}
		if err != nil {
			r.abandon()
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
		if s.headSent && !s.isNew(id) {
			continue
		}
		if err := s.writeEvent(r, event, id, now, reader.Buffered() > 0); err != nil {
			r.abandon()
			return attempt.Broken, err
		}
	}
}

// isNew tells whether an event comes after what the caller has: an endpoint at
// which a stream goes on may begin with events that the caller has already.
func (s *streamRelay) isNew(id string) bool {
	return id == "" || laterEvent(id, s.lastEventID)
}

// laterEvent compares the IDs of two events, which are numbers.
func laterEvent(id, last string) bool {
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

// writeHead writes the answer's head; a stream that goes on elsewhere keeps it.
func (s *streamRelay) writeHead(r *endpointResponse) {
	s.headSent = true
	s.controller = http.NewResponseController(s.writer)
	copyHeaders(s.writer.Header(), r.header)
	s.writer.WriteHeader(r.status)
}

// writeEvent passes an event that came now on; more events are at hand or it is flushed.
func (s *streamRelay) writeEvent(r *endpointResponse, event []byte, id string, now time.Time, more bool) error {
	if !s.headSent {
		s.writeHead(r)
		s.firstByteAt = now
	} else if s.eventsSent > 0 {
		if pause := now.Sub(s.lastEventAt); pause > s.longestPause {
			s.longestPause, s.longestPauseEnd = pause, now
		}
	}
	_ = s.controller.SetWriteDeadline(now.Add(callerWriteTimeout))
	if _, err := s.writer.Write(event); err != nil {
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

// callerWriteTimeout is how long a caller may leave the connection full before it is given
// up: its stream holds an engine's slot meanwhile.
const callerWriteTimeout = 3 * time.Second

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// readEvent reads one event with the empty line that ends it, and its ID. io.EOF
// means that the stream ended between events.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes:
			continue
		case err == io.EOF && len(event) == 0:
			return nil, "", io.EOF
		case err == io.EOF:
			return nil, "", errTruncatedEvent
		case err != nil:
			return nil, "", err
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 {
			return event, id, nil
		} else if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = strings.TrimSpace(string(value))
		}
	}
}
