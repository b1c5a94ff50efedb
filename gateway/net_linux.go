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

// discardLog drops the HTTP server's messages about single connections. The handlers log the
// outcomes of requests.
var discardLog = log.New(io.Discard, "", 0)

// setTCPTimeouts makes a connection fail within seconds when its remote host is gone. Without it,
// a connection to a silent host would hold its request until the deadline.
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

// Dialer returns a dial function whose connections fail within seconds when the remote host is
// gone. timeout bounds the dial.
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

// stillOpen reports whether an idle connection is open and has no data to read. It must not be
// used if the remote host has closed it or sent data that was not requested: a request written to
// it may or may not run.
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
