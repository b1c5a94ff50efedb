package settings

import "time"

// Node holds the settings that entries and agents have in common.
type Node struct {
	// Name identifies the VM in the platform's list. It is unique and required.
	Name string `json:"name"`
	// DataCentre is the data centre that the VM is in. It is required.
	DataCentre string `json:"data_centre"`
	// Listen is the IP address and port for other nodes: TCP for RPCs, and UDP on the same
	// port for heartbeats.
	Listen string `json:"listen"`
	// Advertise is the address that other nodes are given; default: Listen.
	Advertise string `json:"advertise,omitempty"`
	// OperatorsListen is the address for metrics, health checks and the operators'
	// interface.
	OperatorsListen string `json:"operators_listen"`
	// Platform is the address of the platform's store and of its VM list.
	Platform string `json:"platform"`
	// Seeds are addresses of entries that are tried while the platform's VM list cannot be
	// read. Without seeds, a process that starts during an outage of the list waits until it
	// ends.
	Seeds []string `json:"seeds,omitempty"`
	// HeartbeatInterval is the time between heartbeats; default 500ms. A shorter interval
	// detects failures sooner and costs more datagrams.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty"`
	// SuspectAfter is the time without a heartbeat after which an endpoint gets no new
	// work; default 3s. A shorter time moves work sooner and suspects healthy endpoints more
	// often.
	SuspectAfter Duration `json:"suspect_after,omitempty"`
	// ListInterval is the time between reads of the platform's VM list; default 1s.
	ListInterval Duration `json:"list_interval,omitempty"`
	// ListLag is the longest time by which the platform's VM list lags behind; default 30s. A
	// VM that has been off the list for longer is assumed to draw no power. If the value is
	// too short, its power can be granted to others while the VM still draws it.
	ListLag Duration `json:"list_lag,omitempty"`
	// StoreTimeout bounds the time until a call to the platform's store is answered, and a pause in its
	// transfer; default 1s.
	StoreTimeout Duration `json:"store_timeout,omitempty"`
	// PeerTimeout bounds a call with a short answer to another node, and the answer to a ping; default
	// 1s. A shorter time frees the resources of a suspended node's requests sooner. On machines whose
	// processes wait longer than that for a processor it ends requests of nodes that are alive.
	PeerTimeout Duration `json:"peer_timeout,omitempty"`
	// DrainTimeout bounds how long a graceful shutdown waits for requests; default 60s.
	DrainTimeout Duration `json:"drain_timeout,omitempty"`
	// MemoryLimit is the memory that the process may use; default 256MB. What is held of requests that are being received takes
	// at most half of it; further ones are refused with when to come back. With less than sixteen times body_limit, the largest
	// requests are served one at a time.
	MemoryLimit Size `json:"memory_limit,omitempty"`
}

// SetDefaults sets the optional fields that are zero to their defaults.
func (n *Node) SetDefaults() {
	if n.Advertise == "" {
		n.Advertise = n.Listen
	}
	setDuration(&n.HeartbeatInterval, 500*time.Millisecond)
	setDuration(&n.SuspectAfter, 3*time.Second)
	setDuration(&n.ListInterval, time.Second)
	setDuration(&n.ListLag, 30*time.Second)
	setDuration(&n.StoreTimeout, time.Second)
	setDuration(&n.PeerTimeout, time.Second)
	setDuration(&n.DrainTimeout, time.Minute)
	if n.MemoryLimit == 0 {
		n.MemoryLimit = DefaultMemoryLimit
	}
}

// setDuration sets a duration that is 0 to its default.
func setDuration(d *Duration, value time.Duration) {
	if *d == 0 {
		*d = Duration(value)
	}
}

