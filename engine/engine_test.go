package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fakeEngine answers every request with handler.
func fakeEngine(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(server.Listener.Addr().String())
}

// events answers with server-sent events and then closes the connection.
func events(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, line := range lines {
			fmt.Fprintf(w, "data: %s\n\n", line)
		}
	}
}

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func chunk(id string, offset int, text string) string {
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

func TestStreamEndsOnlyWithItsMarker(t *testing.T) {
	is := is.New(t)
	text, err := readAll(fakeEngine(t, events(chunk("7-1", 0, "a"), chunk("7-1", 1, "b"), "[DONE]")))
	is.Equal(err, io.EOF)
	is.Equal(text, "ab")
	_, err = readAll(fakeEngine(t, events(chunk("7-1", 0, "a"))))
	is.True(errors.Is(err, ErrBroken)) // a closed connection is no end
}

// Symptom: a caller gets another caller's text. Sequence: a connection that still
// carries an earlier answer is used again. Cause, were it there: taking what comes
// on a connection for the answer to what was sent on it.
func TestAnotherSequencesChunkIsRefused(t *testing.T) {
	is := is.New(t)
	text, err := readAll(fakeEngine(t, events(chunk("7-1", 0, "a"), chunk("6-9", 1, "foreign"), "[DONE]")))
	is.True(errors.Is(err, ErrBroken))
	is.Equal(text, "a")
}

func TestAnotherCallsReplyIsRefused(t *testing.T) {
	is := is.New(t)
	client := fakeEngine(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(keyHeader, "crew/other") })
	_, err := client.Call(context.Background(), "filing", "crew/mine", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent)) // it may have run
}

// Symptom: "did not run" of a call that ran. Sequence: the connection breaks after
// the order was sent. Cause, were it there: taking every transport error for an
// order that was not sent.
func TestOnlyAnUnmadeConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	_, err := fakeEngine(t, drop).Call(context.Background(), "filing", "k", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent))
	_, err = fakeEngine(t, drop).Start(context.Background(), Request{RequestID: "7-1"})
	is.True(!errors.Is(err, ErrNotSent))
	server := httptest.NewServer(http.NotFoundHandler())
	addr := server.Listener.Addr().String()
	server.Close()
	_, err = New(addr).Call(context.Background(), "filing", "k", nil)
	is.True(errors.Is(err, ErrNotSent)) // nobody listens
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	refuse := fakeEngine(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "old fencing number", http.StatusConflict) })
	_, err := refuse.Call(context.Background(), "filing", "k", nil)
	is.True(errors.Is(err, ErrRefused))
	_, err = refuse.Start(context.Background(), Request{RequestID: "7-1"})
	is.True(errors.Is(err, ErrRefused))
}

func TestOrdersCarryTheFence(t *testing.T) {
	is := is.New(t)
	seen := ""
	client := fakeEngine(t, func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Get(fencingHeader) })
	client.SetFence(42)
	is.NoErr(client.Cancel(context.Background(), "7-1"))
	is.Equal(seen, "42")
}
