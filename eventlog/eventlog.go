// Package eventlog writes a process's log as JSON lines to standard output without blocking the
// work that is logged.
//
// A pipe that nobody reads blocks its writer as soon as it is full, and a serving process would
// stop answering because of its own log. Lines therefore go through a bounded buffer; those that
// do not fit are counted and dropped.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferLines is how many lines wait for the underlying writer at most, about 1 MB.
const bufferLines = 4096

// Writer passes lines to an underlying writer in the background and never blocks on it.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to w from a goroutine of its own.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go writer.run(w)
	return writer
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write implements io.Writer. It neither blocks nor fails: a line that does not fit into the
// buffer is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; it does nothing.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were lost, because the buffer was full or a write failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the buffered lines are written, or until abort is closed or receives a value.
func (w *Writer) Close(abort <-chan struct{}) {
	select {
	case w.lines <- nil:
	case <-abort:
		return
	}
	select {
	case <-w.done:
	case <-abort:
	}
}

// New returns a logger that writes to w. Each line has a time, a level, an event name, and the
// node's name and role.
func New(w *Writer, node, role string) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "event", LineEnding: zapcore.DefaultLineEnding,
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: milliseconds,
	})
	log := zap.New(zapcore.NewCore(encoder, w, zapcore.InfoLevel))
	return log.With(zap.String("node", node), zap.String("role", role))
}

// milliseconds encodes durations as numbers of milliseconds; the names of such fields end in _ms.
func milliseconds(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d.Microseconds()) / 1000)
}

// Error returns the field for an error: its message alone, without the stack trace that some
// errors carry.
func Error(err error) zap.Field { return zap.String("error", err.Error()) }
