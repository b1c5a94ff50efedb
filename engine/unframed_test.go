package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"aspenyard.example/standin/link"
)

// answerOnce starts an endpoint that answers one call without a length. If crash is set, it ends in the middle of the
// body, and its port is closed.
func answerOnce(t *testing.T, body string, crash bool) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if crash {
			body = body[:len(body)/2]
			_ = listener.Close()
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
		_ = conn.Close()
	}()
	return New(listener.Addr().String())
}

// Guards against passing on as complete a response that ends with its connection, from a plain service that exits in the
// middle of it.
func TestAResponseOfAServiceThatExitsIsNotComplete(t *testing.T) {
	is := is.New(t)
	_, err := answerOnce(t, `{"run":1}`, true).Call(context.Background(), "filing", "k", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused)) // it may have run
	response, err := answerOnce(t, `{"run":1}`, false).Call(context.Background(), "filing", "k", nil)
	is.NoErr(err)
	is.Equal(string(response.Body), `{"run":1}`)
}

// Guards against passing on as a service's result a response whose head HTTP does not allow.
func TestAnInvalidResponseOfAServiceIsNoResult(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"run":1}`)
	}))
	t.Cleanup(server.Close)
	l, err := link.New(server.Listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(l.Close)
	client := New(l.Addr())
	for _, change := range link.InvalidHeads() {
		is := is.New(t)
		l.ChangeHeads(link.HeadChange{})
		_, err := client.Call(context.Background(), "filing", "k", nil)
		is.NoErr(err)
		l.ChangeHeads(change)
		_, err = client.Call(context.Background(), "filing", "k", nil)
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused)) // it may have run
	}
}

// Guards against passing on as a service's result a part of a response whose connection is reset while the call is sent.
func TestAnEarlyResponseOfAServiceThatIsResetIsNoResult(t *testing.T) {
	is := is.New(t)
	addr, stop, err := link.ServeEarlyResets("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"run\":1}")
	is.NoErr(err)
	t.Cleanup(stop)
	client := New(addr)
	for range 20 {
		_, err := client.Call(context.Background(), "filing", "k", make([]byte, 20<<20))
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused)) // it may have run
	}
}

// Guards against passing on the beginning of a response that is too long as if it were the whole one.
func TestAResponseThatIsTooLongIsNotCutOff(t *testing.T) {
	is := is.New(t)
	respond := func(bytes int) *Client {
		return newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", bytes)) })
	}
	response, err := respond(maxResponseBytes).Call(context.Background(), "filing", "k", nil)
	is.NoErr(err)
	is.Equal(len(response.Body), maxResponseBytes)
	_, err = respond(maxResponseBytes+1).Call(context.Background(), "filing", "k", nil)
	is.True(errors.Is(err, ErrTooLong))
}
