package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"aspenyard.example/standin/link"
	"aspenyard.example/wire"
	"aspenyard.example/wire/wireconnect"
)

// slowAgent answers a reservation when it is released.
type slowAgent struct {
	wireconnect.UnimplementedAgentHandler
	started, release chan struct{}
}

func (a *slowAgent) Reserve(ctx context.Context, _ *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveResponse], error) {
	a.started <- struct{}{}
	select {
	case <-a.release:
	case <-ctx.Done():
	}
	return connect.NewResponse(&wire.ReserveResponse{}), ctx.Err()
}

// Guards against a node that ends calls of one that is silent for less than the time that the operator allows, and
// against one that waits for longer.
func TestASilentNodeEndsItsCallsAfterThePeerTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		ends    bool
	}{"shorter": {50 * time.Millisecond, true}, "longer": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			agent := &slowAgent{started: make(chan struct{}, 1), release: make(chan struct{})}
			_, handler := wireconnect.NewAgentHandler(agent)
			go func() { _ = ServeRPC(t.Context(), listener, handler, time.Minute) }()
			l, err := link.New(listener.Addr().String())
			is.NoErr(err)
			defer l.Close()
			ended := make(chan error, 1)
			go func() {
				_, err := NewClients(c.timeout).Agent(l.Addr()).Reserve(t.Context(), connect.NewRequest(&wire.ReserveRequest{}))
				ended <- err
			}()
			select {
			case <-agent.started:
			case err := <-ended: // a ping that a slow machine answers late ends the call sooner
				is.True(c.ends && err != nil)
				return
			}
			l.SetBlocked(link.Both)
			if c.ends {
				is.True(<-ended != nil)
				return
			}
			time.Sleep(2*pingAfter + 500*time.Millisecond) // a ping is sent, and would be missed with the shorter timeout
			l.SetBlocked(0)
			close(agent.release)
			is.NoErr(<-ended)
		})
	}
}

// gatedConn is a connection whose reads wait until the gate is open.
type gatedConn struct {
	net.Conn
	gate chan struct{}
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(p)
}

// Guards against a process that ends while its peer's host has not taken the last events of its calls.
func TestTheEndOfAServerWaitsForWhatPeersHaveNotTaken(t *testing.T) {
	is := is.New(t)
	const size = 250_000 // more than the peer's kernel takes unread, and with it less than the server's holds
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	written, gate := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
		_ = http.NewResponseController(w).Flush()
		close(written)
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = ServeRPC(ctx, listener, handler, time.Minute)
	}()
	client := &http.Client{Transport: &http.Transport{
		Protocols: cleartextHTTP2(), HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: 4 << 20, MaxReceiveBufferPerStream: 4 << 20},
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) {
			conn, err := net.Dial(network, addr)
			if err != nil {
				return nil, err
			}
			return &gatedConn{conn, gate}, conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		},
	}}
	received := make(chan int, 1)
	go func() {
		response, err := client.Get("http://" + listener.Addr().String())
		if err != nil {
			received <- -1
			return
		}
		data, _ := io.ReadAll(response.Body)
		received <- len(data)
	}()
	<-written
	stop()
	time.Sleep(flushTimeout * 2 / 3) // the calls have ended long since; a correct end waits for the peer
	select {
	case <-ended:
		t.Fatal("the server has ended before its peer has taken the response")
	default:
	}
	close(gate)
	is.Equal(<-received, size)
	<-ended
}
