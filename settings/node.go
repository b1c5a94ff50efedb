package settings

import "time"

// Node holds the settings that entries and agents share.
type Node struct {
	// Name identifies the VM in the platform's list. Unique, no default.
	Name string `json:"name"`
	// DataCentre names where the VM stands. No default.
	DataCentre string `json:"data_centre"`
	// Listen is the IP number and port for the project's own processes: TCP for
	// RPCs and UDP for heartbeats on one number.
	Listen string `json:"listen"`
	// Advertise is the address told to others; default: Listen.
	Advertise string `json:"advertise,omitempty"`
	// OperatorsListen serves metrics, health and operators' work.
	OperatorsListen string `json:"operators_listen"`
	// Platform is the address of the platform's store and VM list.
	Platform string `json:"platform"`
	// Seeds are addresses of entries to try while the platform's list cannot be
	// read. Without any, a process that starts during an outage waits for its end.
	Seeds []string `json:"seeds,omitempty"`
	// HeartbeatInterval is the time between heartbeats; default 500ms. Shorter
	// finds failures sooner and costs more datagrams.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty"`
	// SuspectAfter is the silence after which an endpoint gets no new work;
	// default 3s. Shorter moves work sooner and wrongly suspects more often.
	SuspectAfter Duration `json:"suspect_after,omitempty"`
	// ListInterval is the time between reads of the platform's VM list; default 1s.
	ListInterval Duration `json:"list_interval,omitempty"`
	// ListLag is the longest that the platform's list is behind; default 30s. A
	// VM that is off the list for longer draws no power. Too short a value can
	// give its watts away while it still draws them.
	ListLag Duration `json:"list_lag,omitempty"`
	// StoreTimeout bounds one call to the platform's store; default 1s.
	StoreTimeout Duration `json:"store_timeout,omitempty"`
	// DrainTimeout bounds the wait of a graceful shutdown; default 60s.
	DrainTimeout Duration `json:"drain_timeout,omitempty"`
}

// SetDefaults fills the fields that may be left out.
func (n *Node) SetDefaults() {
	if n.Advertise == "" {
		n.Advertise = n.Listen
	}
	setDuration(&n.HeartbeatInterval, 500*time.Millisecond)
	setDuration(&n.SuspectAfter, 3*time.Second)
	setDuration(&n.ListInterval, time.Second)
	setDuration(&n.ListLag, 30*time.Second)
	setDuration(&n.StoreTimeout, time.Second)
	setDuration(&n.DrainTimeout, time.Minute)
}

func setDuration(d *Duration, value time.Duration) {
	if *d == 0 {
		*d = Duration(value)
	}
}

// Check returns every fault of the fields.
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
	errs.CheckRange("drain_timeout", n.DrainTimeout.D(), 0, 24*time.Hour)
	return errs
}

// Entry is the settings of an entry.
type Entry struct {
	Node
	// CallersListen is where the platform's balancer sends callers.
	CallersListen string `json:"callers_listen"`
	// BodyLimit bounds a caller's body; default 16MB.
	BodyLimit Size `json:"body_limit,omitempty"`
	// ConnectionLimit bounds callers' connections at once; default 4096.
	ConnectionLimit int64 `json:"connection_limit,omitempty"`
	// DefaultDeadline is used when the caller sends none; default 60s.
	DefaultDeadline Duration `json:"default_deadline,omitempty"`
	// DeadlineLimit is the longest deadline a caller may ask for; default 30m.
	DeadlineLimit Duration `json:"deadline_limit,omitempty"`
	// BootstrapOperatorSHA256 is the hex hash of a key that counts as an
	// operator's while the catalogue names no operator.
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

// Check returns every fault of the fields.
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

// Agent is the settings of an agent.
type Agent struct {
	Node
	// Endpoint is the address of the model engine or plain service on this VM.
	Endpoint string `json:"endpoint"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Services names the kinds of work a plain service takes.
	Services []string `json:"services,omitempty"`
	// ReservationLease is how long a reservation waits for its order; default 2s.
	ReservationLease Duration `json:"reservation_lease,omitempty"`
	// ServiceSlots bounds a plain service's calls at once; default 64.
	ServiceSlots int64 `json:"service_slots,omitempty"`
}

// Check returns every fault of the fields.
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
