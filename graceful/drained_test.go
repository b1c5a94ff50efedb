package graceful

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that ends with a response in its buffers because the connection was kept open after it.
func TestAnIdleConnectionIsNotDrainedUntilThePeerHasTakenEverything(t *testing.T) {
	is := is.New(t)
	conns, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 200_000))
	})
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, head+rest)
	waitFor(t, "the response is written and the connection idle", func() (idle bool) {
		conns.Each(func(c *Conn) { idle = c.State() == http.StateIdle && !c.InRequest() && c.Unsent() > 0 })
		return idle
	})
	is.True(!conns.Drained())
	is.True(!conns.readingStopped)
	_, _ = io.CopyN(io.Discard, conn, 200_000)
	waitFor(t, "the peer's host has taken everything", conns.Drained)
}

// drainedRounds makes the race of the next test likely: without one decision it fails within 100 rounds.
const drainedRounds = 300

// Guards against taking a connection for done that begins to linger between two looks.
func TestNothingLingersWhenAProcessIsDrained(t *testing.T) {
	for range drainedRounds {
		conns, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		})
		conn := dial(t, addr)
		waitFor(t, "the connection is accepted", func() bool { return conns.Len() == 1 })
		_, _ = io.WriteString(conn, head+rest)
		waitFor(t, "the request is read", func() bool { return inRequest(conns) == 1 || lingering(conns) == 1 })
		for lingering(conns) == 0 {
			if conns.Drained() {
				is.New(t).Equal(lingering(conns), 0)
				break
			}
		}
		_ = conn.Close()
	}
}

func lingering(conns *Conns) int {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return len(conns.lingering)
}
