package world

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
	standin "aspenyard.example/standin/platform"
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

const (
	// slowReceiveBuffer is the receive buffer of callers that read slowly, in bytes, firstRead what they read before they pause.
	slowReceiveBuffer = 16 << 10
	firstRead         = 4 << 10
	// patience is how long after its time limit a caller waits for the end of a response.
	patience = 1500 * time.Millisecond
)

// connect returns a connection to a gateway: an idle one if the caller keeps connections, or a new one.
func (n *node) connect(c *plan.Call) (*callerConn, error) {
	if c.Kept && c.Reading == plan.ReadsAtOnce {
		n.mu.Lock()
		defer n.mu.Unlock()
		if last := len(n.idle) - 1; last >= 0 {
			conn := n.idle[last]
			n.idle = n.idle[:last]
			return conn, nil
		}
	}
	dialer := net.Dialer{Timeout: connectLimit}
	if c.Reading == plan.ReadsWithPause {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
			})
		}
	}
	conn, err := dialer.Dial("tcp", n.gateway.CallersAddr())
	if err != nil {
		return nil, err
	}
	return &callerConn{conn, bufio.NewReader(conn)}, nil
}

func (n *node) keep(conn *callerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle = append(n.idle, conn)
}

func (n *node) closeIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.idle {
		_ = conn.Close()
	}
}

// call is a caller that sends one request and reads its response.
func (w *World) call(e *plan.Event, id string) {
	w.mu.Lock()
	index := e.Gateway % len(w.gateways)
	n := w.gateways[index]
	w.mu.Unlock()
	c := e.Call
	route := plan.RouteNamed(c.Route)
	r := &oracle.Request{
		ID: id, Route: route, Gateway: index, URI: path(c), Body: "body of " + id, Deadline: millis(c.DeadlineMS), Kept: !c.HTTP10,
		Large: route.Service == plan.ServiceBulk, WantBytes: c.Chunks * c.ChunkBytes, BeganAt: time.Now(), SentAt: time.Now(),
	}
	conn, err := n.connect(c)
	if err != nil {
		return // no entry took the request
	}
	reusable := w.exchange(conn, c, r)
	r.EndedAt = time.Now()
	if reusable && c.Kept && !c.HTTP10 && c.Reading == plan.ReadsAtOnce {
		n.keep(conn)
	} else {
		_ = conn.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Requests = append(w.record.Requests, r)
}

// text returns a request's head and body.
func text(c *plan.Call, r *oracle.Request) (head, body string) {
	protocol := "HTTP/1.1"
	if c.HTTP10 {
		protocol = "HTTP/1.0"
	}
	call := standin.CallHeaders{ID: r.ID, APIKey: standin.APIKey, Deadline: r.Deadline, PromptTokens: c.Prompt, OutputTokens: 400}
	headers := http.Header{}
	call.SetHeaders(headers)
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s %s\r\nHost: %s\r\nContent-Length: %d\r\n", r.URI, protocol, standin.Host, len(r.Body))
	_ = headers.Write(&b)
	return b.String() + "\r\n", r.Body
}

// exchange sends a request and reads its response. It reports whether the connection may be used again.
func (w *World) exchange(conn *callerConn, c *plan.Call, r *oracle.Request) bool {
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + patience + millis(c.PauseMS)))
	head, body := text(c, r)
	parts := []string{head + body}
	switch c.Sending {
	case plan.SendsHeadSlow:
		parts = []string{head[:len(head)/2], head[len(head)/2:] + body}
	case plan.SendsBodySlow:
		parts = []string{head + body[:len(body)/2], body[len(body)/2:]}
	}
	r.Whole = true
	for i, part := range parts {
		if i > 0 {
			time.Sleep(millis(c.PauseMS))
		}
		if _, err := io.WriteString(conn, part); err != nil {
			r.Whole = false
			break
		}
	}
	r.SentAt = time.Now()
	if c.Reading == plan.Leaves {
		_ = conn.SetReadDeadline(time.Now().Add(millis(c.PauseMS)))
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		r.Left = c.Reading == plan.Leaves && isTimeout(err)
		if isMalformed(err) {
			r.Malformed = err.Error()
		}
		return false
	}
	return readResponse(response, c, r)
}

// readResponse reads a response's body.
func readResponse(response *http.Response, c *plan.Call, r *oracle.Request) bool {
	r.FirstByteAt, r.Status = time.Now(), response.StatusCode
	r.EchoedID, r.Stamped = standin.ParseResponseHeaders(response.Header)
	var received bytes.Buffer
	var err error
	if c.Reading == plan.ReadsWithPause {
		if _, err = io.CopyN(&received, response.Body, firstRead); err == nil {
			time.Sleep(millis(c.PauseMS))
			r.ReadOnAt = time.Now()
		}
	}
	if err == nil {
		_, err = io.Copy(&received, response.Body)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	r.Received, r.Complete = received.Len(), err == nil
	r.Left = c.Reading == plan.Leaves && isTimeout(err)
	if !r.Large {
		r.ResponseBody = received.String()
	}
	return r.Complete && !response.Close
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isMalformed reports whether an error is about bytes that are no response, rather than about their absence.
func isMalformed(err error) bool { return strings.Contains(err.Error(), "malformed") }
