package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against streams that hold a buffer while they wait for their next event, buffers that grow with the largest event for good,
// and events that are mixed in them.
func TestStreamsShareTheirEventBuffers(t *testing.T) {
	is := is.New(t)
	var want []string
	for i, size := range []int{10, 5_000, 100_000, 1, 20_000} {
		want = append(want, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", size)))
	}
	events := newEventReader(strings.NewReader(strings.Join(want, "")))
	for i, text := range want {
		event, id, hasData, err := events.next()
		is.NoErr(err)
		is.Equal(string(event), text)
		is.Equal(id, fmt.Sprint(i+1))
		is.True(hasData)
		is.Equal(events.buffered(), i+1 < len(want))
	}
	_, _, _, err := events.next()
	is.Equal(err, io.EOF)
	is.Equal(events.buffer, (*eventBuffer)(nil))
	large := newEventReader(strings.NewReader(want[2]))
	_, _, _, err = large.next()
	is.NoErr(err)
	large.release()
	for range 100 {
		is.True(cap(eventBuffers.Get().(*eventBuffer).bytes) <= maxPooledEvent)
	}
}

// Guards against taking for the end of a stream what breaks off in an event, in any of its bytes.
func TestAnEventThatBreaksOffIsNoEnd(t *testing.T) {
	const text = "id: 7\ndata: x\n\n"
	for n := range len(text) {
		is := is.New(t)
		_, _, _, err := newEventReader(strings.NewReader(text[:n])).next()
		if n == 0 {
			is.Equal(err, io.EOF)
		} else {
			is.Equal(err, errTruncatedEvent)
		}
	}
}
