package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"aspenyard.example/membership"
)

// NewLogger returns the process's logger. It writes JSON lines to standard error, each with
// the node's name and role, and also receives what libraries write to the standard logger. If
// it cannot be built, the error goes to standard error and the logger discards everything.
func NewLogger(name, role string) *zap.Logger {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.Sampling = nil
	log, err := config.Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot build the logger:", err)
		return zap.NewNop()
	}
	log = log.With(zap.String("node", name), zap.String("role", role))
	// Libraries that use the standard logger write JSON lines too.
	zap.RedirectStdLog(log)
	return log
}

// ServeHTTP serves HTTP without TLS to trusted clients on listener until ctx ends, and then closes all
// connections. It returns nil after that, and otherwise the error that ended it.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// MonitoringMux returns a mux that serves /metrics, /healthz (liveness) and /readyz
// (readiness). ready returns nil if the load balancer may send requests to the process, and
// otherwise the reason why not, which is the body of the response with status 503.
func MonitoringMux(set *metrics.Set, ready func() error) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// RegisterLoopMetrics registers the metrics of a control loop: its traffic in bytes and the
// number of members in its view.
func RegisterLoopMetrics(set *metrics.Set, loop *membership.Loop) {
	set.NewGauge("aspenyard_control_sent_bytes_total", func() float64 { return float64(loop.Stats.SentBytes.Load()) })
	set.NewGauge("aspenyard_control_received_bytes_total", func() float64 { return float64(loop.Stats.ReceivedBytes.Load()) })
	set.NewGauge("aspenyard_control_members", func() float64 { return float64(len(loop.View().Members)) })
}
