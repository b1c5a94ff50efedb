package intake

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/admission"
	"aspenyard.example/graceful"
)

// Heads bounds the heads of requests on a server's connections, which must be tracked by a graceful.Conns.
type Heads struct {
	Account *admission.ByteAccount
	// Limit is the most bytes that a head may have.
	Limit int
}

// Listener returns a listener whose connections' heads are bounded. l must be one of a graceful.Conns.
func (h *Heads) Listener(l net.Listener) net.Listener { return headListener{l, h} }

type headListener struct {
	net.Listener
	heads *Heads
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked, ok := conn.(*graceful.Conn)
	if !ok {
		return conn, nil
	}
	return &Conn{Conn: tracked, heads: l.heads, held: l.heads.Account.Open(admission.HeadBytes, 0)}, nil
}

// Conn is a connection whose heads are bounded. Only the server's goroutine for the connection uses its fields.
type Conn struct {
	*graceful.Conn
	heads   *Heads
	head    Head
	held    admission.Holding
	refusal string
}

// HeadTooLarge and headNoRoom are responses to heads that are read no further. The request has not run.
const (
	HeadTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

const refusalTimeout = time.Second

// ErrHeadRefused ends the reading of a head. The server writes no response of its own after it.
var ErrHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request head refused")}

// ConnState records a connection's state; it must be set as the server's http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.head.Reset()
	}
	if state != http.StateActive {
		c.held.Release()
	}
	c.SetState(state)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.State() == http.StateActive || c.head.Ended() {
		return n, err
	}
	c.head.Scan(p[:n])
	grow := c.head.Memory() - c.held.Bytes()
	switch {
	case c.head.Bytes() > c.heads.Limit && !c.head.Ended():
		c.refusal = HeadTooLarge
	case grow > 0 && !c.held.Grow(grow):
		c.refusal = headNoRoom
	default:
		return n, err
	}
	return 0, ErrHeadRefused
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.refusal != "" {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write([]byte(c.refusal))
		c.refusal = ""
	}
	return c.Conn.Close()
}
