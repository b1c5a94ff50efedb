package intake

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/admission"
)

// ErrFull is returned by the body of a request for which there is no room.
var ErrFull = errors.New("intake: no room for the request's body")

// Bodies bounds the memory that requests take for what was received of their bodies, from the first byte to the end of the
// handler. Where there is no room, the request is cut off that has stopped arriving for the longest time. Make one with NewBodies.
type Bodies struct {
	account *admission.ByteAccount
	// factor is the memory that a byte of a body takes while its request is handled.
	factor int64

	mu   sync.Mutex
	open map[*body]struct{}
}

// NewBodies returns Bodies that take at most bound bytes of memory, factor for each byte of a body.
func NewBodies(bound, factor int64) *Bodies {
	return &Bodies{account: admission.NewByteAccount(bound), factor: factor, open: map[*body]struct{}{}}
}

// Account returns the account of the memory, of which heads may take a part too.
func (b *Bodies) Account() *admission.ByteAccount { return b.account }

const (
	// bodyStep is the least number of bytes of a body that are accounted for at once.
	bodyStep = 16 << 10
	// minStall is how long a body must have stopped arriving before it is cut off for others.
	minStall = time.Second
	// roomTimeout is how long a body waits for room once another one has been cut off.
	roomTimeout      = 200 * time.Millisecond
	roomPollInterval = 5 * time.Millisecond
)

// Handler wraps a handler whose requests' bodies are to be bounded. Reading one for which there is no room fails with ErrFull.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		received := &body{ReadCloser: r.Body, bodies: b, control: http.NewResponseController(w), held: b.account.Open(admission.BodyBytes, 0)}
		received.noteProgress()
		b.mu.Lock()
		b.open[received] = struct{}{}
		b.mu.Unlock()
		defer received.end()
		request := r.WithContext(r.Context())
		request.Body = received
		next.ServeHTTP(w, request)
	})
}

// cutStalled cuts off the body that has stopped arriving for the longest time. It returns false if there is none.
func (b *Bodies) cutStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled *body
	for candidate := range b.open {
		if candidate.stalledFor(now) >= minStall && (stalled == nil || candidate.progress.Load() < stalled.progress.Load()) {
			stalled = candidate
		}
	}
	if stalled == nil {
		return false
	}
	delete(b.open, stalled)
	_ = stalled.control.SetReadDeadline(time.Unix(1, 0))
	return true
}

// body is a request's body.
type body struct {
	io.ReadCloser
	bodies  *Bodies
	control *http.ResponseController
	held    admission.Holding
	read    int64
	ended   bool
	// progress is when bytes were last received, in nanoseconds since 1970.
	progress atomic.Int64
}

func (r *body) noteProgress() { r.progress.Store(time.Now().UnixNano()) }

func (r *body) stalledFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - r.progress.Load())
}

// Read implements io.Reader.
func (r *body) Read(p []byte) (int, error) {
	p = p[:min(len(p), bodyStep)]
	if need := (r.read+int64(len(p)))*r.bodies.factor - r.held.Bytes(); !r.ended && need > 0 && !r.hold(max(need, bodyStep*r.bodies.factor)) {
		return 0, ErrFull
	}
	n, err := r.ReadCloser.Read(p)
	if r.read += int64(n); n > 0 {
		r.noteProgress()
	}
	if err != nil {
		r.ended = true
		r.leave()
	}
	return n, err
}

// hold accounts for n more bytes of memory.
func (r *body) hold(n int64) bool {
	if r.held.Grow(n) {
		return true
	}
	if !r.bodies.cutStalled(time.Now()) {
		return false
	}
	for end := time.Now().Add(roomTimeout); time.Now().Before(end); time.Sleep(roomPollInterval) {
		if r.held.Grow(n) {
			return true
		}
	}
	return false
}

// leave makes the body one that is not cut off any more.
func (r *body) leave() {
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	delete(r.bodies.open, r)
}

// end gives back what was held.
func (r *body) end() {
	r.leave()
	r.held.Release()
}
