package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// eventBuffers are the buffers of events, which streams share: most streams wait for their next event and need none, and a buffer
// made for each event would be garbage faster than it is collected when many streams begin at once.
var eventBuffers = sync.Pool{New: func() any { return &eventBuffer{make([]byte, 0, readBufferSize)} }}

// eventBuffer is a buffer of eventBuffers.
type eventBuffer struct{ bytes []byte }

// maxPooledEvent is the largest buffer in bytes that is kept for other streams.
const maxPooledEvent = 16 << 10

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	// buffer holds the event that was read last; nil while the next one has not begun.
	buffer *eventBuffer
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, readBufferSize)}
}

// buffered reports whether a part of the next event has arrived.
func (e *eventReader) buffered() bool { return e.reader.Buffered() > 0 }

// release gives up the event that was read last.
func (e *eventReader) release() {
	if e.buffer != nil && cap(e.buffer.bytes) <= maxPooledEvent {
		eventBuffers.Put(e.buffer)
	}
	e.buffer = nil
}

// next reads one event, including the blank line that ends it, and returns its ID and whether it has data. The event is valid until
// the next call. io.EOF means that the stream ended between events.
func (e *eventReader) next() (event []byte, id string, hasData bool, err error) {
	e.release()
	if _, err := e.reader.Peek(1); err != nil {
		return nil, "", false, err
	}
	e.buffer = eventBuffers.Get().(*eventBuffer)
	event = e.buffer.bytes[:0]
	startsLine := true
	for {
		line, err := e.reader.ReadSlice('\n')
		event = append(event, line...)
		e.buffer.bytes = event
		partial := errors.Is(err, bufio.ErrBufferFull)
		switch {
		case len(event) > maxEventBytes:
			return nil, "", false, &endlessError{"event", fmt.Sprintf("%d bytes", maxEventBytes)}
		case err == io.EOF:
			return nil, "", false, errTruncatedEvent
		case err != nil && !partial:
			return nil, "", false, err
		}
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case !startsLine: // the rest of a long line
		case len(text) == 0:
			return event, id, hasData, nil
		case bytes.HasPrefix(text, []byte("id:")):
			id = strings.TrimSpace(string(text[len("id:"):]))
		case text[0] != ':':
			hasData = true
		}
		startsLine = !partial
	}
}
