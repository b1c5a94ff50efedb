//go:build crowds

package crowds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"aspenyard.example/standin/link"
)

const (
	// crowdSize is how many clients misbehave at once.
	crowdSize = 300
	// reconnectPause is how long a client whose connection was closed waits before it opens another one.
	reconnectPause = 100 * time.Millisecond
	// ordinaryRequests is how many ordinary requests must be answered while the crowd is there.
	ordinaryRequests = 5
	ordinaryPause    = 200 * time.Millisecond
)

// bounds are what a process must stay within.
type bounds struct{ memory, descriptors int }

// crowd is a number of clients that misbehave in the same way until it is stopped.
type crowd struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	// sent counts the clients that have sent all that they send, or whose connection was refused.
	sent atomic.Int64
}

// startCrowd starts a crowd.
func startCrowd(target *target, f form) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	for n := range crowdSize {
		sent := sync.OnceFunc(func() { c.sent.Add(1) })
		c.done.Go(func() {
			for ; ctx.Err() == nil; sleep(ctx, reconnectPause) {
				c.misbehave(ctx, target, f, n, sent)
			}
		})
	}
	return c
}

// misbehave uses one connection until its other end closes it.
func (c *crowd) misbehave(ctx context.Context, target *target, f form, n int, sent func()) {
	conn, err := dial(ctx, target.network, target.addr(n))
	if err != nil {
		sent()
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	err = f.send(ctx, &client{Conn: conn, target: target, sent: sent}, n)
	sent()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	awaitReset(ctx, conn)
}

// awaitReset waits, without reading, until the other end has closed the connection for good.
func awaitReset(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil && link.Open(conn) {
		sleep(ctx, pollInterval)
	}
}

// stop ends the crowd; its connections are closed.
func (c *crowd) stop() {
	c.cancel()
	c.done.Wait()
}

// playForm checks that processes bear a crowd: they live, stay within their bounds, and answer ordinary requests beside the crowd
// and after it.
func playForm(t *testing.T, processes []*process, target *target, f form, limits bounds, ordinary func() error) {
	t.Helper()
	await(t, "an ordinary request before the crowd", ordinary)
	idle := processes[0].usage()
	c := startCrowd(target, f)
	stop := sync.OnceFunc(c.stop)
	defer stop()
	defer func() { report(t, processes, idle, limits) }()
	await(t, "the crowd", func() error {
		if n := c.sent.Load(); n < crowdSize {
			return fmt.Errorf("%d of %d clients have sent what they send", n, crowdSize)
		}
		return nil
	})
	time.Sleep(f.stay)
	for range ordinaryRequests {
		await(t, "an ordinary request beside the crowd", ordinary)
		time.Sleep(ordinaryPause)
	}
	stop()
	await(t, "an ordinary request after the crowd", ordinary)
}

// report fails the test for processes that have ended or exceeded their bounds.
func report(t *testing.T, processes []*process, idle usage, limits bounds) {
	t.Helper()
	for _, p := range processes {
		peak := p.peakUsage()
		t.Logf("idle %d resident bytes; peak %d resident and %d kernel bytes, of %d; %d descriptors, of %d", idle.resident, peak.resident, peak.kernel, limits.memory, peak.descriptors, limits.descriptors)
		if !p.alive() {
			t.Errorf("the process has ended: %v; its log ends:\n%s", p.cmd.ProcessState, p.lastLog())
		}
		if peak.memory() > limits.memory {
			t.Errorf("the process takes %d bytes of %d", peak.memory(), limits.memory)
		}
		if peak.descriptors > limits.descriptors {
			t.Errorf("the process has %d descriptors of %d", peak.descriptors, limits.descriptors)
		}
	}
}
