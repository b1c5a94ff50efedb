package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are picked below the kernel's range of ephemeral ports: an outgoing connection that
// got one of those would make a port that was free a moment ago fail to bind.
const (
	firstPort    = 10_000
	portCount    = 20_000
	maxPortTries = 1000
)

// reservationHost is a loopback address on which nothing is served. A listener there
// reserves the port of the same number: test processes that run concurrently would
// otherwise find the same port free, and one of them could not bind it.
const reservationHost = "127.0.0.2"

// reservedPorts are the listeners that reserve ports, kept open until the process ends.
var reservedPorts struct {
	mu   sync.Mutex
	held []net.Listener
}

// FreeAddr returns a loopback address whose port is free for TCP and UDP and is not
// reserved by any running process. It returns an error if it finds none in maxPortTries
// tries.
func FreeAddr() (string, error) {
	for range maxPortTries {
		port := firstPort + rand.IntN(portCount)
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reservationHost, port))
		if err != nil {
			continue
		}
		if addr := fmt.Sprintf("127.0.0.1:%d", port); isFree(addr) {
			reservedPorts.mu.Lock()
			defer reservedPorts.mu.Unlock()
			reservedPorts.held = append(reservedPorts.held, reservation)
			return addr, nil
		}
		_ = reservation.Close()
	}
	return "", errors.New("no port is free for both TCP and UDP")
}

// isFree returns true if the address can be bound now, for both TCP and UDP.
func isFree(addr string) bool {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packetConn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = packetConn.Close()
	return true
}
