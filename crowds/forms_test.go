//go:build crowds

package crowds

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits of the installation that the clients know of.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
)

// target is where clients send requests.
type target struct {
	// addrs are the ports' addresses, which clients use in turn, and host is the name that they use.
	addrs []string
	host  string
	// network is "udp" for ports for datagrams.
	network string
	// paths are used in turn, and each with every one of headers: lines of the head, each with its line end.
	paths   []string
	headers []string
}

// addr returns the address for client number n.
func (t *target) addr(n int) string { return t.addrs[n%len(t.addrs)] }

// head returns the beginning of the head of request number n.
func (t *target) head(method string, n int) string {
	n /= len(t.addrs)
	path := t.paths[n%len(t.paths)]
	headers := t.headers[(n/len(t.paths))%len(t.headers)]
	id := fmt.Sprintf("%016x", rand.Uint64())
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Aspenyard-Attempt-Id: %s\r\nX-Aspenyard-Deadline-Ms: 30000\r\n%s", method, path, t.host, id, headers)
}

// form is a way of misbehaving.
type form struct {
	name string
	// send returns when it has sent all that it sends; the connection stays open.
	send func(ctx context.Context, c *client, n int) error
	// stay is how long the crowd goes on before ordinary requests are sent, while the process sends what the crowd does not read.
	stay time.Duration
}

// client is a connection of a misbehaving client.
type client struct {
	net.Conn
	target *target
	// sent is called when a client that goes on slowly has begun to.
	sent func()
}

const (
	// smallPause is between two writes of a client that sends slowly.
	smallPause = 50 * time.Millisecond
	// writeTimeout ends a write to a process that does not read.
	writeTimeout = time.Second
)

