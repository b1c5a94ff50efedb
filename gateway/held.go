package gateway

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/settings"
)

// heldShare is the part of the process's memory limit that bytes held for callers may take. The rest is for the idle
// process, for callers' connections and for the kernel's buffers (docs/CAPACITY.md).
const heldShare = 0.25

// callMemory is the memory in bytes of a request in flight, for its state, stacks and buffers, beside what an idle connection takes
// and what is held of bodies and responses.
const callMemory = 32 << 10

const (
	// entryFullRetryAfter is the Retry-After value of a request that is refused because of held bytes: another
	// entry may have room at once, and here a response of ordinary size is written by then.
	entryFullRetryAfter = 300 * time.Millisecond
	// responseRoomTimeout is how long a response waits for room. Endpoints cut off responses that are not read
	// for some seconds.
	responseRoomTimeout = time.Second
	// roomPollInterval is the time between two attempts to get room for a response.
	roomPollInterval = 10 * time.Millisecond
	// minSegment and maxSegment are the sizes in bytes of the first segment of a response of unknown length
	// and of the largest.
	minSegment = 4 << 10
	maxSegment = 256 << 10
	// A response is unusual that is larger than minUnusualSize, in bytes, and unusualFactorOfSize times the usual size. While more
	// than unusualShare of the bound is held, it is not read further.
	minUnusualSize      = 512 << 10
	unusualFactorOfSize = 8
	unusualShare        = 0.3
	// minBodyBuffer is the size in bytes of the first buffer for a body of unknown length.
	minBodyBuffer = 4 << 10
)

// errNoRoom is returned for a response that the account of bytes has no room for.
var errNoRoom = errors.New("entry holds too many bytes to take the response")

// heldBound returns how many bytes a process may hold for callers.
func heldBound(memoryLimit settings.Size) int64 {
	return int64(heldShare * float64(memoryOrDefault(memoryLimit)))
}

// memoryOrDefault returns the memory limit of settings whose defaults may not be set.
func memoryOrDefault(memoryLimit settings.Size) settings.Size {
	return cmp.Or(memoryLimit, settings.DefaultMemoryLimit)
}

// openHolding opens the call's holding and sets what bounds the writing of its response. The route must be
// resolved.
func (c *call) openHolding() {
	c.rank = c.config.PriorityRank(c.route, c.account)
	c.held = c.gateway.bytes.Open(admission.BodyBytes, c.rank)
	c.responseHeld = c.gateway.bytes.Open(admission.ResponseBytes, c.rank)
	if conn := c.callerConn(); conn != nil { // its head is part of what the request holds
		conn.headHeld.MoveTo(&c.held, conn.headHeld.Bytes())
	}
	if conn := c.backlog(); conn != nil {
		conn.beginResponse(responseTerms{request: c.ID, stall: stallTimeout(c.deadline.Sub(c.started)), deadline: c.deadline, rank: c.rank, unframed: !c.httpRequest.ProtoAtLeast(1, 1), held: &c.responseHeld})
	}
}

// releaseHolding ends the call's holdings, however the call ended.
func (c *call) releaseHolding() {
	c.body = nil // what is left of the response refers to the call until its caller has taken it
	c.held.Release()
	c.responseHeld.Release()
	if conn := c.backlog(); conn != nil {
		conn.endResponse()
	}
}

// backlog returns the caller's connection; nil in tests that have none.
func (c *call) backlog() *backlogConn {
	if conn := c.callerConn(); conn != nil {
		return conn.backlog
	}
	return nil
}

// callerConn returns the connection on which the request arrived; nil in tests that have none.
func (c *call) callerConn() *callerConn {
	conn, _ := c.httpRequest.Context().Value(connKey{}).(*callerConn)
	return conn
}

// refuseFull refuses a request whose body of the given size must not be held. Bodies that cannot arrive in
// time make room for later requests.
func (c *call) refuseFull(size int64) *result.Error {
	g := c.gateway
	g.slowCallers.cutOne(time.Now(), admission.BodyBytes, g.bytes.Bound())
	c.log.Add("entry_full", zap.Stringer("resource", admission.Memory), zap.Int64("bytes", size), zap.Int64("held_bytes", g.bytes.Held()), zap.Int64("bound_bytes", g.bytes.Bound()), zap.Float64("rank", c.rank))
	c.countFull(admission.Memory)
	return result.Refuse(result.EntryFull, entryFullRetryAfter, "entry holds %d of %d bytes", g.bytes.Held(), g.bytes.Bound())
}

// errBodyRefused is returned while a body of unknown length is read that must not be held.
var errBodyRefused = errors.New("body exceeds what the entry may hold")

