package link

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process under test that cannot bind its port: two test processes look
// for free ports at the same time and find the same one, because each knows only the ports
// that it gave out itself.
func TestFreeAddrReservesPortAcrossProcesses(t *testing.T) {
	is := is.New(t)
	addr, err := FreeAddr()
	is.NoErr(err)
	_, err = net.Listen("tcp", strings.Replace(addr, "127.0.0.1", reservationHost, 1)) // as another process does
	is.True(err != nil)
	listener, err := net.Listen("tcp", addr) // the address itself is free
	is.NoErr(err)
	_ = listener.Close()
}
