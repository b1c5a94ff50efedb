package gateway

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"aspenyard.example/admission"
	"aspenyard.example/eventlog"
)

const (
	// callerSendBuffer is the size in bytes of the kernel's send buffer of a caller's connection. The kernel
	// would let it grow to 4 MB, which slow callers would fill outside of the account of bytes.
	// A stream beyond it is kept as a backlog.
	callerSendBuffer = 16 << 10
	// largeSendBuffer is the size for responses of known length that are larger than admission.SmallBody. With it a caller
	// 100 ms away can still read 2.5 MB a second.
	largeSendBuffer = 256 << 10
	// backlogChunk is the size in bytes of a chunk of a backlog, of several events of a stream.
	backlogChunk = 8 << 10
	// minStallTimeout and stallShare bound how long a caller may take nothing: the share of its route's
	// timeout, in which the whole response has to end. A caller on a bad link misses less than a second.
	minStallTimeout = 3 * time.Second
	stallShare      = 0.5
	// stallChecks is how often within the stall timeout it is checked whether a caller has taken anything.
	stallChecks = 4
)

// stallTimeout returns how long a caller may take nothing of a response whose request must end within
// the time limit.
func stallTimeout(limit time.Duration) time.Duration {
	return max(scaleDuration(limit, stallShare), minStallTimeout)
}

// cutReason says why a caller was cut off; it is written to logs and metrics.
type cutReason string

// The reasons. cutBound: no more bytes may be held. cutStalled: the caller took nothing for stallTimeout.
// cutLate: the caller has not taken everything by stallTimeout after its deadline. cutForOthers: its bytes
// are needed for the response of another request. cutStopped: the process ends.
const (
	cutBound     cutReason = "bound"
	cutStalled   cutReason = "stalled"
	cutLate      cutReason = "late"
	cutForOthers cutReason = "others"
	cutStopped   cutReason = "stop"
)

// errCallerCut is returned by writes to a caller that was cut off.
var errCallerCut = errors.New("caller reads too slowly and was cut off")

// backlogConn is a caller's connection that does not make an endpoint wait for a slow caller: while a
// stream is written, what the caller does not take at once is kept as a backlog, and writes return. Only
// then is there a goroutine, which writes the backlog. Other responses are complete when they are written;
// their writes wait for the caller.
//
// One goroutine at a time writes; Close and cut may be called concurrently.
type backlogConn struct {
	net.Conn
	gateway *Gateway
	raw     syscall.RawConn // nil if the connection is not a TCP connection
	// userTimeout is how long the caller's host may leave data unacknowledged.
	userTimeout time.Duration

	// attempt, attemptSize and attemptErr are the arguments and results of attemptWrite.
	attempt      []byte
	attemptSize  int
	attemptErr   error
	attemptWrite func(fd uintptr) bool

	mu       sync.Mutex
	idle     sync.Cond // signalled when the backlog has been written
	response responseTerms
	// streaming is set while writes do not wait for the caller.
	streaming bool
	// chunks are the backlog; the goroutine that writes it has taken one more.
	chunks [][]byte
	// unwritten is how many bytes of that one are left.
	unwritten int
	held      admission.Holding
	// writing is set while the backlog's goroutine runs, closing if it has to end the stream to the caller.
	writing, closing bool
	// waiting is set while a write waits for the caller or the backlog is written, since waitingSince.
	waiting      bool
	waitingSince time.Time
	failed       error
}

// responseTerms are what bounds the writing of a response.
type responseTerms struct {
	// request is the ID of the request, for the log.
	request string
	// stall is how long the caller may take nothing, and deadline when the request ends.
	stall    time.Duration
	deadline time.Time
	rank     float64
	// unframed is set for callers to which the end of the connection may be the end of a response.
	unframed bool
	// held is what the request holds besides the backlog; nil if unknown.
	held *admission.Holding
}

func newBacklogConn(g *Gateway, conn net.Conn) *backlogConn {
	c := &backlogConn{Conn: conn, gateway: g, held: g.bytes.Open(admission.BacklogBytes, 0), response: responseTerms{stall: minStallTimeout}, userTimeout: tcpUserTimeout}
	c.idle.L = &c.mu
	c.attemptWrite = c.tryWrite
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// beginResponse sets what bounds the response to the request that is being handled.
func (c *backlogConn) beginResponse(terms responseTerms) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = terms
	c.raiseUserTimeout(2*terms.stall + tcpUserTimeout)
}

