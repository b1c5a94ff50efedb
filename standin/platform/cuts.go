package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CutForm is the form of a response that is cut.
type CutForm string

// The forms. In all but the last three the response has status 200.
const (
	CutFormLength  CutForm = "length"
	CutFormChunks  CutForm = "chunks"
	CutFormTrailer CutForm = "trailer"
	// CutFormUnframed is a response of HTTP/1.0, which ends with its connection.
	CutFormUnframed CutForm = "unframed"
	// CutFormInterim is a response with a length behind an interim one (103).
	CutFormInterim     CutForm = "interim"
	CutFormNoContent   CutForm = "no-content"
	CutFormNotModified CutForm = "not-modified"
	// CutFormRefusal refuses the request, as not executed, and has a body.
	CutFormRefusal CutForm = "refusal"
)

// CutPlace is where a response is cut.
type CutPlace string

// The places. Those in an interim response need CutFormInterim, those in chunks and trailers need such a form.
const (
	CutAtStart         CutPlace = "start"
	CutInStatusCode    CutPlace = "status-code"
	CutInStatusText    CutPlace = "status-text"
	CutAfterStatusLine CutPlace = "status-line"
	CutInHeaderName    CutPlace = "header-name"
	CutInHeaderValue   CutPlace = "header-value"
	CutAfterHeaders    CutPlace = "headers"
	CutAfterHeadersCR  CutPlace = "headers-cr"
	CutInInterim       CutPlace = "interim"
	CutAfterInterim    CutPlace = "after-interim"
	CutAfterHead       CutPlace = "head"
	CutInChunkSize     CutPlace = "chunk-size"
	CutInChunk         CutPlace = "chunk"
	CutBeforeLastChunk CutPlace = "before-last-chunk"
	CutInLastChunk     CutPlace = "last-chunk"
	CutAfterLastChunk  CutPlace = "after-last-chunk"
	CutInTrailer       CutPlace = "trailer"
	CutAfterTrailer    CutPlace = "after-trailer"
	CutBeforeLastByte  CutPlace = "last-byte"
	// CutAfterFirstEvent is between two events of a stream.
	CutAfterFirstEvent CutPlace = "first-event"
)

const (
	cutFaultPrefix      = "cut "
	interimResponse     = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
	connCloseHeader     = "Connection: close\r\n"
	streamContentHeader = "Content-Type: text/event-stream\r\n"
	lastChunk           = "0\r\n"
	trailerLine         = "X-Trailer: a\r\n"
)

// CutWait is when a worker waits for Worker.CutWait.
type CutWait string

// The waits: before the first byte, and between the last byte and the end of the connection.
const (
	WaitFirst CutWait = "first"
	WaitLast  CutWait = "last"
)

// Cut is a fault of a worker that executes a request and stops in the middle of its response.
type Cut struct {
	Form CutForm
	// Place is where the response is cut; "" for after the first At bytes.
	Place CutPlace
	At    int
	// Early sends the response before the request's body is read.
	Early bool
	// Reset ends the connection by a reset.
	Reset bool
	Wait  CutWait
}

// CutHeads are the cuts in a response's head, or before it.
var CutHeads = []Cut{
	{Form: CutFormLength, Place: CutAtStart}, {Form: CutFormLength, Place: CutInStatusCode}, {Form: CutFormLength, Place: CutInStatusText},
	{Form: CutFormLength, Place: CutAfterStatusLine}, {Form: CutFormLength, Place: CutInHeaderName}, {Form: CutFormLength, Place: CutInHeaderValue},
	{Form: CutFormLength, Place: CutAfterHeaders}, {Form: CutFormLength, Place: CutAfterHeadersCR}, {Form: CutFormChunks, Place: CutInHeaderValue},
	{Form: CutFormChunks, Place: CutAfterHeadersCR}, {Form: CutFormUnframed, Place: CutAfterHeaders}, {Form: CutFormUnframed, Place: CutAfterHeadersCR},
	{Form: CutFormInterim, Place: CutInInterim}, {Form: CutFormInterim, Place: CutAfterInterim}, {Form: CutFormInterim, Place: CutAfterHeaders},
	{Form: CutFormNoContent, Place: CutAfterHeaders}, {Form: CutFormNoContent, Place: CutAfterHeadersCR},
	{Form: CutFormNotModified, Place: CutAfterHeaders}, {Form: CutFormNotModified, Place: CutAfterHeadersCR},
}

