// Package membership runs a node's control loop: one thread that owns the
// heartbeats, the timers and all control state, and publishes immutable views
// for the threads that carry traffic.
//
// It tells who is there by two sources: the nodes' own heartbeats, and the
// platform's lagging list of VMs. Whichever says first that a node is leaving is
// believed. Nothing that must hold depends on this knowledge: a wrong or stale
// view sends a request to an agent that refuses it.
package membership

import (
	"time"

	"aspenyard.example/wire"
)

// Config of a control loop.
type Config struct {
	// Node, Role and DataCentre identify this process; Role is RoleEntry or
	// RoleAgent.
	Node, Role, DataCentre string
	// Listen is the UDP address for heartbeats; Advertise is the address told to
	// others.
	Listen, Advertise string
	// Incarnation rises with each life of the node.
	Incarnation uint64
	// Interval between heartbeats. Shorter finds failures sooner and costs each
	// entry one datagram per agent and interval.
	Interval time.Duration
	// SuspectAfter is the silence after which a node is suspect. Shorter moves
	// work away sooner; longer forgives more lost datagrams. At least four
	// intervals, so that one of four may be lost without consequence.
	SuspectAfter time.Duration
	// RemoveAfter is the silence after which a node that the platform does not
	// list either is dropped from the view.
	RemoveAfter time.Duration
	// Tick is the period of timers and of publishing views; default 50ms.
	Tick time.Duration
	// BytesPerSecond bounds what heartbeats cost a receiving entry: it advises
	// its agents of a longer interval when they are many, and takes a longer one itself
	// when it reports to many others. Default 4,000.
	BytesPerSecond int
	// LocalEntries and RemoteEntries are how many entries a node reports to in its own data
	// centre and in each other one; defaults 8 and 2. More of them know more of the
	// node's load, and receive more heartbeats.
	LocalEntries, RemoteEntries int
	// LongestInterval is how far an entry's heartbeats to other entries may be apart where
	// they are many: it reports to as many of them as BytesPerSecond allow at that interval,
	// at least NearEntries and FarEntries, and to all where these are fewer. Longer lets
	// more entries know of each other, of an older state. 0: to NearEntries and FarEntries
	// alone.
	LongestInterval time.Duration
	// Seeds are entries' addresses to use before the platform's list is known.
	Seeds []string
}

// The roles.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	defaultTick           = 50 * time.Millisecond
	defaultBytesPerSecond = 4000
	defaultForgetAfter    = time.Minute
	defaultNearEntries    = 8
	defaultFarEntries     = 2
	// agentHeartbeatBytes is an agent's heartbeat with its UDP and IP headers, as
	// measured by the capacity bench.
	agentHeartbeatBytes = 223
	// missedBeforeSuspect is how many heartbeats in a row may be lost.
	missedBeforeSuspect = 4
)

func (c *Config) setDefaults() {
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = defaultBytesPerSecond
	}
	if c.RemoveAfter == 0 {
		c.RemoveAfter = defaultForgetAfter
	}
	if c.LocalEntries == 0 {
		c.LocalEntries = defaultNearEntries
	}
	if c.RemoteEntries == 0 {
		c.RemoteEntries = defaultFarEntries
	}
}

// Delegate is the role's part of the control state. All methods run on the
// control thread.
type Delegate interface {
	// FillHeartbeat adds the role's own state to a heartbeat about to be sent.
	FillHeartbeat(now time.Time, h *wire.Heartbeat)
	// HandleHeartbeat tells of an accepted heartbeat.
	HandleHeartbeat(now time.Time, h *wire.Heartbeat)
	// Tick runs the role's timers; members is the present view.
	Tick(now time.Time, members *View)
}