// beginStream makes writes return although the caller does not take the data, until endResponse.
func (c *backlogConn) beginStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = true
}

// endResponse ends the response: later writes wait for the caller. The request's holding, and with it the
// request's body, must not be kept by an idle connection.
func (c *backlogConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming, c.response.held = false, nil
}

// SyscallConn implements syscall.Conn.
func (c *backlogConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.New("not a TCP connection")
	}
	return c.raw, nil
}

// Buffered returns the size in bytes of the backlog; 0 once the caller is cut off.
func (c *backlogConn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing || c.failed != nil {
		return 0
	}
	n := c.unwritten
	for _, chunk := range c.chunks {
		n += len(chunk)
	}
	return n
}

// Write implements net.Conn.
func (c *backlogConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing && !c.streaming && c.failed == nil {
		c.idle.Wait()
	}
	if c.failed != nil {
		return 0, c.failed
	}
	n := 0
	if !c.writing {
		var err error
		if n, err = c.writeAtOnce(p); err != nil || n == len(p) {
			return n, err
		}
	}
	if c.streaming {
		return c.enqueue(p, n)
	}
	c.beginWait()
	defer c.endWait()
	return c.writeAll(p, n)
}

// writeAtOnce writes what the kernel takes without waiting and returns how much that is. Where there is no
// raw connection it is nothing.
func (c *backlogConn) writeAtOnce(p []byte) (int, error) {
	if c.raw == nil {
		return 0, nil
	}
	c.attempt, c.attemptSize, c.attemptErr = p, 0, nil
	err := c.raw.Write(c.attemptWrite)
	c.attempt = nil
	if err == nil {
		err = c.attemptErr
	}
	return c.attemptSize, err
}

// tryWrite writes c.attempt to a socket that does not block.
func (c *backlogConn) tryWrite(fd uintptr) bool {
	for c.attemptSize < len(c.attempt) {
		n, err := unix.Write(int(fd), c.attempt[c.attemptSize:])
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return true
		case err != nil:
			c.attemptErr = os.NewSyscallError("write", err)
			return true
		default:
			c.attemptSize += n
			c.gateway.traffic.addSent(n)
		}
	}
	return true
}

// enqueue adds p, without the first written bytes, to the backlog. The caller holds mu.
func (c *backlogConn) enqueue(p []byte, written int) (int, error) {
	for rest := p[written:]; len(rest) > 0; {
		last := len(c.chunks) - 1
		if last < 0 || len(c.chunks[last]) == cap(c.chunks[last]) {
			if !c.held.Grow(backlogChunk) {
				c.cutLocked(cutBound)
				return written, c.failed
			}
			c.chunks = append(c.chunks, make([]byte, 0, backlogChunk))
			last++
		}
		chunk := c.chunks[last]
		n := min(cap(chunk)-len(chunk), len(rest))
		c.chunks[last], rest = append(chunk, rest[:n]...), rest[n:]
		written += n
	}
	if !c.writing {
		c.writing = true
		c.beginWait()
		go c.writeBacklog()
	}
	return len(p), nil
}

// writeBacklog writes the backlog until it is empty or the caller is cut off.
func (c *backlogConn) writeBacklog() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.failed == nil && len(c.chunks) > 0 {
		chunk := c.chunks[0]
		c.chunks[0], c.chunks = nil, c.chunks[1:] // the list must not keep what has been written
		if _, err := c.writeAll(chunk, 0); err != nil {
			if !errors.Is(err, errCallerCut) {
				c.gateway.log.Info("caller_lost", zap.String("request", c.response.request), eventlog.Error(err))
			}
			break
		}
		if c.failed == nil {
			c.held.Shrink(backlogChunk)
		}
	}
	c.chunks = nil
	c.held.Release()
	c.endWait()
	c.writing = false
	if c.closing {
		_ = c.closeWrite()
	}
	c.idle.Broadcast()
}

