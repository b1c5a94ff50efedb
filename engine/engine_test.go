package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// newTestClient returns a client of a server that answers every request with handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(server.Listener.Addr().String())
}

// sendEvents returns a handler that sends each line as a server-sent event and then ends the
// response.
func sendEvents(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, line := range lines {
			fmt.Fprintf(w, "data: %s\n\n", line)
		}
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func chunkJSON(id string, offset int, text string) string {
	return fmt.Sprintf(`{"id":%q,"offset":%d,"choices":[{"text":%q}]}`, id, offset, text)
}

func readAll(client *Client) (text string, err error) {
	stream, err := client.Start(context.Background(), Request{RequestID: "7-1"})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err != nil {
			return text, err
		}
		text += token.Text
	}
}

func TestStreamEndsOnlyWithEndMarker(t *testing.T) {
	is := is.New(t)
	text, err := readAll(newTestClient(t, sendEvents(chunkJSON("7-1", 0, "a"), chunkJSON("7-1", 1, "b"), "[DONE]")))
	is.Equal(err, io.EOF)
	is.Equal(text, "ab")
	_, err = readAll(newTestClient(t, sendEvents(chunkJSON("7-1", 0, "a"))))
	is.True(errors.Is(err, ErrStreamBroken)) // a closed connection is no end marker
}

// Guards against a caller that gets another caller's text. That happens if a connection is
// reused that still carries an earlier response, and whatever arrives on it is taken for the
// response to the request sent last.
func TestChunkOfAnotherSequenceIsRejected(t *testing.T) {
	is := is.New(t)
	text, err := readAll(newTestClient(t, sendEvents(chunkJSON("7-1", 0, "a"), chunkJSON("6-9", 1, "foreign"), "[DONE]")))
	is.True(errors.Is(err, ErrStreamBroken))
	is.Equal(text, "a")
}

func TestResponseToAnotherCallIsRejected(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(requestKeyHeader, "crew/other") })
	_, err := client.Call(context.Background(), "filing", "crew/mine", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent)) // the call may have run
}

// Guards against reporting that a call did not run although it did. That happens if the
// connection breaks after the request was sent, and every transport error is taken for
// ErrNotSent.
func TestErrNotSentOnlyWithoutConnection(t *testing.T) {
	is := is.New(t)
	_, err := newTestClient(t, abortConnection).Call(context.Background(), "filing", "k", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent))
	_, err = newTestClient(t, abortConnection).Start(context.Background(), Request{RequestID: "7-1"})
	is.True(!errors.Is(err, ErrNotSent))
	server := httptest.NewServer(http.NotFoundHandler())
	addr := server.Listener.Addr().String()
	server.Close()
	_, err = New(addr).Call(context.Background(), "filing", "k", nil)
	is.True(errors.Is(err, ErrNotSent)) // no server listens at addr
}

func TestEndpointRefusalIsErrRefused(t *testing.T) {
	is := is.New(t)
	refuse := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "old fencing number", http.StatusConflict) })
	_, err := refuse.Call(context.Background(), "filing", "k", nil)
	is.True(errors.Is(err, ErrRefused))
	_, err = refuse.Start(context.Background(), Request{RequestID: "7-1"})
	is.True(errors.Is(err, ErrRefused))
}

func TestCancelSendsFencingNumber(t *testing.T) {
	is := is.New(t)
	seen := ""
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Get(fencingHeader) })
	client.SetFencingNumber(42)
	is.NoErr(client.Cancel(context.Background(), "7-1"))
	is.Equal(seen, "42")
}

// Guards against an engine that sends lines without an event, or a line without end.
func TestAStreamWithoutEventsBreaks(t *testing.T) {
	for _, repeated := range []string{": a comment\n", "x"} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for block := []byte(strings.Repeat(repeated, 4096)); ; {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}))
		stream, err := New(strings.TrimPrefix(server.URL, "http://")).Start(context.Background(), Request{RequestID: "s"})
		is.NoErr(err)
		_, err = stream.Next()
		is.True(errors.Is(err, ErrStreamBroken))
		stream.Close()
		server.Close()
	}
}
