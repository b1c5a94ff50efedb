package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// States of a connection, as the kernel reports them.
const (
	stateEstablished = 1
	stateFinWait1    = 4
	stateFinWait2    = 5
)

// Open reports whether a TCP connection's other end has not closed it, without reading anything. Once both directions are
// closed, or one was reset, it is not.
func Open(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && (info.State == stateEstablished || info.State == stateFinWait1 || info.State == stateFinWait2)
	})
	return err == nil && open
}
