package graceful

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stop that closes a connection of whose next request a part was read together with the last one.
func TestARequestThatBeginsInTheReadOfTheLastOneKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	conns, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, head+rest+head)
	reader := bufio.NewReader(conn)
	_, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	waitFor(t, "the server has found the beginning of the next one", func() (begun bool) {
		conns.Each(func(c *Conn) { begun = c.State() == http.StateIdle && c.InRequest() })
		return begun
	})
	conns.CloseIdle()
	is.True(!conns.StopReading())
	_, _ = io.WriteString(conn, rest)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
}

// Guards against idle connections of callers that use them and are closed in vain, in place of those whose callers never read.
func TestClosingTheLongestIdleConnectionFreesIt(t *testing.T) {
	is := is.New(t)
	conns, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 200_000))
	})
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, head+rest)
	waitFor(t, "it is idle", func() (idle bool) {
		conns.Each(func(c *Conn) { idle = c.State() == http.StateIdle && !c.InRequest() })
		return idle
	})
	is.True(conns.CloseLongestIdle())
	is.Equal(conns.Len(), 0)
}
