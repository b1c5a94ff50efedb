package graceful

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// unreadResponse requests a response on a connection that the server closes after it, and reads nothing of it.
func unreadResponse(t *testing.T, size int) (*Conns, net.Conn) {
	t.Helper()
	conns, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, head+rest)
	waitFor(t, "the server has closed the connection", func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return len(conns.lingering) == 1
	})
	return conns, conn
}

// Guards against a process that ends while a peer's host has not taken a response that is written, and against resetting
// the connection because of data that is not read.
func TestAConnectionIsNotDoneUntilThePeerHasTakenEverything(t *testing.T) {
	is := is.New(t)
	const size = 200_000
	conns, conn := unreadResponse(t, size)
	_, _ = io.WriteString(conn, head+rest) // crosses the close
	is.True(!conns.Drained())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), size)
	waitFor(t, "the connection is done", conns.Drained)
}

// Guards against waiting for a peer whose host has reset the connection.
func TestAResetConnectionIsDone(t *testing.T) {
	conns, conn := unreadResponse(t, 200_000)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
	waitFor(t, "the connection is done", conns.Drained)
}
