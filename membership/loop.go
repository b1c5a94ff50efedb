package membership

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/infra"
	"aspenyard.example/wire"
)

// ErrStopped is returned by Do once the loop has stopped.
var ErrStopped = errors.New("membership: control loop stopped")

// Stats counts the loop's traffic.
type Stats struct {
	SentBytes, ReceivedBytes, SentDatagrams, ReceivedDatagrams atomic.Uint64
}

// Loop is a node's control thread: one gnet event loop over UDP.
type Loop struct {
	gnet.BuiltinEventEngine

	// Stats is safe to read from any thread.
	Stats Stats

	config    Config
	delegate  Delegate
	state     *state
	view      atomic.Pointer[View]
	eventLoop atomic.Pointer[gnet.EventLoop]
	engine    gnet.Engine
	sender    *net.UDPConn
	stopped   chan struct{}
	stopOnce  sync.Once
	booted    chan struct{}
	leaving   atomic.Bool
}

// NewLoop makes a loop; Run starts it.
func NewLoop(config Config, delegate Delegate) *Loop {
	config.setDefaults()
	l := &Loop{
		config: config, delegate: delegate, state: newState(config),
		stopped: make(chan struct{}), booted: make(chan struct{}),
	}
	l.view.Store(&View{Members: map[string]*Member{}})
	return l
}

// View is the latest published view; safe from any thread.
func (l *Loop) View() *View { return l.view.Load() }

// Leaving tells whether this node is known to be leaving; safe from any thread.
func (l *Loop) Leaving() bool { return l.leaving.Load() }

// Run serves until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		l.stop()
	}()
	err := gnet.Run(l, "udp://"+l.config.Listen, gnet.WithTicker(true), gnet.WithMulticore(false), gnet.WithNumEventLoop(1), gnet.WithLogger(discardLogger{}))
	l.stop()
	return errors.Wrap(err, "control loop")
}

func (l *Loop) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		select {
		case <-l.booted:
			_ = l.engine.Stop(context.Background())
		default:
		}
	})
}

// OnBoot implements gnet.EventHandler: it takes a second handle of the socket,
// to send from the address that is listened on.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	fd, err := engine.Dup()
	if err != nil {
		return gnet.Shutdown
	}
	file := os.NewFile(uintptr(fd), "heartbeats")
	conn, err := net.FilePacketConn(file)
	_ = file.Close()
	if err != nil {
		return gnet.Shutdown
	}
	sender, ok := conn.(*net.UDPConn)
	if !ok {
		return gnet.Shutdown
	}
	l.sender = sender
	close(l.booted)
	return gnet.None
}

// OnTick implements gnet.EventHandler. gnet calls it beside the event loop, so
// the work is passed on to it.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if l.eventLoop.Load() == nil {
		// The event loop's handle comes with its first datagram: send it one.
		l.send(l.config.Listen, nil)
		return l.config.Tick, gnet.None
	}
	l.Post(func() { l.Step(time.Now()) })
	return l.config.Tick, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	if l.eventLoop.Load() == nil {
		events := c.EventLoop()
		l.eventLoop.Store(&events)
	}
	data, err := c.Next(-1)
	if err != nil || len(data) == 0 {
		return gnet.None
	}
	l.Receive(time.Now(), data)
	return gnet.None
}

// Receive takes in one datagram. Control thread; the benches call it on a loop
// that does not run.
func (l *Loop) Receive(now time.Time, data []byte) {
	l.Stats.ReceivedBytes.Add(uint64(len(data) + headerBytes))
	l.Stats.ReceivedDatagrams.Add(1)
	var h wire.Heartbeat
	if proto.Unmarshal(data, &h) == nil {
		l.acceptHeartbeat(now, &h)
	}
}

// headerBytes is what IPv4 and UDP add to a datagram.
const headerBytes = 28