// write sends bytes in pieces of a size; 0 stands for one piece.
func (c *client) write(text string, piece int) error {
	if piece == 0 {
		piece = len(text)
	}
	for len(text) > 0 {
		n := min(piece, len(text))
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// writeLarge sends a head, and what is the same for all clients: if each made it anew, that would take the time in which they and
// the clients of ordinary requests send.
func (c *client) writeLarge(head string, rest []byte) error {
	if err := c.write(head, 0); err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(rest)
	return err
}

// trickle sends a byte at a time, slowly.
func (c *client) trickle(ctx context.Context, text string) error {
	c.sent()
	for i := range len(text) {
		if err := c.write(text[i:i+1], 0); err != nil {
			return err
		}
		sleep(ctx, smallPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// readSlowly reads a byte at a time, slowly.
func (c *client) readSlowly(ctx context.Context) error {
	c.sent()
	for one := make([]byte, 1); ctx.Err() == nil; sleep(ctx, smallPause) {
		if _, err := c.Read(one); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// shortFields returns lines of a head, each of a few bytes with a name of its own, of size bytes together.
func shortFields(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size-8; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// partsLine returns a line of a head that lists as many parts of a prompt as size bytes have room for.
func partsLine(size int) string {
	var line strings.Builder
	line.WriteString("X-Aspenyard-Prefix-Hash: 1:1")
	for i := 2; line.Len() < size-10; i++ {
		fmt.Fprintf(&line, ",%x:1", i)
	}
	return line.String() + "\r\n"
}

// chunked returns bytes in chunks of a size, without the last chunk.
func chunked(body string, size int) string {
	var encoded bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return encoded.String()
}

func zeros(n int) string { return strings.Repeat("0", n) }

const (
	largeBody = 1 << 20
	smallBody = 60 << 10
	// farTooLong is the length that bodies far over the limit announce.
	farTooLong = 1 << 30
	// longValue is the length of a long value of a head that is within the limit.
	longValue = 10 << 10
	// endlessBytes is how much of a body without end is sent at most.
	endlessBytes = 16 << 20
	chunkedHead  = "Transfer-Encoding: chunked\r\n\r\n"
)

func lengthHead(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// What large requests send behind the beginnings of their heads. It is made when it is needed, as the product runs in this
// binary too.
var (
	largeBytes    = bytesOnce(func() string { return zeros(largeBody) })
	largestBytes  = bytesOnce(func() string { return zeros(maxBodyBytes) })
	endless       = bytesOnce(func() string { return zeros(endlessBytes) })
	largeChunks   = bytesOnce(func() string { return chunked(zeros(largeBody), 16<<10) })
	tinyChunks    = bytesOnce(func() string { return chunked(zeros(smallBody), 1) })
	endlessChunks = bytesOnce(func() string { return chunked(zeros(endlessBytes), 64<<10) })
	endlessFields = bytesOnce(func() string { return shortFields(4 << 20) })
)

func bytesOnce(text func() string) func() []byte {
	return sync.OnceValue(func() []byte { return []byte(text()) })
}

// forms are the ways of misbehaving at a port that speaks HTTP/1.1.
var forms = []form{
	{name: "whole-bodies", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+lengthHead(largeBody), largeBytes())
	}},
	{name: "largest-bodies-short-of-their-end", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+lengthHead(maxBodyBytes), largestBytes()[1:])
	}},
	{name: "small-bodies-short-of-their-end", send: func(ctx context.Context, c *client, n int) error {
		return c.write(c.target.head("POST", n)+lengthHead(smallBody)+zeros(smallBody-1), 0)
	}},
	{name: "bodies-in-pieces-short-of-their-end", send: func(ctx context.Context, c *client, n int) error {
		return c.write(c.target.head("POST", n)+lengthHead(largeBody/4)+zeros(largeBody/4-1), 1000)
	}},
	{name: "chunks-short-of-their-end", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+chunkedHead, largeChunks())
	}},
	{name: "tiny-chunks-short-of-their-end", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+chunkedHead, tinyChunks())
	}},
	{name: "chunk-short-of-its-end", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+chunkedHead+fmt.Sprintf("%x\r\n", largeBody), largeBytes()[1:])
	}},
	{name: "trailers-of-short-fields", send: func(ctx context.Context, c *client, n int) error {
		return c.write(c.target.head("POST", n)+chunkedHead+chunked(zeros(1000), 1000)+"0\r\n"+shortFields(3800), 0)
	}},
	{name: "whole-trailers-of-short-fields", send: func(ctx context.Context, c *client, n int) error {
		return c.write(c.target.head("POST", n)+chunkedHead+chunked(zeros(1000), 1000)+"0\r\n"+shortFields(3800)+"\r\n", 0)
	}},
	{name: "bodies-far-over-the-limit", send: func(ctx context.Context, c *client, n int) error {
		if err := c.write(c.target.head("POST", n)+lengthHead(farTooLong), 0); err != nil {
			return err
		}
		for rest := endless(); len(rest) > 0; rest = rest[min(64<<10, len(rest)):] {
			if err := c.writeLarge("", rest[:min(64<<10, len(rest))]); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "chunks-without-end", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+chunkedHead, endlessChunks())
	}},
	{name: "heads-of-short-fields", send: func(ctx context.Context, c *client, n int) error {
		head := c.target.head("POST", n)
		return c.write(head+shortFields(maxHeaderBytes-len(head)-64)+lengthHead(smallBody)+zeros(smallBody-1), 0)
	}},
	{name: "heads-of-short-fields-short-of-their-end", send: func(ctx context.Context, c *client, n int) error {
		head := c.target.head("POST", n)
		return c.write(head+shortFields(maxHeaderBytes-len(head)), 0)
	}},
	{name: "heads-of-short-parts", send: func(ctx context.Context, c *client, n int) error {
		head := c.target.head("POST", n)
		return c.write(head+partsLine(maxHeaderBytes-len(head)-64)+lengthHead(smallBody)+zeros(smallBody-1), 0)
	}},
	{name: "heads-of-long-values", send: func(ctx context.Context, c *client, n int) error {
		head := strings.Replace(c.target.head("POST", n), "X-Aspenyard-Attempt-Id: ", "X-Aspenyard-Attempt-Id: "+zeros(longValue), 1)
		for range 200 {
			if err := c.write(head+"X-Request-Id: "+zeros(longValue/2)+"\r\n"+lengthHead(0), 0); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "heads-far-over-the-limit", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n), endlessFields())
	}},
	{name: "sent-ahead", send: func(ctx context.Context, c *client, n int) error {
		for i := range 20_000 {
			if err := c.write(c.target.head("GET", n+i)+"\r\n", 0); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "bodies-sent-ahead", send: func(ctx context.Context, c *client, n int) error {
		for i := range 200 {
			if err := c.write(c.target.head("POST", n+i)+lengthHead(smallBody)+zeros(smallBody), 0); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "expectations", send: func(ctx context.Context, c *client, n int) error {
		return c.write(c.target.head("POST", n)+"Expect: 100-continue\r\n"+lengthHead(largeBody), 0)
	}},
	{name: "version-1.0-short-of-its-end", send: func(ctx context.Context, c *client, n int) error {
		head := strings.Replace(c.target.head("POST", n), "HTTP/1.1", "HTTP/1.0", 1)
		return c.writeLarge(head+lengthHead(largeBody), largeBytes()[1:])
	}},
	{name: "silent", send: func(ctx context.Context, c *client, n int) error { return nil }},
	{name: "one-byte", send: func(ctx context.Context, c *client, n int) error { return c.write("G", 0) }},
	{name: "slow-heads", send: func(ctx context.Context, c *client, n int) error {
		return c.trickle(ctx, c.target.head("GET", n)+"X-Slow: "+zeros(8000))
	}},
	{name: "slow-bodies", send: func(ctx context.Context, c *client, n int) error {
		if err := c.write(c.target.head("POST", n)+lengthHead(smallBody), 0); err != nil {
			return err
		}
		return c.trickle(ctx, zeros(smallBody-1))
	}},
	{name: "slow-chunks", send: func(ctx context.Context, c *client, n int) error {
		if err := c.write(c.target.head("POST", n)+chunkedHead, 0); err != nil {
			return err
		}
		return c.trickle(ctx, chunked(zeros(smallBody), 1))
	}},
	{name: "slow-readers", send: func(ctx context.Context, c *client, n int) error {
		if err := c.write(c.target.head("GET", n)+"Content-Length: 0\r\n\r\n", 0); err != nil {
			return err
		}
		return c.readSlowly(ctx)
	}},
	{name: "ended-half-way", send: func(ctx context.Context, c *client, n int) error {
		err := c.write(c.target.head("POST", n)+lengthHead(smallBody)+zeros(smallBody/2), 0)
		if err == nil {
			err = c.Conn.(*net.TCPConn).CloseWrite()
		}
		return err
	}},
	{name: "not-http", send: func(ctx context.Context, c *client, n int) error {
		return c.write(strings.Repeat("\x16\x03\x01\x02\x00\x01", 1000), 0)
	}},
}

// datagramForms are the ways of misbehaving at a port for datagrams.
var datagramForms = []form{
	{name: "datagrams", send: func(ctx context.Context, c *client, n int) error {
		for ; ctx.Err() == nil; sleep(ctx, smallPause) {
			for range 10 {
				datagram := make([]byte, rand.IntN(maxDatagram))
				for i := range datagram {
					datagram[i] = byte(rand.Uint32())
				}
				_, _ = c.Write(datagram) // fails while the port is closed
			}
			c.sent()
		}
		return ctx.Err()
	}},
}

// maxDatagram is more than processes send in a datagram.
const maxDatagram = 8 << 10

// formsNamed returns the forms with these names.
func formsNamed(names ...string) []form {
	var chosen []form
	for _, f := range forms {
		if slices.Contains(names, f.name) {
			chosen = append(chosen, f)
		}
	}
	return chosen
}

// receiveBuffer is the size of the receive buffer of misbehaving clients, so that what they do not read stays at the process.
const receiveBuffer = 4 << 10

// dial opens a client's connection.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	return dialer.DialContext(ctx, cmp.Or(network, "tcp"), addr)
}
