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

// ErrStopped is the error of Do once the loop has stopped.
var ErrStopped = errors.New("membership: control loop stopped")

// Stats counts the heartbeat traffic of a loop. Bytes include the IP and UDP headers.
type Stats struct {
	SentBytes, ReceivedBytes, SentDatagrams, ReceivedDatagrams atomic.Uint64
}

// Loop is a node's control thread: one gnet event loop over UDP. Its methods are safe for
// concurrent use unless they say that they belong to the control thread.
type Loop struct {
	gnet.BuiltinEventEngine

	// Stats may be read on any thread.
	Stats Stats

	config   Config
	delegate Delegate
	state    *state
	view     atomic.Pointer[View]
	// eventLoop is nil until the first datagram arrives, see OnTick.
	eventLoop atomic.Pointer[gnet.EventLoop]
	engine    gnet.Engine
	sender    *net.UDPConn
	stopped   chan struct{}
	stopOnce  sync.Once
	booted    chan struct{}
	leaving   atomic.Bool
}

// NewLoop returns a control loop, which does not run before Run.
func NewLoop(config Config, delegate Delegate) *Loop {
	config.setDefaults()
	l := &Loop{
		config: config, delegate: delegate, state: newState(config),
		stopped: make(chan struct{}), booted: make(chan struct{}),
	}
	l.view.Store(&View{Members: map[string]*Member{}})
	return l
}

// View returns the latest published view. It is never nil.
func (l *Loop) View() *View { return l.view.Load() }

// Leaving returns whether this node is leaving: by its own Leave, by the platform's list,
// or by what another node has read in that list.
func (l *Loop) Leaving() bool { return l.leaving.Load() }

// Run runs the loop until ctx ends. It returns an error if the loop cannot listen.
func (l *Loop) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		l.stop()
	}()
	err := gnet.Run(l, "udp://"+l.config.Listen, gnet.WithTicker(true), gnet.WithMulticore(false), gnet.WithNumEventLoop(1), gnet.WithLogger(discardLogger{}))
	l.stop()
	return errors.Wrap(err, "control loop")
}

// stop marks the loop as stopped and stops the event loop if it has booted.
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

// OnBoot implements gnet.EventHandler. It duplicates the socket's descriptor, so that
// heartbeats are sent from the address that the loop listens on.
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

// bootPollInterval is the time between two attempts to get the event loop's handle. A node sends no
// heartbeat before it has the handle.
const bootPollInterval = 2 * time.Millisecond

// OnTick implements gnet.EventHandler. gnet calls it on another thread than the event
// loop's, so it posts the work to the event loop.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if l.eventLoop.Load() == nil {
		// gnet gives the event loop's handle with a datagram only, so the loop sends one
		// to itself.
		l.send(l.config.Listen, nil)
		return min(l.config.Tick, bootPollInterval), gnet.None
	}
	l.Post(func() { l.Step(time.Now()) })
	return l.config.Tick, gnet.None
}

// OnTraffic implements gnet.EventHandler. It handles one datagram.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	if l.eventLoop.Load() == nil {
		eventLoop := c.EventLoop()
		l.eventLoop.Store(&eventLoop)
	}
	data, err := c.Next(-1)
	if err != nil || len(data) == 0 {
		return gnet.None
	}
	l.Receive(time.Now(), data)
	return gnet.None
}

// Receive handles one datagram; one that is not a heartbeat is ignored. It belongs to the
// control thread; the benches call it on a loop that does not run.
func (l *Loop) Receive(now time.Time, data []byte) {
	l.Stats.ReceivedBytes.Add(uint64(len(data) + headerBytes))
	l.Stats.ReceivedDatagrams.Add(1)
	var h wire.Heartbeat
	if proto.Unmarshal(data, &h) == nil {
		l.acceptHeartbeat(now, &h)
	}
}

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// acceptHeartbeat passes a heartbeat that is not outdated to the delegate. An entry answers
// each heartbeat of an agent.
func (l *Loop) acceptHeartbeat(now time.Time, h *wire.Heartbeat) {
	if h.FeedRequest != nil || h.FeedResponse != nil {
		// They say nothing about the membership: a node that asks another one now and then would
		// otherwise count as suspect in between.
		if h.Node != l.config.Node {
			l.delegate.HandleHeartbeat(now, h)
		}
		return
	}
	if !l.state.acceptHeartbeat(now, h) {
		return
	}
	l.delegate.HandleHeartbeat(now, h)
	if !h.Reply && l.config.Role == RoleEntry && h.Role == RoleAgent {
		l.sendHeartbeat(now, []string{h.Addr}, true)
	}
}

