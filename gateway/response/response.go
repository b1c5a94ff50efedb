// Package response is the only way to write to a caller. It keeps a response from having two heads, bytes after
// its end, or an end that looks whole though nothing has shown that the body is.
package response

import (
	"io"
	"maps"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// State is how far a response has got.
type State int

// The states of a response.
const (
	// Unsent: the caller has received nothing.
	Unsent State = iota
	// Begun: the head has been sent, and bytes of the body may have been.
	Begun
	// Complete: the body is whole.
	Complete
)

// String returns the state's name in errors.
func (s State) String() string { return [...]string{"unsent", "begun", "complete"}[s] }

// ErrOrder is returned for a write that the state does not allow. Nothing has been written then.
var ErrOrder = errors.New("response: not allowed in this state")

// ErrWithdrawn is returned for the head of a stream that has been withdrawn.
var ErrWithdrawn = errors.New("response: the stream was withdrawn before it began")

// Values of Writer.progress.
const (
	fresh     int32 = iota
	withdrawn       // only a whole response may follow
	begun
)

// Writer writes one response. Only Withdraw is safe for concurrent use.
type Writer struct {
	writer http.ResponseWriter
	state  State
	// progress decides between a stream that begins and its withdrawal.
	progress atomic.Int32
	// last reports whether the connection ends with the response; nil stands for no.
	last func() bool
}

// New returns a Writer of a response of which nothing has been sent.
func New(w http.ResponseWriter) *Writer { return &Writer{writer: w} }

// CloseConnectionIf lets the caller's connection end with the response if last returns true when the head is sent.
func (w *Writer) CloseConnectionIf(last func() bool) { w.last = last }

// State returns the response's state.
func (w *Writer) State() State { return w.state }

// Withdraw keeps a stream from beginning, so that the caller can still be sent a whole response. It returns false if the
// response has begun.
func (w *Writer) Withdraw() bool {
	return w.progress.CompareAndSwap(fresh, withdrawn) || w.progress.Load() == withdrawn
}

// BeginStream sends the head of a response whose body arrives bit by bit, unless it has been withdrawn.
func (w *Writer) BeginStream(status int, header http.Header) error {
	if w.state == Unsent && !w.progress.CompareAndSwap(fresh, begun) {
		return ErrWithdrawn
	}
	return w.Begin(status, header)
}

// CloseConnection lets the caller's connection end with the response.
func (w *Writer) CloseConnection() { w.writer.Header().Set("Connection", "close") }

// Controller returns the controller of the caller's connection.
func (w *Writer) Controller() *http.ResponseController { return http.NewResponseController(w.writer) }

// Begin sends the head.
func (w *Writer) Begin(status int, header http.Header) error {
	if w.state != Unsent {
		return errors.Wrapf(ErrOrder, "head with status %d while %s", status, w.state)
	}
	w.state = Begun
	w.progress.Store(begun)
	maps.Copy(w.writer.Header(), header)
	if w.last != nil && w.last() {
		w.CloseConnection()
	}
	w.writer.WriteHeader(status)
	return nil
}

// Write sends a part of the body.
func (w *Writer) Write(p []byte) (int, error) {
	if w.state != Begun {
		return 0, errors.Wrapf(ErrOrder, "%d bytes while %s", len(p), w.state)
	}
	return w.writer.Write(p)
}

// Complete records that the body is whole.
func (w *Writer) Complete() error {
	if w.state != Begun {
		return errors.Wrapf(ErrOrder, "end while %s", w.state)
	}
	w.state = Complete
	return nil
}

// WriteWhole sends a head and a body of text.
func (w *Writer) WriteWhole(status int, header http.Header, text string) error {
	if err := w.Begin(status, header); err != nil {
		return err
	}
	if _, err := io.WriteString(w, text); err != nil {
		return errors.Wrap(err, "write response")
	}
	return w.Complete()
}
