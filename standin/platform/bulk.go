package platform

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Bulk is an endpoint with large responses, which it sends as fast or as slowly as the query of a request
// says: size is the number of bytes of a chunk, chunks their number and pace_ms the pause between them.
// With stream=1 each chunk is an event of a stream.
type Bulk struct {
	// UnreadTimeout is how long a response may stay unread before the endpoint cuts it off. Default 2s.
	UnreadTimeout time.Duration
	// Complete counts the responses that were sent completely, CutOff those that stayed unread for too long and
	// Cancelled those whose connection was closed.
	Complete, CutOff, Cancelled atomic.Int64

	server   *http.Server
	listener net.Listener
}

// Start listens on a free port of the loopback interface.
func (b *Bulk) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if b.UnreadTimeout == 0 {
		b.UnreadTimeout = 2 * time.Second
	}
	b.listener, b.server = listener, &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

// Stop closes the port and all connections.
func (b *Bulk) Stop() {
	if b.server != nil {
		_ = b.server.Close()
	}
}

// Registration returns the value that the endpoint writes under servers/ID.
func (b *Bulk) Registration(id, service string) []byte {
	return (&Worker{ID: id, Service: service}).RegistrationAt(b.listener.Addr().String(), "ready")
}

// BulkChunk returns chunk n, counted from 1, of a response with chunks of the given size.
func BulkChunk(stream bool, n, size int) []byte {
	if !stream {
		return bytes.Repeat([]byte{byte('a' + n%26)}, size)
	}
	head := fmt.Sprintf("id: %d\ndata: ", n)
	return []byte(head + string(bytes.Repeat([]byte{'x'}, max(size-len(head)-2, 0))) + "\n\n")
}

func (b *Bulk) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") { // orders and queries, of which it knows none
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	query := r.URL.Query()
	number := func(name string) int { n, _ := strconv.Atoi(query.Get(name)); return n }
	size, chunks, stream := number("size"), number("chunks"), query.Get("stream") != ""
	w.Header().Set("X-Aspenyard-Attempt-Id", r.Header.Get("X-Aspenyard-Attempt-Id"))
	w.Header().Set("X-Aspenyard-Server-Stamp", "s1")
	if !stream {
		w.Header().Set("Content-Length", strconv.Itoa(size*chunks))
	}
	control := http.NewResponseController(w)
	for n := 1; n <= chunks; n++ {
		_ = control.SetWriteDeadline(time.Now().Add(b.UnreadTimeout))
		_, err := w.Write(BulkChunk(stream, n, size))
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			b.countEnd(err)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(number("pace_ms")) * time.Millisecond)
	}
	b.Complete.Add(1)
}

// countEnd counts a response that ended early.
func (b *Bulk) countEnd(err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		b.CutOff.Add(1)
		return
	}
	b.Cancelled.Add(1)
}
