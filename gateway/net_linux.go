package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"aspenyard.example/progress"
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
// gone. timeout bounds the dial; it does not count time in which this process did not run.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAlive: -1}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		limited, cancel := progress.WithRunningTimeout(ctx, timeout)
		defer cancel()
		conn, err := dialer.DialContext(limited, network, addr)
		if err != nil && ctx.Err() == nil && limited.Err() != nil {
			return nil, errors.Wrapf(context.Cause(limited), "dial %s %s", network, addr)
		}
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
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// hasUnread reports whether data has arrived on a connection that has not been read.
func hasUnread(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// peek reads a byte without removing it or waiting for it: 0 bytes at the end of the data.
func peek(conn net.Conn) (n int, err error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, net.ErrClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
