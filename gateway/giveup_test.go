package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/directory"
)

// Guards against a connection that is used again after a response which arrived just as its endpoint was given up, so that the
// next request on it fails at once.
func TestAConnectionIsNotReusedWhenItsExchangeIsGivenUp(t *testing.T) {
	for name, alive := range map[string]bool{"handed over": true, "dead": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			g := New(Config{Log: zap.NewNop()})
			e := &directory.EndpointState{}
			e.Addr = listener.Addr().String()
			conn, err := g.pool.open(context.Background(), e)
			is.NoErr(err)
			written := make(chan error, 1)
			written <- nil
			r := &endpointResponse{ctx: context.Background(), endpoint: e, pool: g.pool, conn: conn, writeResult: written, keepAlive: maxIdleTime, stop: func() bool { return true }}
			g.shutdown.Begin(time.Second, func() time.Duration { return 0 })
			permits := 0
			r.watchdog = g.startWatchdog(r.ctx, r, time.Hour, &handOver{
				estimate: func(int64) (need, patience time.Duration) { return time.Second, 0 }, permit: func() bool { permits++; return true },
			})
			r.watchdog.silence = 0
			result := &probe{began: time.Now(), done: make(chan struct{}), alive: alive}
			g.prober.results[e.Incarnation] = result
			go func() {
				r.finish() // the response ends while the endpoint is probed
				close(result.done)
			}()
			r.watchdog.check()
			is.Equal(permits, 0) // no retry is taken from the budget
			reused := g.pool.popIdle(e.Incarnation, nil, false)
			is.True(reused != nil)
			_, err = reused.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			is.NoErr(err)
		})
	}
}