// CutBodies are the cuts after a whole head.
var CutBodies = []Cut{
	{Form: CutFormLength, Place: CutAfterHead}, {Form: CutFormLength, Place: CutBeforeLastByte}, {Form: CutFormInterim, Place: CutBeforeLastByte},
	{Form: CutFormChunks, Place: CutAfterHead}, {Form: CutFormChunks, Place: CutInChunkSize}, {Form: CutFormChunks, Place: CutInChunk},
	{Form: CutFormChunks, Place: CutBeforeLastChunk}, {Form: CutFormChunks, Place: CutInLastChunk}, {Form: CutFormChunks, Place: CutAfterLastChunk},
	{Form: CutFormChunks, Place: CutBeforeLastByte}, {Form: CutFormTrailer, Place: CutInTrailer}, {Form: CutFormTrailer, Place: CutAfterTrailer},
	{Form: CutFormTrailer, Place: CutBeforeLastByte},
}

// Fault returns the fault.
func (c Cut) Fault() Fault {
	data, _ := json.Marshal(c)
	return Fault(cutFaultPrefix + string(data))
}

// IsCut reports whether a fault is a Cut.
func IsCut(f Fault) bool { return strings.HasPrefix(string(f), cutFaultPrefix) }

// String implements fmt.Stringer.
func (c Cut) String() string {
	place := string(c.Place)
	if c.Early {
		place += " early"
	}
	if place == "" {
		place = strconv.Itoa(c.At)
	}
	end := "closed"
	if c.Reset {
		end = "reset"
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s %s", c.Form, place, end, c.Wait))
}

// cutOf returns the cut of a fault; ok is false for other faults.
func cutOf(f Fault) (c Cut, ok bool) {
	text, found := strings.CutPrefix(string(f), cutFaultPrefix)
	return c, found && json.Unmarshal([]byte(text), &c) == nil
}

// response is a response in the parts that are sent one after another.
type response struct{ interim, head, body string }

// status returns the response's status line without its end.
func (f CutForm) status() string {
	switch f {
	case CutFormUnframed:
		return "HTTP/1.0 200 OK"
	case CutFormNoContent:
		return "HTTP/1.1 204 No Content"
	case CutFormRefusal:
		return "HTTP/1.1 503 Service Unavailable"
	case CutFormNotModified:
		return "HTTP/1.1 304 Not Modified"
	}
	return "HTTP/1.1 200 OK"
}

// render returns a response of the form, whose body has the given parts, to a request with a method.
func (f CutForm) render(method, headers string, parts []string) response {
	body := strings.Join(parts, "")
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch f {
	case CutFormChunks, CutFormTrailer:
		body, framing = "", "Transfer-Encoding: chunked\r\n"
		for _, part := range parts {
			body += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if body += lastChunk; f == CutFormTrailer {
			body += trailerLine
		}
		body += "\r\n"
	case CutFormUnframed:
		framing = connCloseHeader
	case CutFormNoContent, CutFormNotModified:
		body, framing = "", "X-Last: last\r\n"
	}
	if method == http.MethodHead {
		body = ""
	}
	r := response{head: f.status() + "\r\n" + headers + framing + "\r\n", body: body}
	if f == CutFormInterim {
		r.interim = interimResponse
	}
	return r
}

// sent returns the bytes of a response that are sent.
func (c Cut) sent(r response) string {
	all := r.interim + r.head + r.body
	head := len(r.interim)
	body := head + len(r.head)
	lastHeader := head + strings.LastIndex(strings.TrimSuffix(r.head, "\r\n\r\n"), "\r\n") + len("\r\n")
	ends := map[CutPlace]int{
		"": min(c.At, len(all)), CutAtStart: 0, CutInStatusCode: head + len("HTTP/1.1 20"), CutInStatusText: head + len("HTTP/1.1 200 O"),
		CutAfterStatusLine: head + strings.Index(r.head, "\r\n") + len("\r\n"),
		CutInHeaderName:    lastHeader + len("Co"), CutInHeaderValue: head + strings.LastIndex(r.head, ": ") + len(": 1"),
		CutAfterHeaders: body - len("\r\n"), CutAfterHeadersCR: body - len("\n"),
		CutInInterim: head / 2, CutAfterInterim: head, CutAfterHead: body, CutInChunkSize: body + 1,
		CutInChunk: body + strings.Index(r.body, "\r\n") + len("\r\nx"), CutBeforeLastChunk: len(all) - len(lastChunk+"\r\n"), CutInLastChunk: len(all) - len("\r\n\r\n"),
		CutAfterLastChunk: len(all) - len("\r\n"), CutInTrailer: len(all) - len(": a\r\n\r\n"), CutAfterTrailer: len(all) - len("\r\n"),
		CutBeforeLastByte: len(all) - 1, CutAfterFirstEvent: body + strings.Index(r.body, "\n\n") + len("\n\n"),
	}
	return all[:ends[c.Place]]
}

// sendCut sends the response to a request up to its cut. It returns false: the connection ends.
func (w *Worker) sendCut(conn net.Conn, headers string, run *Run, c Cut, callerGone <-chan struct{}) bool {
	return w.writeCut(conn, c, c.Form.render(run.Method, w.contentHeader()+headers+serverStamp, w.bodyParts(run)), callerGone)
}

// contentHeader returns the header that says that the body is a stream, if it is one.
func (w *Worker) contentHeader() string {
	if w.EventCount > 0 {
		return streamContentHeader
	}
	return ""
}

// bodyParts returns the parts of the body of the response to a request: its events, or one part.
func (w *Worker) bodyParts(run *Run) []string {
	if w.EventCount == 0 {
		return []string{PlainResponse(run.ID)}
	}
	var parts []string
	lastEventID, _ := strconv.Atoi(run.LastEventID)
	for n := lastEventID + 1; n <= w.EventCount; n++ {
		parts = append(parts, EventText(run.ID, n))
	}
	return parts
}

// sendCutBefore sends a cut response that precedes the end of the request, or its execution. done is false for other
// faults, and until the body has been read for others than early ones.
func (w *Worker) sendCutBefore(conn net.Conn, headers string, run *Run, bodyRead bool) (done bool) {
	c, ok := cutOf(run.Fault)
	switch {
	case !ok || c.Early == bodyRead || !c.Early && c.Form != CutFormRefusal:
		return false
	case c.Form == CutFormRefusal:
		headers += "X-Aspenyard-Not-Executed: 1\r\n"
	default:
		run.Ran, headers = true, headers+serverStamp
	}
	w.addRun(run)
	parts := []string{PlainResponse(run.ID)}
	if c.Place == CutAfterFirstEvent {
		headers, parts = w.contentHeader()+headers, w.bodyParts(run)
	}
	w.writeCut(conn, c, c.Form.render(run.Method, headers, parts), nil)
	return true
}

// writeCut sends a response up to its cut and ends the connection.
func (w *Worker) writeCut(conn net.Conn, c Cut, r response, callerGone <-chan struct{}) bool {
	if c.Wait == WaitFirst && !sleepUnlessGone(w.CutWait, callerGone) {
		return false
	}
	_, _ = io.WriteString(conn, c.sent(r))
	if c.Wait == WaitLast && !sleepUnlessGone(w.CutWait, callerGone) {
		return false
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.Reset {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	}
	return false
}

// resetDelay is the time between the last byte and a reset, which would otherwise overtake it.
const resetDelay = 2 * time.Millisecond
