// Package membership runs a node's control loop: one thread that owns the
// heartbeats, the timers and all control state, and publishes immutable views
// for the threads that serve requests.
//
// It learns the other nodes from two sources: their own heartbeats, and the platform's
// list of VMs, which lags. A node counts as leaving as soon as one of them says so. No
// guarantee depends on this knowledge: with a wrong or stale view, a request is sent to
// an agent that refuses it.
package membership

import (
	"time"

	"aspenyard.example/wire"
)

// Config configures a control loop.
type Config struct {
	// Node, Role and DataCentre identify this process; Role is RoleEntry or
	// RoleAgent.
	Node, Role, DataCentre string
	// Listen is the UDP address for heartbeats; Advertise is the address that other
	// nodes send to.
	Listen, Advertise string
	// Incarnation numbers the incarnations of the node and rises with each start.
	Incarnation uint64
	// Interval is the time between heartbeats. A shorter one detects failures sooner;
	// each entry receives one datagram per agent and interval.
	Interval time.Duration
	// SuspectAfter is the time without a heartbeat after which a node is suspect. A
	// shorter one moves requests away sooner; a longer one tolerates more lost
	// datagrams. It should be at least four intervals, so that one heartbeat in four
	// may be lost without consequence.
	SuspectAfter time.Duration
	// RemoveAfter is the time without a heartbeat after which a node that the platform
	// does not list either is removed from the view. Default one minute.
	RemoveAfter time.Duration
	// Tick is the period of the timers and of publishing views; default 50ms.
	Tick time.Duration
	// BytesPerSecond bounds the heartbeats that an entry receives from its agents and
	// sends to other entries, in bytes per second each: it advises its agents to use a
	// longer interval when there are many, and uses a longer one itself when it reports
	// to many entries. Default 4,000.
	BytesPerSecond int
	// LocalEntries and RemoteEntries are how many entries a node reports to in its own
	// data centre and in each other one; defaults 8 and 2. With more, more entries know
	// the node's load, and each receives more heartbeats.
	LocalEntries, RemoteEntries int
	// LongestInterval is the interval at which an entry may send heartbeats in order to
	// reach more entries: it reports to as many as BytesPerSecond allows at that
	// interval, or to all if there are fewer, but at least to LocalEntries and
	// RemoteEntries. With a longer interval, more entries know each other's state, but
	// know it later. With 0, an entry reports to LocalEntries and RemoteEntries only.
	LongestInterval time.Duration
	// Seeds are addresses of entries to report to while no entry is known.
	Seeds []string
}

// The roles of a node.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	defaultTick           = 50 * time.Millisecond
	defaultBytesPerSecond = 4000
	defaultRemoveAfter    = time.Minute
	defaultLocalEntries   = 8
	defaultRemoteEntries  = 2
	// agentHeartbeatBytes is the size of an agent's heartbeat, including its UDP
	// and IP headers.
	agentHeartbeatBytes = 223
	// missedBeforeSuspect is how many heartbeats in a row a node may miss before it is
	// suspect.
	missedBeforeSuspect = 4
)

// setDefaults sets the fields that have a default and are zero.
func (c *Config) setDefaults() {
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = defaultBytesPerSecond
	}
	if c.RemoveAfter == 0 {
		c.RemoveAfter = defaultRemoveAfter
	}
	if c.LocalEntries == 0 {
		c.LocalEntries = defaultLocalEntries
	}
	if c.RemoteEntries == 0 {
		c.RemoteEntries = defaultRemoteEntries
	}
}

// Delegate holds the control state of a role: entry, gateway or agent. All methods run
// on the control thread.
type Delegate interface {
	// FillHeartbeat adds the role's state to a heartbeat before it is sent.
	FillHeartbeat(now time.Time, h *wire.Heartbeat)
	// HandleHeartbeat is called for each accepted heartbeat of another node.
	HandleHeartbeat(now time.Time, h *wire.Heartbeat)
	// Tick runs the role's timers; members is the current view.
	Tick(now time.Time, members *View)
}
