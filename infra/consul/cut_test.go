package consul

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"aspenyard.example/infra"
	standin "aspenyard.example/standin/consul"
	"aspenyard.example/standin/link"
)

// cutCalls are calls to the platform. Each returns nil only if it takes its result for complete.
var cutCalls = map[string]func(c *Client) error{
	"get": func(c *Client) error {
		value, err := c.Get(context.Background(), "k")
		if err == nil && value.Revision == 0 {
			panic("a value counts as missing")
		}
		return err
	},
	"get missing": func(c *Client) error { _, err := c.Get(context.Background(), "none"); return err },
	"watch":       func(c *Client) error { _, err := c.Watch(context.Background(), "k", 0, time.Second); return err },
	"list VMs": func(c *Client) error {
		vms, err := c.VMs(context.Background())
		if err == nil && len(vms) != 2 {
			panic("a cut list counts as complete")
		}
		return err
	},
	"write": func(c *Client) error {
		value, err := c.Get(context.Background(), "w")
		if err != nil {
			return err
		}
		if err = c.CompareAndSwap(context.Background(), "w", []byte("x"), value.Revision); errors.Is(err, infra.ErrConflict) {
			panic("a write that was made counts as not made")
		}
		return err
	},
}

// Guards against a list, a value or a write that counts as complete, missing or not made although the response was cut: at
// any byte, by a close or a reset, on a new connection or a kept one.
func TestACallWhoseResponseIsCutFails(t *testing.T) {
	for name, call := range cutCalls {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s kept %t reset %t", name, kept, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					platform := standin.New(standin.Settings{})
					platform.SetVMs([]standin.VM{{Name: "a", Role: infra.RoleEntry, Addr: "10.0.0.1:7000"}, {Name: "b", Role: infra.RoleAgent, Addr: "10.0.0.2:7000"}})
					server := httptest.NewServer(platform.Handler())
					t.Cleanup(server.Close)
					l, err := link.New(server.Listener.Addr().String())
					is.NoErr(err)
					t.Cleanup(l.Close)
					first := NewClient(l.Addr(), time.Second)
					is.NoErr(first.CompareAndSwap(context.Background(), "k", []byte("v"), 0))
					for { // until the list is visible
						if vms, err := first.VMs(context.Background()); err == nil && len(vms) == 2 {
							break
						}
					}
					is.NoErr(call(first)) // creates what it writes
					l.CountPassed()
					is.NoErr(call(first))
					whole := l.Passed()
					for n := range whole {
						client := NewClient(l.Addr(), time.Second)
						l.CountPassed()
						if kept {
							is.NoErr(call(client))
						}
						l.CutAfter(n, reset)
						if call(client) == nil {
							t.Errorf("cut after %d of %d bytes: no error", n, whole)
						}
						client.http.CloseIdleConnections()
					}
				})
			}
		}
	}
}

// Guards against a list, a value or a write that counts as read, missing or made after a response whose head HTTP does not allow.
func TestACallWhoseResponseHasAnInvalidHeadFails(t *testing.T) {
	is := is.New(t)
	platform := standin.New(standin.Settings{})
	platform.SetVMs([]standin.VM{{Name: "a", Role: infra.RoleEntry, Addr: "10.0.0.1:7000"}, {Name: "b", Role: infra.RoleAgent, Addr: "10.0.0.2:7000"}})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	l, err := link.New(server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(l.Close)
	client := NewClient(l.Addr(), time.Second)
	is.NoErr(client.CompareAndSwap(context.Background(), "k", []byte("v"), 0))
	for vms := []infra.VM(nil); len(vms) != 2; {
		vms, err = client.VMs(context.Background())
		is.NoErr(err)
	}
	for name, call := range cutCalls {
		for _, change := range link.InvalidHeads() {
			l.ChangeHeads(link.HeadChange{})
			is.NoErr(call(client))
			l.ChangeHeads(change)
			if call(client) == nil {
				t.Errorf("%s: no error after the head %q", name, change)
			}
		}
	}
}

// Guards against a write that counts as made, or as not made, after a part of a response without a length whose connection is reset
// while the value is sent.
func TestAWriteWhoseEarlyResponseIsResetIsOfUnknownOutcome(t *testing.T) {
	for _, body := range []string{"true", "false", ""} {
		is := is.New(t)
		addr, stop, err := link.ServeEarlyResets("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
		is.NoErr(err)
		t.Cleanup(stop)
		for range 20 {
			err = NewClient(addr, time.Second).CompareAndSwap(context.Background(), "k", make([]byte, 20<<20), 1)
			is.True(errors.Is(err, infra.ErrOutcomeUnknown))
		}
	}
}

// Guards against a write that counts as not made: the response to it has no length and is cut.
func TestAnAnswerWithoutLengthThatIsCutIsNoConflict(t *testing.T) {
	for _, body := range []string{"", "t", "tru", "f", "fals"} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
			_ = conn.Close()
		}()
		err = NewClient(listener.Addr().String(), time.Second).CompareAndSwap(context.Background(), "k", []byte("v"), 1)
		is.True(errors.Is(err, infra.ErrOutcomeUnknown)) // it may have been made
		_ = listener.Close()
	}
}
