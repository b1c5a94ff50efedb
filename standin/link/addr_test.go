package link

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a process under test cannot bind its port. Sequence: two test processes look
// for free ports at the same time and find the same one. Cause: each knew only what it
// had given out itself.
func TestFreeAddrReservesPortAcrossProcesses(t *testing.T) {
	is := is.New(t)
	addr, err := FreeAddr()
	is.NoErr(err)
	_, err = net.Listen("tcp", strings.Replace(addr, "127.0.0.1", reservationHost, 1)) // as another process would
	is.True(err != nil)
	listener, err := net.Listen("tcp", addr) // and it is free
	is.NoErr(err)
	_ = listener.Close()
}
