package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
	"aspenyard.example/settings"
)

// Guards against a response that breaks off in the middle of its chunks and is passed on as complete.
func TestAChunkedResponseThatBreaksOffIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for body, complete := range map[string]bool{
		"5\r\nhello\r\n0\r\n\r\n": true,
		"5\r\nhello\r\n":          false,
		"5\r\nhello\r\n9\r\nbro":  false,
		"":                        false,
	} {
		is := is.New(t)
		var s settings.Gateway
		s.SetDefaults()
		c := &call{gateway: New(Config{Settings: s, Log: zap.NewNop()}), route: &directory.Route{}}
		c.held, c.responseHeld = c.gateway.bytes.Open(admission.BodyBytes, 0), c.gateway.bytes.Open(admission.ResponseBytes, 0)
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+body)), nil)
		is.NoErr(err)
		segments, err := c.readResponse(response.Body, response.ContentLength)
		if complete {
			is.NoErr(err)
			is.Equal(string(segments[0]), "hello")
			continue
		}
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(c.responseHeld.Bytes(), int64(0))
	}
}
