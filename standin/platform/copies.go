package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// SetLateCopies makes the worker send each of its responses again, n times, where the next response is expected on
// the connection. Responses to requests, orders and queries alike are copied.
func (w *Worker) SetLateCopies(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateCopies = n
}

// copiedConn keeps what is written to a connection.
type copiedConn struct {
	net.Conn
	written strings.Builder
}

// Write implements net.Conn.
func (c *copiedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Write(p[:n])
	return n, err
}

// handleCopied sends the copies that are due on a connection and serves a request, whose response is due again if
// the worker copies its responses. It reports whether the connection stays open.
func (w *Worker) handleCopied(conn net.Conn, reader *bufio.Reader, r *http.Request) bool {
	w.mu.Lock()
	copies, due := w.lateCopies, w.due[conn]
	delete(w.due, conn)
	w.mu.Unlock()
	if _, err := io.WriteString(conn, due); err != nil {
		return false
	}
	if copies == 0 {
		return w.handle(conn, reader, r)
	}
	copied := &copiedConn{Conn: conn}
	if !w.handle(copied, reader, r) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due[conn] = strings.Repeat(copied.written.String(), copies)
	return true
}
