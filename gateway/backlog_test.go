package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/admission"
)

// BenchmarkCallerWrite writes events of a stream to a caller that reads at once: on the connection itself, and
// on one that keeps a backlog for callers that do not.
func BenchmarkCallerWrite(b *testing.B) {
	for _, name := range []string{"plain", "backlog"} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
			conn, err := listener.Accept()
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if name == "backlog" {
				g := &Gateway{bytes: admission.NewByteAccount(28 << 20), log: zap.NewNop(), metrics: metrics.NewSet()}
				backlog := newBacklogConn(g, conn)
				backlog.beginStream()
				conn = backlog
			}
			event := make([]byte, 200)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against prompts that take memory outside of the account until slow callers have taken the responses to them.
func TestACallThatHasEndedKeepsNoPrompt(t *testing.T) {
	is := is.New(t)
	g := &Gateway{bytes: admission.NewByteAccount(1 << 20)}
	c := &call{gateway: g, httpRequest: &http.Request{}, body: make([]byte, 1000), held: g.bytes.Open(admission.BodyBytes, 0), responseHeld: g.bytes.Open(admission.ResponseBytes, 0)}
	is.True(c.held.Grow(1000))
	c.releaseHolding()
	is.Equal(g.bytes.Held(), int64(0))
	is.True(c.body == nil)
}
