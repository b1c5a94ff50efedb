// Package eventlog writes the process's log: JSON lines on standard output that
// never hold up the work they tell of.
//
// A pipe that nobody reads blocks its writer as soon as it is full; a serving
// process would stop answering because of its own log. So lines go through a bounded
// buffer, and what does not fit is counted and dropped.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferLines is how many lines wait for the writer, about 1 MB of them.
const bufferLines = 4096

// Writer hands lines to a slow writer without ever waiting for it.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter starts writing to w.
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

// Write implements io.Writer; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Dropped counts the lines that were lost.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close lets the buffered lines be written until wait is closed or receives.
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

// New makes a log over a writer. Each line has a time, a level, an event name and
// the node's name and role.
func New(w *Writer, node, role string) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "event", LineEnding: zapcore.DefaultLineEnding,
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: milliseconds,
	})
	log := zap.New(zapcore.NewCore(encoder, w, zapcore.InfoLevel))
	return log.With(zap.String("node", node), zap.String("role", role))
}

// milliseconds writes durations as numbers; field names end in _ms.
func milliseconds(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d.Microseconds()) / 1000)
}

// Error is the field for an error: its text alone, without the stack that some errors
// carry.
func Error(err error) zap.Field { return zap.String("error", err.Error()) }
