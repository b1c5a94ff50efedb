package platform

import (
	"io"
	"net"
	"strings"
)

// Faults that send bytes without end, until the caller closes the connection, at full speed or slowly
// (Worker.EndlessPause). All but the last execute the request first.
const (
	FaultEndlessStatusLine     Fault = "endless-status-line"
	FaultEndlessHeaderLine     Fault = "endless-header-line"
	FaultEndlessHeaders        Fault = "endless-headers"
	FaultEndlessInterim        Fault = "endless-interim"
	FaultEndlessStray          Fault = "endless-stray"
	FaultEndlessBody           Fault = "endless-body"
	FaultEndlessChunks         Fault = "endless-chunks"
	FaultEndlessChunkExtension Fault = "endless-chunk-extension"
	FaultEndlessTrailers       Fault = "endless-trailers"
	FaultEndlessEventLine      Fault = "endless-event-line"
	FaultEndlessEvent          Fault = "endless-event"
	FaultEndlessComments       Fault = "endless-comments"
	// FaultEndlessRefusal refuses the request, as not executed, with a body without end.
	FaultEndlessRefusal Fault = "endless-refusal"
)

// The faults that send bytes without end after they have executed the request: in a head, in a body, and in a
// stream.
var (
	EndlessHeads   = []Fault{FaultEndlessStatusLine, FaultEndlessHeaderLine, FaultEndlessHeaders, FaultEndlessInterim, FaultEndlessStray}
	EndlessBodies  = []Fault{FaultEndlessBody, FaultEndlessChunks, FaultEndlessChunkExtension, FaultEndlessTrailers}
	EndlessStreams = []Fault{FaultEndlessEventLine, FaultEndlessEvent, FaultEndlessComments}
)

// endlessFiller is what lines without end repeat, EndlessComment what FaultEndlessComments repeats.
const (
	endlessFiller  = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	EndlessComment = ": " + endlessFiller + "\n\n"
)

// endless returns what such a fault sends first and then again and again; ok is false for other faults.
func endless(fault Fault, headers string) (first, repeated string, ok bool) {
	const ok200 = "HTTP/1.1 200 OK\r\n"
	const filler = endlessFiller
	chunked := ok200 + headers + serverStamp + "Transfer-Encoding: chunked\r\n\r\n"
	stream := ok200 + "Content-Type: text/event-stream\r\n" + headers + serverStamp + "Connection: close\r\n\r\n"
	switch fault {
	case FaultEndlessStatusLine:
		return "HTTP/1.1 200 O", filler, true
	case FaultEndlessHeaderLine:
		return ok200 + "A: ", filler, true
	case FaultEndlessHeaders:
		return ok200, "A: " + filler + "\r\n", true
	case FaultEndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n", true
	case FaultEndlessStray:
		return ok200 + "X-Aspenyard-Attempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + filler + "\r\n", true
	case FaultEndlessRefusal:
		return "HTTP/1.1 503 Service Unavailable\r\n" + headers + "X-Aspenyard-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + filler + "\r\n", true
	case FaultEndlessBody:
		return ok200 + headers + serverStamp + "Connection: close\r\n\r\n", filler, true
	case FaultEndlessChunks:
		return chunked, "40\r\n" + filler + "\r\n", true
	case FaultEndlessChunkExtension:
		return chunked + "40;a=", filler, true
	case FaultEndlessTrailers:
		return chunked + "0\r\n", "A: " + filler + "\r\n", true
	case FaultEndlessEventLine:
		return stream + "data: ", filler, true
	case FaultEndlessEvent:
		return stream, "data: " + filler + "\n", true
	case FaultEndlessComments:
		return stream, EndlessComment, true
	}
	return "", "", false
}

// blockBytes is the size of what is written at once at full speed.
const blockBytes = 16 << 10

// sendEndless sends bytes until the caller closes the connection: at full speed, or after the first ones
// one by one with a pause of EndlessPause.
func (w *Worker) sendEndless(conn net.Conn, first, repeated string, callerGone <-chan struct{}) {
	repeated = strings.Repeat(repeated, blockBytes/len(repeated)+1)
	_, err := io.WriteString(conn, first)
	for err == nil && w.EndlessPause == 0 {
		_, err = io.WriteString(conn, repeated)
	}
	for i := 0; err == nil && sleepUnlessGone(w.EndlessPause, callerGone); i++ {
		_, err = io.WriteString(conn, repeated[i%len(repeated):][:1])
	}
}
