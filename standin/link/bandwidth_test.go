package link

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against connections that each have the whole bandwidth of their link.
func TestConnectionsShareTheBandwidth(t *testing.T) {
	is := is.New(t)
	const connections, each, perSecond = 2, 200_000, 1_000_000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Write(make([]byte, each))
				_ = conn.Close()
			}()
		}
	}()
	l, err := New(listener.Addr().String())
	is.NoErr(err)
	defer l.Close()
	l.SetBandwidth(perSecond)
	start := time.Now()
	var reads sync.WaitGroup
	for range connections {
		reads.Go(func() {
			conn, err := net.Dial("tcp", l.Addr())
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	reads.Wait()
	is.Equal(l.Passed(), connections*each)
	is.True(time.Since(start) >= connections*each*time.Second/perSecond)
}
