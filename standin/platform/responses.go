package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PlainResponse returns the body that every worker sends for a request to a plain service.
func PlainResponse(id string) string { return "answer to " + id }

// EventText returns event n, counted from 1, of the stream that every worker sends for a
// request.
func EventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// StreamText returns the complete body of a stream with that many events.
func StreamText(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(EventText(id, n))
	}
	return b.String()
}

const serverStamp = "X-Aspenyard-Server-Stamp: s1\r\n"

func (w *Worker) sendPlain(conn net.Conn, headers string, run *Run, fault Fault, callerGone <-chan struct{}) bool {
	body := PlainResponse(run.ID)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", headers, serverStamp, len(body), body)
	if run.Method == http.MethodHead {
		response = strings.TrimSuffix(response, body)
	}
	switch fault {
	case FaultError:
		w.awaitHold()
		w.setStatus(run, http.StatusInternalServerError)
		body := "fail"
		if run.Method == http.MethodHead {
			body = ""
		}
		fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\n%s%sContent-Length: 4\r\n\r\n%s", headers, serverStamp, body)
	case FaultUnmarkedRefusal:
		w.setStatus(run, http.StatusServiceUnavailable)
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s%s%sContent-Length: 0\r\n\r\n", headers, serverStamp, w.backoffHeader())
	case FaultReset:
		return false
	case FaultTruncated:
		_, _ = io.WriteString(conn, response[:len(response)-3])
		return false
	case FaultDuplicateResponse:
		_, _ = io.WriteString(conn, response)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, response)
	case FaultUnframed:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headers+serverStamp+"Connection: close\r\n\r\n"+body)
		w.awaitHold()
		return false
	case FaultUnframedCrash:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headers+serverStamp+"Connection: close\r\n\r\n"+body[:len(body)/2])
		w.awaitHold()
		return w.crash()
	case FaultNoServerStamp:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	case FaultGarbage:
		_, _ = io.WriteString(conn, "\x00\x01 no answer\r\n\r\n")
		return false
	case FaultHang:
		<-callerGone
		return false
	default:
		_, _ = io.WriteString(conn, response)
	}
	return true
}

func (w *Worker) sendStream(conn net.Conn, headers string, run *Run, fault Fault, callerGone <-chan struct{}) bool {
	switch fault {
	case FaultError, FaultReset, FaultHang, FaultGarbage, FaultUnmarkedRefusal:
		return w.sendPlain(conn, headers, run, fault, callerGone)
	}
	chunked := fault != FaultUnframed && fault != FaultTruncatedUnframed && fault != FaultUnframedCrash
	framing := "Transfer-Encoding: chunked\r\n"
	if !chunked {
		framing = "Connection: close\r\n"
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+headers+serverStamp+framing+"\r\n")
	lastEventID, _ := strconv.Atoi(run.LastEventID)
	for n := lastEventID + 1; n <= w.EventCount; n++ {
		text := EventText(run.ID, n)
		truncate := (fault == FaultTruncated || fault == FaultTruncatedUnframed) && n == lastEventID+2
		if truncate {
			text = text[:len(text)/2]
		}
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		if truncate {
			return false
		}
		if fault == FaultUnframedCrash && n == lastEventID+2 {
			w.awaitHold()
			return w.crash()
		}
		interval := w.EventInterval
		if fault == FaultSlow {
			interval = time.Second
		}
		if !sleepUnlessGone(interval, callerGone) {
			return false
		}
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	if fault == FaultUnframed {
		w.awaitHold()
	}
	return chunked
}

// awaitHold waits until Hold is closed.
func (w *Worker) awaitHold() {
	if w.Hold != nil {
		<-w.Hold
	}
}

func (w *Worker) setStatus(run *Run, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.Status = status
}
