package gateway_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/gateway"
)

// Guards against endpoints that count as unreachable because this process had no processor to notice in time that it is
// connected to them.
func TestADialOfABusyProcessIsNotHeldAgainstTheOtherEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	dial := gateway.Dialer(100 * time.Millisecond)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var busy sync.WaitGroup
	var stop atomic.Bool
	for range 100 { // each runs for a time slice of the scheduler before the next one does
		busy.Go(func() {
			for spins := 0; !stop.Load(); spins++ {
			}
		})
	}
	for range 3 {
		conn, err := dial(context.Background(), "tcp", listener.Addr().String())
		if err != nil {
			t.Error(err)
			continue
		}
		_ = conn.Close()
	}
	stop.Store(true)
	busy.Wait()
}

// Guards against a response that is broken off, because its endpoint was silent and does not accept connections, although
// more of it has arrived and was not read yet.
func TestAResponseOfWhichMoreHasArrivedIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	endpoint, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = endpoint.Close() }()
	is.NoErr(listener.Close())
	_, err = endpoint.Write([]byte("x"))
	is.NoErr(err)
	givenUp := s.gateway.WatchSilent(conn, listener.Addr().String())
	s.waitFor("its endpoint was probed", func() bool { return s.logged("endpoint_unreachable") })
	time.Sleep(100 * time.Millisecond)
	is.True(!givenUp())
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	s.waitFor("the exchange is given up", givenUp)
}