func (l *Loop) acceptHeartbeat(now time.Time, h *wire.Heartbeat) {
	if !l.state.acceptHeartbeat(now, h) {
		return
	}
	l.delegate.HandleHeartbeat(now, h)
	if !h.Reply && l.config.Role == RoleEntry && h.Role == RoleAgent {
		l.sendHeartbeat(now, []string{h.Addr}, true)
	}
}

// Step runs the timers and publishes the view. Control thread; the benches call
// it on a loop that does not run.
func (l *Loop) Step(now time.Time) {
	l.state.tick(now)
	l.leaving.Store(l.state.leaving(now))
	if !now.Before(l.state.nextHeartbeat) {
		targets := l.state.recipients(now)
		bytes := l.sendHeartbeat(now, targets, false)
		l.state.nextHeartbeat = now.Add(l.state.heartbeatInterval(len(targets), bytes))
	}
	if l.state.viewChanged {
		l.state.viewChanged = false
		l.view.Store(l.state.view())
	}
	l.delegate.Tick(now, l.View())
}

// sendHeartbeat sends one heartbeat to each address and gives its size.
func (l *Loop) sendHeartbeat(now time.Time, targets []string, reply bool) (bytes int) {
	if len(targets) == 0 {
		return 0
	}
	l.state.sequence++
	h := &wire.Heartbeat{
		Node: l.config.Node, Role: l.config.Role, DataCentre: l.config.DataCentre, Addr: l.config.Advertise,
		Incarnation: l.config.Incarnation, Sequence: l.state.sequence, Leaving: l.state.leaving(now), Reply: reply,
		AdvisedIntervalMs: l.state.advisedInterval.Milliseconds(), LeavingNodes: l.state.leavingNames,
	}
	l.delegate.FillHeartbeat(now, h)
	if h.Partial {
		h.Role, h.DataCentre, h.Addr, h.LeavingNodes = "", "", "", nil
	}
	data, err := proto.Marshal(h)
	if err != nil {
		return 0
	}
	for _, target := range targets {
		l.send(target, data)
	}
	return len(data) + headerBytes
}

func (l *Loop) send(target string, data []byte) {
	addr, err := netip.ParseAddrPort(target)
	if err != nil || l.sender == nil {
		return
	}
	// A datagram that cannot be sent is the same as one that is lost.
	if _, err := l.sender.WriteToUDPAddrPort(data, addr); err == nil {
		l.Stats.SentBytes.Add(uint64(len(data) + headerBytes))
		l.Stats.SentDatagrams.Add(1)
	}
}

// Leave marks this node as leaving and tells the entries at once.
func (l *Loop) Leave() {
	l.leaving.Store(true)
	l.Post(func() {
		l.state.leaveRequested = true
		l.sendHeartbeatNow()
	})
}

// Announce sends a heartbeat at once, beside the regular ones.
func (l *Loop) Announce() {
	l.Post(l.sendHeartbeatNow)
}

// sendHeartbeatNow sends a heartbeat beside the regular ones. Control thread.
func (l *Loop) sendHeartbeatNow() {
	now := time.Now()
	l.sendHeartbeat(now, l.state.recipients(now), false)
}

// SetList takes in the platform's list.
func (l *Loop) SetList(vms []infra.VM) {
	l.Post(func() { l.state.applyList(time.Now(), vms) })
}

// Post runs f on the control thread, some time later. It is dropped once the
// loop has stopped.
func (l *Loop) Post(f func()) {
	events := l.eventLoop.Load()
	if events == nil {
		go func() {
			if l.awaitEventLoop() {
				l.Post(f)
			}
		}()
		return
	}
	_ = (*events).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

func (l *Loop) awaitEventLoop() bool {
	for l.eventLoop.Load() == nil {
		select {
		case <-l.stopped:
			return false
		case <-time.After(l.config.Tick):
		}
	}
	return true
}

// Do runs f on the control thread and waits for it. Errors: the context's, or
// ErrStopped; f may still run after the context's end.
func (l *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-l.stopped:
		return ErrStopped
	}
}

// discardLogger keeps gnet from writing lines that are not JSON.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
