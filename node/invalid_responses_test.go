package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"aspenyard.example/wire"
)

// rpcAnswer is how a server answers each RPC on a connection. Afterwards it resets the connection if reset is set.
type rpcAnswer struct {
	fields []string // names and values of the head
	data   []byte
	// end ends the stream behind the head, or the data if there are any; resetStream resets it, without an error code.
	end, resetStream, reset bool
}

// resetDelay is the time between an answer and a reset, which would otherwise overtake it.
const resetDelay = 5 * time.Millisecond

// serveAnswers serves RPCs on a free port with one answer, as soon as their heads have arrived. It reads no more of a connection
// that it resets.
func serveAnswers(t *testing.T, answer rpcAnswer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				answer.serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func (a *rpcAnswer) serve(conn net.Conn) {
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				_ = framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			_ = framer.WritePing(true, frame.Data)
		case *http2.HeadersFrame:
			var head bytes.Buffer
			encoder := hpack.NewEncoder(&head)
			for i := 0; i < len(a.fields); i += 2 {
				_ = encoder.WriteField(hpack.HeaderField{Name: a.fields[i], Value: a.fields[i+1]})
			}
			id := frame.StreamID
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head.Bytes(), EndHeaders: true, EndStream: a.end && a.data == nil})
			if a.data != nil {
				_ = framer.WriteData(id, a.end, a.data)
			}
			if a.resetStream {
				_ = framer.WriteRSTStream(id, http2.ErrCodeNo)
			}
			if a.reset {
				time.Sleep(resetDelay)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
		}
	}
}

// rpcs are an RPC with one response and one with a stream of them. Each returns nil only if it takes the response for whole.
var rpcs = map[string]struct {
	contentType string
	call        func(ctx context.Context, addr, text string) error
}{
	"one response": {"application/proto", func(ctx context.Context, addr, text string) error {
		_, err := NewClients(time.Minute).Agent(addr).Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{RequestId: text}))
		return err
	}},
	"stream": {"application/connect+proto", func(ctx context.Context, addr, text string) error {
		stream, err := NewClients(time.Minute).Agent(addr).Run(ctx, connect.NewRequest(&wire.RunRequest{Prompt: text}))
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
		}
		return stream.Err()
	}},
}

// wholeBodies are bodies with an empty message, and the end of the stream of messages.
var wholeBodies = map[string][]byte{"one response": {0x08, 1}, "stream": []byte("\x00\x00\x00\x00\x00\x02\x00\x00\x00\x02{}")}

// Guards against a response of a node that counts as one although HTTP does not allow its head, or its body is not whole.
func TestAnInvalidResponseToAnRPCIsAnError(t *testing.T) {
	for name, rpc := range rpcs {
		head := func(fields ...string) []string {
			return append([]string{":status", "200", "content-type", rpc.contentType}, fields...)
		}
		whole := wholeBodies[name]
		answers := map[string]rpcAnswer{
			"status 000":         {fields: []string{":status", "000", "content-type", rpc.contentType}, data: whole, end: true},
			"status 099":         {fields: []string{":status", "099", "content-type", rpc.contentType}, data: whole, end: true},
			"status 999":         {fields: []string{":status", "999", "content-type", rpc.contentType}, data: whole, end: true},
			"no status":          {fields: []string{"content-type", rpc.contentType}, data: whole, end: true},
			"blank in a name":    {fields: head("x blank", "1"), data: whole, end: true},
			"control in a name":  {fields: head("x-\x01", "1"), data: whole, end: true},
			"delete in a name":   {fields: head("x-\x7f", "1"), data: whole, end: true},
			"upper-case name":    {fields: head("X-Name", "1"), data: whole, end: true},
			"blank behind name":  {fields: head("content-length ", "1"), data: whole, end: true},
			"control in a value": {fields: head("x-name", "a\x00b"), data: whole, end: true},
			"shorter body":       {fields: head("content-length", "100"), data: whole, end: true},
			"no end":             {fields: head(), data: whole, reset: true},
			"no body, no end":    {fields: head(), reset: true},
			"stream reset":       {fields: head(), data: whole, resetStream: true},
			"half, then reset":   {fields: head(), data: whole[:len(whole)/2], reset: true},
		}
		for kind, answer := range answers {
			for size, text := range map[string]string{"short": "x", "long": strings.Repeat("x", 20<<20)} {
				t.Run(name+"/"+kind+"/"+size, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					addr := serveAnswers(t, answer)
					err := rpc.call(ctx, addr, text)
					is.True(err != nil)
					is.True(ctx.Err() == nil)
				})
			}
		}
		t.Run(name+"/whole", func(t *testing.T) {
			addr := serveAnswers(t, rpcAnswer{fields: head(), data: whole, end: true})
			is.New(t).NoErr(rpc.call(t.Context(), addr, "x"))
		})
	}
}