// Check sets the defaults and returns an error for each field that is not valid.
func (n *Node) Check() FieldErrors {
	n.SetDefaults()
	var errs FieldErrors
	errs.CheckName("name", n.Name)
	errs.CheckName("data_centre", n.DataCentre)
	errs.CheckAddr("listen", n.Listen)
	errs.CheckAddr("advertise", n.Advertise)
	errs.CheckAddr("operators_listen", n.OperatorsListen)
	errs.CheckAddr("platform", n.Platform)
	for _, seed := range n.Seeds {
		errs.CheckAddr("seeds", seed)
	}
	errs.CheckRange("heartbeat_interval", n.HeartbeatInterval.D(), 20*time.Millisecond, time.Minute)
	errs.CheckRange("suspect_after", n.SuspectAfter.D(), 2*n.HeartbeatInterval.D(), 10*time.Minute)
	errs.CheckRange("list_interval", n.ListInterval.D(), 20*time.Millisecond, 10*time.Minute)
	errs.CheckRange("list_lag", n.ListLag.D(), 0, time.Hour)
	errs.CheckRange("store_timeout", n.StoreTimeout.D(), 10*time.Millisecond, time.Minute)
	errs.CheckRange("peer_timeout", n.PeerTimeout.D(), 50*time.Millisecond, time.Minute)
	errs.CheckRange("drain_timeout", n.DrainTimeout.D(), 0, 24*time.Hour)
	errs.CheckInt("memory_limit", int64(n.MemoryLimit), 32_000_000, 1<<40)
	return errs
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	// CallersListen is the address for callers' requests, to which the platform's balancer
	// connects.
	CallersListen string `json:"callers_listen"`
	// BodyLimit bounds the body of a caller's request; default 16MB.
	BodyLimit Size `json:"body_limit,omitempty"`
	// ConnectionLimit bounds the number of callers' open connections; default 4096, or fewer if a quarter of memory_limit or half
	// of the process's descriptors is less. For another one, a connection is closed that is idle, or whose caller takes too
	// long to send a request.
	ConnectionLimit int64 `json:"connection_limit,omitempty"`
	// DefaultDeadline is the deadline of a request whose caller sends none; default 60s.
	DefaultDeadline Duration `json:"default_deadline,omitempty"`
	// DeadlineLimit is the longest deadline that a caller may ask for; default 30m.
	DeadlineLimit Duration `json:"deadline_limit,omitempty"`
	// BootstrapOperatorSHA256 is the hexadecimal SHA-256 hash of a key that is accepted as
	// an operator's key while the catalogue has no operator.
	BootstrapOperatorSHA256 string `json:"bootstrap_operator_sha256,omitempty"`
	// Policy names the routing policy; default "aspenyard".
	Policy string `json:"policy,omitempty"`
}

const (
	defaultBodyLimit       = 16_000_000
	defaultConnectionLimit = 4096
	defaultDeadline        = time.Minute
	defaultDeadlineLimit   = 30 * time.Minute
)

// Check sets the defaults and returns an error for each field that is not valid.
func (e *Entry) Check() FieldErrors {
	if e.BodyLimit == 0 {
		e.BodyLimit = defaultBodyLimit
	}
	if e.ConnectionLimit == 0 {
		e.ConnectionLimit = defaultConnectionLimit
	}
	setDuration(&e.DefaultDeadline, defaultDeadline)
	setDuration(&e.DeadlineLimit, defaultDeadlineLimit)
	if e.Policy == "" {
		e.Policy = "aspenyard"
	}
	errs := e.Node.Check()
	errs.CheckAddr("callers_listen", e.CallersListen)
	errs.CheckInt("body_limit", int64(e.BodyLimit), 1, 256_000_000)
	errs.CheckInt("connection_limit", e.ConnectionLimit, 1, 1_000_000)
	errs.CheckRange("deadline_limit", e.DeadlineLimit.D(), time.Millisecond, 24*time.Hour)
	errs.CheckRange("default_deadline", e.DefaultDeadline.D(), time.Millisecond, e.DeadlineLimit.D())
	if n := len(e.BootstrapOperatorSHA256); n != 0 && n != 64 {
		errs.Add("bootstrap_operator_sha256", e.BootstrapOperatorSHA256, "64 hexadecimal digits")
	}
	return errs
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	// Endpoint is the address of the engine or plain service on this VM.
	Endpoint string `json:"endpoint"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Services are the names of the kinds of work that a plain service takes; required if
	// Kind is "service".
	Services []string `json:"services,omitempty"`
	// ReservationLease is how long a reservation waits for its run request before it
	// expires; default 2s.
	ReservationLease Duration `json:"reservation_lease,omitempty"`
	// ServiceSlots is how many calls a plain service runs at once; default 64.
	ServiceSlots int64 `json:"service_slots,omitempty"`
}

// Check sets the defaults and returns an error for each field that is not valid.
func (a *Agent) Check() FieldErrors {
	setDuration(&a.ReservationLease, 2*time.Second)
	if a.ServiceSlots == 0 {
		a.ServiceSlots = 64
	}
	errs := a.Node.Check()
	errs.CheckAddr("endpoint", a.Endpoint)
	if a.Kind != "engine" && a.Kind != "service" {
		errs.Add("kind", a.Kind, `"engine" or "service"`)
	}
	if a.Kind == "service" && len(a.Services) == 0 {
		errs.Add("services", a.Services, "at least one kind of work")
	}
	for _, name := range a.Services {
		errs.CheckName("services", name)
	}
	errs.CheckRange("reservation_lease", a.ReservationLease.D(), 50*time.Millisecond, time.Minute)
	errs.CheckInt("service_slots", a.ServiceSlots, 1, 100_000)
	return errs
}
