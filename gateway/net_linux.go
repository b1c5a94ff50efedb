package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// discardLog takes what the HTTP server says of single connections; the outcomes of
// requests are logged by the handlers.
var discardLog = log.New(io.Discard, "", 0)

// setTCPTimeouts makes a connection fail within seconds when its peer is gone: without
// that, one that went silent would hold its request until the deadline.
func setTCPTimeouts(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(tcpKeepAlive)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// Dialer opens connections that fail within seconds when their peer is gone.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		setTCPTimeouts(conn)
		return conn, nil
	}
}

// stillOpen tells whether an idle connection is still open and has nothing to read: a
// peer that closed it, or sent an answer nobody asked for, makes it useless, and a
// request written to it may or may not have run.
func stillOpen(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return err == nil && idle
}
