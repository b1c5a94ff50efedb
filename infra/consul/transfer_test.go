package consul

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/consul"
	"aspenyard.example/standin/link"
)

// Guards against a large value that is never read or written behind a slow link, as each call ends before its transfer does.
func TestALargeValueComesThroughASlowLink(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.New(standin.Settings{}).Handler())
	defer server.Close()
	l, err := link.New(server.Listener.Addr().String())
	is.NoErr(err)
	defer l.Close()
	const timeout = 300 * time.Millisecond
	client, data := NewClient(l.Addr(), timeout), bytes.Repeat([]byte("x"), 500_000)
	is.NoErr(client.CompareAndSwap(context.Background(), "k", data, 0))
	l.SetBandwidth(len(data)) // a second and more, with the encoding
	value, err := client.Get(context.Background(), "k")
	is.NoErr(err)
	is.Equal(value.Data, data)
	value, err = client.Watch(context.Background(), "k", value.Revision-1, time.Millisecond)
	is.NoErr(err)
	is.Equal(value.Data, data)
	l.SetBandwidth(0)
	l.SetBlocked(link.FromTarget)
	_, err = client.Get(context.Background(), "k")
	is.True(err != nil) // a platform that does not answer
}
