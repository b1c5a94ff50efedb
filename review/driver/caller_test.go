package driver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long a client waits, as the sheets of small deployments say for long streams.
const callTimeout = 15 * time.Second

// call is one attempt of a client.
type call struct {
	id, path string
	method   string
	// promptTokens is 0 for a request to a plain service.
	promptTokens, outputTokens int
	deadline                   time.Duration
}

// answer is what a client has received. complete is set if the response has ended as one that is whole.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	sentAt   time.Time
	took     time.Duration
}

func (a *answer) String() string {
	return fmt.Sprintf("status %d, complete %t, %d bytes, %d ms, error %v", a.status, a.complete, len(a.body), a.took.Milliseconds(), a.err)
}

// text returns the request as it is sent.
func (c *call) text(body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", c.method, c.path, host, c.id, c.deadline.Milliseconds(), apiKey)
	if c.promptTokens > 0 {
		fmt.Fprintf(&b, "X-Aspenyard-Model: m\r\nX-Aspenyard-Token-Usage: %d,%d\r\nX-Aspenyard-Prefix-Hash: 5c1e07a2:40,%s:%d\r\n", c.promptTokens, c.outputTokens, c.id, c.promptTokens-40)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// send sends a request on a new channel and reads the response to its end.
func (h *harness) send(addr string, c call) *answer {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.deadline == 0 {
		c.deadline = callTimeout
	}
	a := &answer{sentAt: time.Now()}
	defer func() { a.took = time.Since(a.sentAt) }()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	body := ""
	if c.method != http.MethodGet {
		body = "body of " + c.id
	}
	if _, err := io.WriteString(conn, c.text(body)); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	data, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(data), err, err == nil
	return a
}
