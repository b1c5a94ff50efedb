package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// Guards against more open connections than the limit, and against one that frees two places.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newLimitListener(inner.(*net.TCPListener), 1)
	for range 3 {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	accepted := make(chan net.Conn, 3)
	accept := func() {
		conn, _ := l.Accept()
		accepted <- conn
	}
	accept()
	first := <-accepted
	go accept()
	time.Sleep(50 * time.Millisecond) // a correct listener accepts nothing in this time
	is.Equal(len(accepted), 0)
	is.NoErr(first.Close())
	_ = first.Close()
	is.True(<-accepted != nil)
	go accept()
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(accepted), 0)
	is.NoErr(l.Close())
	is.Equal(<-accepted, nil)
}

// Guards against a process that leaves while a caller's host has not taken all of an answer, whether the kernel holds the rest or
// the answer is still being written.
func TestADrainWaitsForACallerThatHasNotTakenItsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		written bool
	}{"in the kernel": {160_000, true}, "being written": {1_000_000, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			body := strings.Repeat("x", c.size)
			f := startEntry(t, 20*time.Second)
			f.startAgent("a1", func(_ context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error {
				send(startedEvent(request))
				send(&wire.RunEvent{Event: &wire.RunEvent_End{End: &wire.End{
					Code: int32(result.OK), Ran: string(result.RanYes), ServiceStatus: http.StatusOK, ServiceBody: []byte(fmt.Sprintf("%q", body)),
				}}})
				return nil
			})
			conn := f.dialSmallWindow()
			_, err := io.WriteString(conn, rawRequest(checkPath, "", `{}`))
			is.NoErr(err)
			f.awaitLogged(result.OK)
			if c.written {
				awaitCondition(t, "the answer is written", func() bool { return f.entry.activeRequests.Load() == 0 })
			}
			f.stop()
			time.Sleep(listenerCloseDelay + time.Second) // a correct drain does not end in this time
			is.True(!f.hasEnded())
			got := readResponse(bufio.NewReader(conn))
			is.NoErr(got.err)
			is.Equal(len(got.body), len(body)+2)
			f.awaitEnd()
		})
	}
}