// Step runs the timers, sends the heartbeats that are due and publishes the view. It
// belongs to the control thread; the benches call it on a loop that does not run.
func (l *Loop) Step(now time.Time) {
	l.state.tick(now)
	l.leaving.Store(l.state.leaving(now))
	if !now.Before(l.state.nextHeartbeat) {
		recipients := l.state.recipients(now)
		bytes := l.sendHeartbeat(now, recipients, false)
		if len(recipients) > 0 {
			l.state.nextHeartbeat = now.Add(l.state.heartbeatInterval(len(recipients), bytes))
		}
	}
	if l.state.viewChanged {
		l.state.viewChanged = false
		l.view.Store(l.state.view())
	}
	l.delegate.Tick(now, l.View())
}

// sendHeartbeat sends one heartbeat to each address and returns its size in bytes, with
// headers.
func (l *Loop) sendHeartbeat(now time.Time, recipients []string, reply bool) (bytes int) {
	if len(recipients) == 0 {
		return 0
	}
	h := l.newHeartbeat(now)
	h.Reply = reply
	l.delegate.FillHeartbeat(now, h)
	if h.Partial {
		h.Role, h.DataCentre, h.Addr, h.LeavingNodes = "", "", "", nil
	}
	data, err := proto.Marshal(h)
	if err != nil {
		return 0
	}
	for _, recipient := range recipients {
		l.send(recipient, data)
	}
	return len(data) + headerBytes
}

// newHeartbeat returns a heartbeat that identifies this node, with the next sequence number.
func (l *Loop) newHeartbeat(now time.Time) *wire.Heartbeat {
	l.state.sequence++
	return &wire.Heartbeat{
		Node: l.config.Node, Role: l.config.Role, DataCentre: l.config.DataCentre, Addr: l.config.Advertise,
		Incarnation: l.config.Incarnation, Sequence: l.state.sequence, Leaving: l.state.leaving(now),
		AdvisedIntervalMs: l.state.advisedInterval.Milliseconds(), LeavingNodes: l.state.leavingNames,
	}
}

// SendTo sends one heartbeat to one address, with what fill adds instead of the delegate. It
// belongs to the control thread.
func (l *Loop) SendTo(now time.Time, recipient string, fill func(h *wire.Heartbeat)) {
	h := l.newHeartbeat(now)
	h.LeavingNodes = nil // the regular heartbeats carry them
	fill(h)
	if data, err := proto.Marshal(h); err == nil {
		l.send(recipient, data)
	}
}

// send sends one datagram. Before OnBoot it does nothing.
func (l *Loop) send(recipient string, data []byte) {
	addr, err := netip.ParseAddrPort(recipient)
	if err != nil || l.sender == nil {
		return
	}
	// An error counts as a lost datagram.
	if _, err := l.sender.WriteToUDPAddrPort(data, addr); err == nil {
		l.Stats.SentBytes.Add(uint64(len(data) + headerBytes))
		l.Stats.SentDatagrams.Add(1)
	}
}

// Leave marks this node as leaving and sends a heartbeat that says so at once.
func (l *Loop) Leave() {
	l.leaving.Store(true)
	l.Post(func() {
		l.state.leaveRequested = true
		l.sendHeartbeatNow()
	})
}

// Announce sends a heartbeat at once, in addition to the regular ones.
func (l *Loop) Announce() {
	l.Post(l.sendHeartbeatNow)
}

// sendHeartbeatNow sends a heartbeat in addition to the regular ones. It belongs to the
// control thread.
func (l *Loop) sendHeartbeatNow() {
	now := time.Now()
	l.sendHeartbeat(now, l.state.recipients(now), false)
}

// SetList replaces the list of VMs that the platform knows. The first heartbeats are sent as soon as
// the list names their recipients.
func (l *Loop) SetList(vms []infra.VM) {
	l.Post(func() {
		now := time.Now()
		l.state.applyList(now, vms)
		if l.state.nextHeartbeat.IsZero() {
			l.Step(now)
		}
	})
}

// Post runs f on the control thread at some later time and does not wait for it. Once the
// loop has stopped, f is dropped.
func (l *Loop) Post(f func()) {
	eventLoop := l.eventLoop.Load()
	if eventLoop == nil {
		go func() {
			if l.awaitEventLoop() {
				l.Post(f)
			}
		}()
		return
	}
	_ = (*eventLoop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// awaitEventLoop waits for the event loop's handle. It returns false if the loop stops
// first.
func (l *Loop) awaitEventLoop() bool {
	for l.eventLoop.Load() == nil {
		select {
		case <-l.stopped:
			return false
		case <-time.After(min(l.config.Tick, bootPollInterval)):
		}
	}
	return true
}

// Do runs f on the control thread and waits for it. It fails with the error of ctx, after
// which f may still run, or with ErrStopped.
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

// discardLogger discards gnet's log lines, which are not JSON like the node's own.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