// readBodyWithin reads a body of the given length, negative if unknown, of at most limit bytes, whose bytes are accounted for: all
// at once before it is read, or as it grows.
func (c *call) readBodyWithin(r io.Reader, length int64, limit int) ([]byte, error) {
	if length < 0 {
		return c.readGrowing(r, limit)
	}
	if !c.held.Grow(length) {
		return nil, errBodyRefused
	}
	sender, end := c.beginReceiving(length)
	defer end()
	body := make([]byte, length)
	for n := 0; n < len(body); {
		m, err := r.Read(body[n:])
		n += m
		sender.add(m)
		if length > admission.SmallBody {
			c.gateway.traffic.largeBodies.Add(int64(m))
		}
		if n < len(body) && err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// readGrowing reads a body of unknown length, of at most limit bytes.
func (c *call) readGrowing(r io.Reader, limit int) ([]byte, error) {
	sender, end := c.beginReceiving(-1)
	defer end()
	var body []byte
	for {
		if len(body) == cap(body) {
			next := max(min(2*cap(body), limit), cap(body)+minBodyBuffer)
			if !c.held.Grow(int64(next)) {
				return nil, errBodyRefused
			}
			grown := make([]byte, len(body), next)
			copy(grown, body)
			c.held.Shrink(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		sender.add(n)
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// endBodyRead makes the read of the body that is under way fail with a timeout.
func (c *call) endBodyRead() {
	_ = c.response.Controller().SetReadDeadline(time.Unix(1, 0))
}

// holdResponse holds the bytes that a response of the route is expected to have. Streams are expected to be
// read at once.
func (c *call) holdResponse() *result.Error {
	if c.route.Kind != directory.Streaming {
		c.expected = min(c.gateway.responseSizes.Expect(c.route.Name), maxBufferedBytes)
	}
	if !c.held.Grow(c.expected) {
		return c.refuseFull(c.expected)
	}
	return nil
}

// readResponse reads the body of a response of the given length, negative if unknown, in segments. Its bytes
// are accounted for before it is read, or as it grows if the length is unknown. After an error nothing is held
// for it.
func (c *call) readResponse(r io.Reader, length int64) (segments [][]byte, err error) {
	before := c.responseHeld.Bytes()
	defer func() {
		if err != nil {
			segments = nil
			c.responseHeld.Shrink(c.responseHeld.Bytes() - before)
		}
	}()
	if length >= 0 {
		c.gateway.responseSizes.Observe(c.route.Name, min(length, maxBufferedBytes))
	}
	if length > maxBufferedBytes {
		return nil, errResponseTooLong
	}
	if length >= 0 {
		if !c.awaitRoom(length) {
			return nil, errNoRoom
		}
		c.dropExpected()
	}
	for total, size := int64(0), int64(minSegment); length < 0 || total < length; size = min(2*size, maxSegment) {
		switch {
		case length >= 0:
			size = min(length-total, maxSegment)
		case c.isUnusual(total):
			return nil, &endlessError{"body", fmt.Sprintf("%d times the usual size", unusualFactorOfSize)}
		case !c.awaitRoom(size):
			return nil, errNoRoom
		}
		segment := make([]byte, size)
		n, err := fill(r, segment)
		segments, total = append(segments, segment[:n]), total+int64(n)
		switch {
		case total > maxBufferedBytes:
			return nil, &endlessError{"body", fmt.Sprintf("%d bytes", maxBufferedBytes)}
		case err == io.EOF && length < 0:
			c.dropExpected()
			c.gateway.responseSizes.Observe(c.route.Name, total)
			return segments, nil
		case err == io.EOF && total < length:
			return nil, io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return nil, err
		}
	}
	return segments, nil
}

// isUnusual reports whether a response whose length is not known has become much larger than those of its route while large
// responses take much of what may be held. Those of a faulty endpoint, which do not end, would keep out other requests.
func (c *call) isUnusual(total int64) bool {
	usual := c.gateway.responseSizes.Expect(c.route.Name)
	return usual > 0 && total > max(unusualFactorOfSize*usual, minUnusualSize) && float64(c.gateway.bytes.Held()) > unusualShare*float64(c.gateway.bytes.Bound())
}

// fill reads until the buffer is full or the reader returns an error. Unlike io.ReadFull it returns io.EOF only
// where the reader does: a chunked body that breaks off ends with io.ErrUnexpectedEOF and must not count as
// complete.
func fill(r io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = r.Read(buffer[n:])
		n += m
	}
	return n, err
}

// dropExpected gives back what was kept for the response and is not needed.
func (c *call) dropExpected() {
	c.held.Shrink(c.expected)
	c.expected = 0
}

// awaitRoom adds n bytes to what is held for the response, those first that were kept for it. While there is
// no room for them, it cuts off callers that read too slowly; it returns false if there is none after
// responseRoomTimeout, or when the request must have its final response as the process stops.
func (c *call) awaitRoom(n int64) bool {
	if kept := min(n, c.expected); kept > 0 {
		c.held.MoveTo(&c.responseHeld, kept)
		c.expected -= kept
		n -= kept
	}
	if c.responseHeld.Grow(n) {
		return true
	}
	for end := time.Now().Add(responseRoomTimeout); time.Now().Before(end) && !c.shutdownDue(); {
		c.gateway.slowCallers.cutOne(time.Now(), admission.ResponseBytes, c.gateway.bytes.Bound())
		if c.responseHeld.Grow(n) {
			return true
		}
		time.Sleep(roomPollInterval)
	}
	return false
}

// entryError returns the error of a request whose response cannot be passed on for a reason that is not the
// endpoint's, so that it must not be sent again; nil for other errors.
func (f *forwarding) entryError(err error) *result.Error {
	switch {
	case errors.Is(err, errCallerWrite):
		return result.Fail(result.Cancelled, result.RanUnknown, "%v", err)
	case errors.Is(err, errNoRoom):
		return result.Fail(result.EndpointFailed, result.RanUnknown, "%v", err)
	}
	return nil
}

// registerHeldMetrics registers the gauges of the bytes that are held for callers.
func (g *Gateway) registerHeldMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_held_bytes", func() float64 { return float64(g.bytes.Held()) })
	g.metrics.NewGauge("aspenyard_gateway_held_bytes_bound", func() float64 { return float64(g.bytes.Bound()) })
	g.metrics.NewGauge("aspenyard_gateway_reserved_bytes", func() float64 { return float64(g.bytes.Reserved()) })
	g.metrics.NewGauge("aspenyard_gateway_slow_callers", func() float64 { return float64(g.slowCallers.count()) })
}
