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

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// maxWholeBytes bounds an answer that is held until it is whole. Answers are held so
// that one that breaks off can be asked for again, or is not passed on as if whole.
const maxWholeBytes = 8 << 20

var errTooLong = errors.New("the answer is too long to be held")

// passWhole reads an answer to its end and writes it to the caller.
func (f *forwarding) passWhole(r *reply) (attempt.SendOutcome, error) {
	body, err := io.ReadAll(io.LimitReader(r.body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errTooLong
	}
	if err != nil {
		r.abandon()
		return attempt.Broken, errors.Wrap(err, "read answer's body")
	}
	r.finish()
	answer := &whole{status: r.status, header: r.header, body: body}
	if r.status >= http.StatusInternalServerError {
		f.failure = answer
		return attempt.Failed, errors.Errorf("the endpoint answered with status %d", r.status)
	}
	answer.write(f.call)
	return 0, nil
}

// write writes the answer to the caller. The nil that it returns lets a failure of
// the endpoint end a call as it was given.
func (a *whole) write(c *call) *result.Error {
	if c.firstAnswer.IsZero() {
		c.firstAnswer = time.Now()
	}
	copyHead(c.out.Header(), a.header)
	c.out.WriteHeader(a.status)
	if _, err := c.out.Write(a.body); err != nil {
		c.log.Add("caller_lost", eventlog.Error(err))
	}
	return nil
}

// copyHead copies the headers of an endpoint's answer that are passed on.
func copyHead(to, from http.Header) {
	for name, values := range forwardable(from) {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // or the server would guess one
	}
}

// abandonOrFinish ends an exchange whose answer is of no use: its connection is kept
// only if the body is short and whole.
func (r *reply) abandonOrFinish() {
	if n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxDiscard)); err != nil || n == maxDiscard {
		r.abandon()
		return
	}
	r.finish()
}

const maxDiscard = 16 << 10

// relay passes the events of a stream on. Only whole events are passed on, so that
// after a break in the midst of one the stream can go on elsewhere.
type relay struct {
	*call
	// last is the ID of the last event that the caller has.
	last    string
	begun   bool
	lastAt  time.Time
	control *http.ResponseController
}

var (
	errTornEvent = errors.New("the stream ended in the midst of an event")
	errCaller    = errors.New("the caller takes no more")
)

// pass relays one endpoint's stream to its end. prefilled is called with the first event,
// which shows that the prompt has been read, and paused with the time between two events.
func (s *relay) pass(r *reply, prefilled func(), paused func(gap time.Duration)) (attempt.SendOutcome, error) {
	var last time.Time
	reader := bufio.NewReaderSize(r.body, readBuffer)
	for {
		event, id, err := readEvent(reader)
		if err == io.EOF {
			r.finish()
			if !s.begun {
				s.begin(r)
			}
			return 0, nil
		}
		if err != nil {
			r.abandon()
			return attempt.Broken, errors.Wrapf(err, "after event %q", s.last)
		}
		r.hear()
		now := time.Now()
		if last.IsZero() {
			prefilled()
		} else {
			paused(now.Sub(last))
		}
		last = now
		if s.begun && !s.follows(id) {
			continue
		}
		if err := s.write(r, event, id, now, reader.Buffered() > 0); err != nil {
			r.abandon()
			return attempt.Broken, err
		}
	}
}

// follows tells whether an event comes after what the caller has: an endpoint at
// which a stream goes on may begin with events that the caller has already.
func (s *relay) follows(id string) bool {
	return id == "" || laterEvent(id, s.last)
}

// laterEvent compares the IDs of two events, which are numbers.
func laterEvent(id, last string) bool {
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

// begin writes the answer's head; a stream that goes on elsewhere keeps it.
func (s *relay) begin(r *reply) {
	s.begun = true
	s.control = http.NewResponseController(s.out)
	copyHead(s.out.Header(), r.header)
	s.out.WriteHeader(r.status)
}

// write passes an event that came now on; more events are at hand or it is flushed.
func (s *relay) write(r *reply, event []byte, id string, now time.Time, more bool) error {
	if !s.begun {
		s.begin(r)
		s.firstAnswer = now
	} else if s.events > 0 {
		if gap := now.Sub(s.lastAt); gap > s.gap {
			s.gap, s.gapAt = gap, now
		}
	}
	_ = s.control.SetWriteDeadline(now.Add(callerStall))
	if _, err := s.out.Write(event); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	s.lastAt = now
	s.events++
	if id != "" {
		s.last = id
	}
	if more {
		return nil
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	return nil
}

// callerStall is how long a caller may leave the connection full before it is given
// up: its stream holds an engine's slot meanwhile.
const callerStall = 3 * time.Second

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
			return nil, "", errTornEvent
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
