package settings

import "time"

// Gateway is the settings of an entry that calls its endpoints directly.
type Gateway struct {
	// Name identifies the VM, DataCentre where it stands. No defaults.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// CallersListen is where the balancer sends callers; ReadinessListen is where it
	// asks whether to; MetricsListen serves metrics and is optional.
	CallersListen   string `json:"callers_listen"`
	ReadinessListen string `json:"readiness_listen"`
	MetricsListen   string `json:"metrics_listen,omitempty"`
	// PeersListen is where other entries' heartbeats come, over UDP; optional. Without
	// it this entry divides the engines by its own requests alone.
	PeersListen string `json:"peers_listen,omitempty"`
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// StoreTimeout bounds one call to the store; default 700ms. Shorter sees a store or
	// connection that went silent sooner; a store that is slower for long is waited for
	// up to twice as long.
	StoreTimeout Duration `json:"store_timeout,omitempty"`
	// ConfigWithin and LeavingWithin are how soon after the store has it a configuration
	// must be in force, and an endpoint that leaves get nothing new; default 2s. The
	// shorter of them decides how long a call may wait for changes: longer ones cost the
	// store fewer calls.
	ConfigWithin  Duration `json:"config_within,omitempty"`
	LeavingWithin Duration `json:"leaving_within,omitempty"`
	// DrainTimeout is how long a graceful shutdown may take until the process is
	// killed; default 10s.
	DrainTimeout Duration `json:"drain_timeout,omitempty"`
	// RetryRatio, RetryAllowance and RetryWindow bound what all entries together send
	// again to the endpoints of a service: in any window at most the ratio of the
	// service's requests plus the allowance. Defaults 0.1, 10 and 10s. A larger
	// budget saves more requests from single failures and adds more load when
	// everything fails at once.
	RetryRatio     float64  `json:"retry_ratio,omitempty"`
	RetryAllowance float64  `json:"retry_allowance,omitempty"`
	RetryWindow    Duration `json:"retry_window,omitempty"`
	// MemoryFreeWithin is how soon after a request's end the engines' memory that was
	// reserved for it must be free, also when this process dies; default 4s. Shorter
	// holds are renewed more often.
	MemoryFreeWithin Duration `json:"memory_free_within,omitempty"`
	// MemoryIdleWithin is for how long engines' memory may be reserved for a request
	// that has not begun; default 9s. A request that an engine keeps waiting for longer
	// is taken back and sent elsewhere.
	MemoryIdleWithin Duration `json:"memory_idle_within,omitempty"`
	// MemoryLimit is the process's memory; default 256MB. The runtime collects
	// garbage more eagerly as it comes near.
	MemoryLimit Size `json:"memory_limit,omitempty"`
}

// SetDefaults fills the fields that may be left out.
func (g *Gateway) SetDefaults() {
	setDuration(&g.StoreTimeout, 700*time.Millisecond)
	setDuration(&g.ConfigWithin, 2*time.Second)
	setDuration(&g.LeavingWithin, 2*time.Second)
	setDuration(&g.DrainTimeout, 10*time.Second)
	setDuration(&g.RetryWindow, 10*time.Second)
	setDuration(&g.MemoryFreeWithin, 4*time.Second)
	setDuration(&g.MemoryIdleWithin, 9*time.Second)
	if g.RetryRatio == 0 {
		g.RetryRatio = 0.1
	}
	if g.RetryAllowance == 0 {
		g.RetryAllowance = 10
	}
	if g.MemoryLimit == 0 {
		g.MemoryLimit = 256_000_000
	}
}

// Check returns every fault of the fields.
func (g *Gateway) Check() FieldErrors {
	g.SetDefaults()
	var errs FieldErrors
	errs.CheckName("name", g.Name)
	errs.CheckName("data_centre", g.DataCentre)
	errs.CheckAddr("callers_listen", g.CallersListen)
	errs.CheckAddr("readiness_listen", g.ReadinessListen)
	if g.MetricsListen != "" {
		errs.CheckAddr("metrics_listen", g.MetricsListen)
	}
	if g.PeersListen != "" {
		errs.CheckAddr("peers_listen", g.PeersListen)
	}
	errs.CheckAddr("store", g.Store)
	errs.CheckRange("store_timeout", g.StoreTimeout.D(), 10*time.Millisecond, time.Minute)
	errs.CheckRange("config_within", g.ConfigWithin.D(), 2*g.StoreTimeout.D(), time.Hour)
	errs.CheckRange("leaving_within", g.LeavingWithin.D(), 2*g.StoreTimeout.D(), time.Hour)
	errs.CheckRange("drain_timeout", g.DrainTimeout.D(), 100*time.Millisecond, 24*time.Hour)
	errs.CheckRange("memory_free_within", g.MemoryFreeWithin.D(), 500*time.Millisecond, time.Minute)
	errs.CheckRange("memory_idle_within", g.MemoryIdleWithin.D(), 500*time.Millisecond, time.Minute)
	errs.CheckRange("retry_window", g.RetryWindow.D(), 100*time.Millisecond, time.Hour)
	errs.CheckNumber("retry_ratio", g.RetryRatio, 0, 1)
	errs.CheckNumber("retry_allowance", g.RetryAllowance, 0, 1_000_000)
	errs.CheckInt("memory_limit", int64(g.MemoryLimit), 32_000_000, 1<<40)
	return errs
}
