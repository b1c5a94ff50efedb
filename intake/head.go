// Package intake bounds what a server holds of requests while it receives them: connections, heads and bodies. A client that sends
// very many short fields, stops short of the end or sends slowly makes a server hold far more, or for far longer, than one that
// sends as many bytes at once.
package intake

import (
	"net/http"
	"strings"
)

const (
	// fieldMemory is the memory in bytes of one field of a head, whatever its length: an entry of a map and a list of values,
	// at the server and in the copy that is passed on.
	fieldMemory = 512
	// freeHeadMemory is the memory of a head that is part of what each connection takes, so that ordinary heads are not
	// accounted for.
	freeHeadMemory = 16 << 10
)

const contentLengthPrefix = "content-length:"

// Head follows the head of a request as it is read. The zero value is ready for use.
type Head struct {
	bytes, lines int
	// line is the beginning of the current line, lineBytes its length so far.
	line      [len(contentLengthPrefix)]byte
	lineBytes int
	ended     bool
	hasLength bool
}

// Reset prepares for the head of the next request.
func (h *Head) Reset() { *h = Head{} }

// Scan adds bytes that were read. Those behind the end of the head are not counted.
func (h *Head) Scan(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch {
		case b == '\n':
			h.endLine()
		case b == '\r':
		default:
			if h.lineBytes < len(h.line) {
				h.line[h.lineBytes] = b
			}
			h.lineBytes++
		}
	}
}

func (h *Head) endLine() {
	if h.lineBytes == 0 && h.lines > 0 {
		h.ended = true
		return
	}
	if h.lineBytes >= len(h.line) && strings.EqualFold(string(h.line[:]), contentLengthPrefix) {
		h.hasLength = true
	}
	h.lines++
	h.lineBytes = 0
}

// Bytes returns how many bytes of the head have been read.
func (h *Head) Bytes() int { return h.bytes }

// Ended reports whether the whole head has been read.
func (h *Head) Ended() bool { return h.ended }

// HasContentLength reports whether the head has a Content-Length.
func (h *Head) HasContentLength() bool { return h.hasLength }

// Memory returns the memory in bytes that the head takes beside what each connection takes.
func (h *Head) Memory() int64 { return excess(h.bytes, h.lines) }

// HeaderMemory is Head.Memory of a head that was not read with its request, but behind the one before.
func HeaderMemory(header http.Header) int64 {
	bytes, lines := 0, 0
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value)
			lines++
		}
	}
	return excess(bytes, lines)
}

func excess(bytes, lines int) int64 {
	return max(int64(2*bytes+fieldMemory*lines)-freeHeadMemory, 0)
}
