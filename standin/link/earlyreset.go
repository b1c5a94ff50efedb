package link

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// earlyResetDelay is the time between an early response and the reset, which would otherwise overtake it.
const earlyResetDelay = 5 * time.Millisecond

// ServeEarlyResets starts a server on a free loopback port that sends a response, head included, as soon as the head of a request
// has arrived, and resets the connection while the rest of a long request is being sent. It returns the server's address.
func ServeEarlyResets(response string) (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.WithStack(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, response)
					time.Sleep(earlyResetDelay)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}
