package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedWriter is a writer that blocks until release is closed, like a full pipe that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a process that stops answering because logging waits for standard output, a full
// pipe that nobody reads.
func TestABlockedLogWriterDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	w := NewWriter(out)
	log := New(w, "n", "r")
	for range 3 * bufferLines {
		log.Info("e")
	}
	is.True(w.Dropped() >= bufferLines)
	close(out.release)
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Either all lines of a request are written or none; those of a failed request are always written.
func TestRequestLogsAreWrittenWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	w := NewWriter(&out)
	logs := NewRequestLogs(New(w, "n", "r"))
	const requests = 10 * requestBurst
	for i := range requests {
		s := logs.Begin("good")
		s.Add("placed", zap.Int("n", i))
		s.Add("request_ended")
		s.End(false)
	}
	for range requests {
		s := logs.Begin("bad")
		s.Add("placed")
		s.Add("request_ended")
		s.End(true)
	}
	abort := make(chan struct{})
	timer := time.AfterFunc(30*time.Second, func() { close(abort) })
	defer timer.Stop()
	w.Close(abort)
	text := out.b.String()
	good, bad := strings.Count(text, `"request":"good"`), strings.Count(text, `"request":"bad"`)
	is.Equal(bad, 2*requests)
	is.True(good >= 2*requestBurst && good < 2*requests)
	is.Equal(good%2, 0)
	is.Equal(strings.Count(text, `"event":"placed"`), strings.Count(text, `"event":"request_ended"`))
	is.True(logs.Skipped() > 0)
}
