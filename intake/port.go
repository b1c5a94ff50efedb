package intake

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"aspenyard.example/admission"
	"aspenyard.example/graceful"
)

// Port bounds what the clients of a port can make a server hold. Fields that are 0 have defaults.
type Port struct {
	// Connections is how many connections there may be; default 32. For another one, the connection that has made the server
	// wait for the longest time is closed. A higher number costs memory and descriptors.
	Connections int
	// HeadBytes bounds the head of a request, in bytes; default 4 KiB.
	HeadBytes int
	// RequestTimeout is the time for a whole request, ResponseTimeout that for the response, IdleTimeout the time between
	// requests. Defaults: 5s, 10s and 2m.
	RequestTimeout, ResponseTimeout, IdleTimeout time.Duration
}

const (
	defaultConnections = 32
	defaultHeadBytes   = 4 << 10
	// headMemory bounds the memory for all heads with very many fields.
	headMemory             = 8 << 20
	defaultRequestTimeout  = 5 * time.Second
	defaultResponseTimeout = 10 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	// UnreadBodyTimeout bounds how long a server waits for the rest of a body that its handler has not read.
	UnreadBodyTimeout = 500 * time.Millisecond
)

// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a client's connection, which the kernel would let grow to
// 6 MB that nobody reads. A smaller one limits what far clients can send in the time of a round trip.
const ReceiveBuffer = 32 << 10

// portSendBuffer is the size in bytes of the kernel's send buffer of a Port's connection, which the kernel would let grow to 4 MB
// that a client does not read.
const portSendBuffer = 32 << 10

func orDefault[T int | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext keeps a request's connection for ShareConnections; it must be set as the server's http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Serve serves HTTP/1.1 without TLS on listener until ctx ends, and then closes all connections. It returns nil after that, and
// otherwise the error that ended it.
func (p Port) Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	var conns graceful.Conns
	limit := orDefault(p.Connections, defaultConnections)
	heads := Heads{Account: admission.NewByteAccount(headMemory), Limit: orDefault(p.HeadBytes, defaultHeadBytes)}
	full := func() bool { return conns.Len() >= limit }
	server := &http.Server{
		Handler: ShareConnections(handler, full), ConnState: ConnState,
		MaxHeaderBytes: heads.Limit, // the server reads 4 KiB more, which heads does not
		ReadTimeout:    orDefault(p.RequestTimeout, defaultRequestTimeout), WriteTimeout: orDefault(p.ResponseTimeout, defaultResponseTimeout),
		IdleTimeout: orDefault(p.IdleTimeout, defaultIdleTimeout),
		ConnContext: ConnContext,
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	limited := portListener{Listener: listener, conns: &conns, limit: limit}
	if err := server.Serve(heads.Listener(limited)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// ShareConnections wraps the handler of an HTTP/1.1 server. While full reports that others wait for connections, each carries one
// more request, also if its client has sent many ahead, and the rest of a body that the handler has left is not read. Otherwise
// the time for that is bounded. No request is handled on a connection that was closed for another one.
func ShareConnections(next http.Handler, full func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if full() {
			w.Header().Set("Connection", "close")
		}
		if conn, ok := r.Context().Value(connKey{}).(interface{ Evicted() bool }); ok && conn.Evicted() {
			panic(http.ErrAbortHandler)
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &readToEnd{ReadCloser: r.Body, full: full}
		request := r.WithContext(r.Context())
		request.Body = body
		// The server reads the rest of a body before it writes the first bytes of a response.
		next.ServeHTTP(&bodyLimiter{w, body}, request)
		if body.limit(w); !body.ended && full() {
			control := http.NewResponseController(w)
			_ = control.Flush()
			_ = control.SetReadDeadline(time.Unix(1, 0)) // the server would read the rest first
			panic(http.ErrAbortHandler)
		}
	})
}

// readToEnd notices whether a body has been read to its end.
type readToEnd struct {
	io.ReadCloser
	ended bool
	full  func() bool
}

// Read implements io.Reader.
func (b *readToEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// limit bounds the time in which the server reads the rest.
func (b *readToEnd) limit(w http.ResponseWriter) {
	if b.ended {
		return
	}
	if b.full() {
		w.Header().Set("Connection", "close") // the server then responds before it reads the rest
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(UnreadBodyTimeout))
}

// bodyLimiter bounds the time for the rest of a body when a response begins.
type bodyLimiter struct {
	http.ResponseWriter
	body *readToEnd
}

// WriteHeader implements http.ResponseWriter.
func (l *bodyLimiter) WriteHeader(status int) {
	l.body.limit(l.ResponseWriter)
	l.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (l *bodyLimiter) Write(p []byte) (int, error) {
	l.body.limit(l.ResponseWriter)
	return l.ResponseWriter.Write(p)
}

// Unwrap makes http.ResponseController work.
func (l *bodyLimiter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// Listen listens on addr for a Port.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	return ListenWith(ctx, addr, portSendBuffer)
}

// ListenWith listens on addr. Connections have a receive buffer of ReceiveBuffer bytes and a send buffer of the given size, 0 for
// one that the kernel sets. The receive buffer must not be made smaller later: the peer's segments would exceed the window, and
// peers send those only when a timer ends, after 200 ms and more.
func ListenWith(ctx context.Context, addr string, sendBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer)
			if sendBuffer > 0 {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			}
		})
	}}
	return config.Listen(ctx, "tcp", addr)
}

// portListener accepts connections, of which there are at most limit.
type portListener struct {
	net.Listener
	conns *graceful.Conns
	limit int
}

const (
	// roomPoll is the time between two attempts to make room for a connection.
	roomPoll = 5 * time.Millisecond
	// minWait is the time that a client of a Port has, as long as there is room, to send a request before its connection may be
	// closed for another one.
	minWait = 250 * time.Millisecond
	// minWriteWait is the time that a client has, as long as there is room, to take some of a response.
	minWriteWait = time.Second
)

// Accept implements net.Listener.
func (l portListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !makeRoom(l.conns, l.limit, minWait, minWait) && !l.conns.CloseLongestWriting(minWriteWait) {
		time.Sleep(roomPoll)
	}
	return l.conns.Track(conn), nil
}

// MinHeadWait and minBodyWait are the times that callers have, as long as there is room, before their connection may be closed for
// another one: to send a head, and to send a body.
const (
	MinHeadWait = 500 * time.Millisecond
	minBodyWait = time.Second
)

// MakeRoom reports whether there are fewer connections than limit. Otherwise it closes one that is idle or has made the server
// wait for too long, for a request or for its client to read, and returns false if there is none.
func MakeRoom(conns *graceful.Conns, limit int) bool {
	return makeRoom(conns, limit, MinHeadWait, minBodyWait) || conns.CloseLongestWriting(minWriteWait)
}

func makeRoom(conns *graceful.Conns, limit int, headWait, bodyWait time.Duration) bool {
	return conns.Len() < limit || conns.CloseLongestIdle() || conns.CloseLongestWaiting(headWait) || conns.CloseLongestReceiving(bodyWait)
}
