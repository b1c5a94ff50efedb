package platform

import (
	"encoding/json"
	"io"
	"net"
	"strings"
)

const headFaultPrefix = "head "

// InvalidHead is a fault of a worker that executes a request and answers with a head that HTTP does not allow.
type InvalidHead struct {
	// Status replaces the version and the status code of the status line; "" for a valid one.
	Status string
	// Field is a further line of the head, without its end; "" for none.
	Field string
	// Framing replaces the line that says how long the body is, and Body the body; "" for valid ones.
	Framing, Body string
	// Interim sends the invalid head with status 103, before a valid response.
	Interim bool
}

// Fault returns the fault.
func (h InvalidHead) Fault() Fault {
	data, _ := json.Marshal(h)
	return Fault(headFaultPrefix + string(data))
}

// invalidHeadOf returns the invalid head of a fault; ok is false for other faults.
func invalidHeadOf(f Fault) (h InvalidHead, ok bool) {
	text, found := strings.CutPrefix(string(f), headFaultPrefix)
	return h, found && json.Unmarshal([]byte(text), &h) == nil
}

// send sends a response with the given headers and body, whose head is invalid. The connection must end with it.
func (h InvalidHead) send(conn net.Conn, headers, body string) {
	status, framing := "HTTP/1.1 200", "Connection: close"
	if h.Status != "" {
		status = h.Status
	}
	if h.Framing != "" {
		framing = h.Framing
	}
	if h.Body != "" {
		body = h.Body
	}
	field := ""
	if h.Field != "" {
		field = h.Field + "\r\n"
	}
	if h.Interim {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n")
		field = ""
	}
	_, _ = io.WriteString(conn, status+" Odd\r\n"+headers+field+framing+"\r\n\r\n"+body)
}

// InvalidHeads are heads that HTTP does not allow.
func InvalidHeads() []InvalidHead {
	heads := []InvalidHead{
		{Status: "HTTP/1.1 000"}, {Status: "HTTP/1.1 099"}, {Status: "HTTP/1.1 600"}, {Status: "HTTP/1.1 999"}, {Status: "HTTP/1.1 101"}, {Status: "HTTP/1.1 +20"}, {Status: "HTTP/1.1 -01"},
		{Status: "HTTP/2.0 200"}, {Status: "HTTP/0.9 200"},
		{Status: "HTTP/1.1 000", Body: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{Framing: "Content-Length : 3"}, {Framing: "Transfer-Encoding : chunked", Body: "3\r\nabc\r\n0\r\n\r\n"}, {Framing: "Transfer-Encoding\x01: chunked", Body: "3\r\nabc\r\n0\r\n\r\n"},
		{Field: "X-Value: a\x00b"}, {Field: "X-Value: a\rX-Other: b"}, {Field: "no colon"}, {Field: ": no name"},
	}
	for _, name := range []string{"X Blank", "X-Blank ", "X\tTab", "X-Tab\t", "X-\x01-Control", "X-\x7f-Delete", "X-\x00-Null", "X-(Separator)", "X-\xc3\xa4"} {
		heads = append(heads, InvalidHead{Field: name + ": a"})
		heads = append(heads, InvalidHead{Field: name + ": a", Interim: true})
	}
	return heads
}