// writeAll writes p, without the first written bytes, and waits for the caller as long as it takes data. The
// caller holds mu, which is released meanwhile.
func (c *backlogConn) writeAll(p []byte, written int) (int, error) {
	progressAt, lowest := time.Now(), c.unsent()
	for written < len(p) {
		c.unwritten = len(p) - written
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.response.stall / stallChecks))
		c.mu.Unlock()
		n, err := c.Conn.Write(p[written:])
		c.gateway.traffic.addSent(n)
		c.mu.Lock()
		written += n
		now, unsent := time.Now(), c.unsent()
		if n > 0 || unsent < lowest {
			progressAt, lowest = now, unsent
		}
		switch {
		case c.failed != nil:
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			c.failed = err
		case now.Sub(progressAt) >= c.response.stall:
			c.cutLocked(cutStalled)
		case c.response.late(now):
			c.cutLocked(cutLate)
		}
		if c.failed != nil {
			return written, c.failed
		}
	}
	c.unwritten = 0
	_ = c.Conn.SetWriteDeadline(time.Time{})
	return written, nil
}

// setSendBuffer sets the size of the kernel's send buffer.
func (c *backlogConn) setSendBuffer(bytes int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(bytes)
	}
}

// late reports whether the caller should have taken the whole response by now.
func (r *responseTerms) late(now time.Time) bool {
	return !r.deadline.IsZero() && now.After(r.deadline.Add(r.stall))
}

// raiseUserTimeout lets the caller's host leave data unacknowledged for d, or longer if an earlier response allowed
// that. The kernel ends a connection whose caller acknowledges nothing for this time, which is true of one that reads
// nothing as well as of one that is gone; what it holds of a response stays there after the response has ended here.
func (c *backlogConn) raiseUserTimeout(d time.Duration) {
	if c.raw != nil && d > c.userTimeout {
		c.userTimeout = d
		_ = c.raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// unsent returns how many written bytes the caller's host has not acknowledged. The kernel reports a full
// send buffer as writable only when a third of it is free, which takes a slow caller long; until then only
// this number shows that the caller takes data.
func (c *backlogConn) unsent() int {
	n := 0
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	}
	return n
}

// CloseWrite ends the stream to the caller, after the backlog.
func (c *backlogConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing && c.failed == nil {
		c.closing = true
		return nil
	}
	return c.closeWrite()
}

// closeWrite is CloseWrite without a backlog.
func (c *backlogConn) closeWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// cut ends the connection if it still waits for the caller.
func (c *backlogConn) cut(reason cutReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.failed == nil {
		c.cutLocked(reason)
	}
}

// cutOff ends the connection as the process ends, if its response has not been written completely. unsent is how many of the
// written bytes the caller's host has not taken.
func (c *backlogConn) cutOff(unsent int, incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || unsent == 0 && !incomplete {
		return
	}
	c.gateway.logCut(c.response.request, cutStopped, int64(unsent))
	if c.response.unframed && (incomplete || c.writing) {
		c.resetLocked()
	}
}

// cutLocked ends the connection by a reset. The caller holds mu.
func (c *backlogConn) cutLocked(reason cutReason) {
	c.gateway.logCut(c.response.request, reason, c.held.Bytes())
	c.resetLocked()
}

// reset ends the connection by a reset.
func (c *backlogConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetLocked()
}

// resetLocked is reset with mu held: where the end of the connection ends a response, a normal close would make a part
// of it look complete.
func (c *backlogConn) resetLocked() {
	c.failed = errCallerCut
	c.chunks = nil
	c.held.Release()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	c.idle.Broadcast()
}

// beginWait records that the entry waits for the caller to read. The caller holds mu.
func (c *backlogConn) beginWait() {
	if !c.waiting {
		c.waiting, c.waitingSince = true, time.Now()
		c.gateway.slowCallers.add(c)
	}
}

// endWait ends what beginWait recorded. The caller holds mu.
func (c *backlogConn) endWait() {
	if c.waiting {
		c.waiting = false
		c.gateway.slowCallers.remove(c)
	}
}

// slowState implements slowCaller.
func (c *backlogConn) slowState() admission.SlowCaller {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := admission.SlowCaller{Since: c.waitingSince, Deadline: c.response.deadline, Rank: c.response.rank, Held: c.held.Bytes()}
	if c.response.held != nil {
		s.Held += c.response.held.Bytes()
	}
	if c.failed != nil || !c.waiting {
		s.Held = 0
	}
	return s
}
