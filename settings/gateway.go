package settings

import (
	"slices"
	"time"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Name identifies the VM; DataCentre is the data centre that it is in. Both are
	// required.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// CallersListen is the address for callers' requests, to which the balancer connects.
	// ReadinessListen is the address for the balancer's readiness checks. MetricsListen is
	// the address for metrics; optional.
	CallersListen   string `json:"callers_listen"`
	ReadinessListen string `json:"readiness_listen"`
	MetricsListen   string `json:"metrics_listen,omitempty"`
	// PeersListen is the UDP address for the heartbeats of other gateways; optional. Without
	// it, this gateway divides requests among the engines by its own load alone.
	PeersListen string `json:"peers_listen,omitempty"`
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// StoreTimeout bounds the time until a call to the store is answered, and a pause in its
	// transfer; default 700ms. A shorter one detects an
	// unresponsive store or connection sooner. For a store that stays slower than that, the
	// bound rises to up to twice this value.
	StoreTimeout Duration `json:"store_timeout,omitempty"`
	// ConfigWithin bounds the time from when the store has a new configuration until it is
	// in force; LeavingWithin bounds the time from when the store says that an endpoint is
	// leaving until it gets no new requests. Both default to 2s. The shorter one limits how
	// long a watch call may wait for changes; longer values cost the store fewer calls.
	ConfigWithin  Duration `json:"config_within,omitempty"`
	LeavingWithin Duration `json:"leaving_within,omitempty"`
	// StoreHistory is how long the store keeps changes for watches; default 20s. Three times in it a
	// checkpoint is written, from which entries start. With a longer value that is done less often, but
	// entries that find the checkpoint too old read all items.
	StoreHistory Duration `json:"store_history,omitempty"`
	// DrainTimeout is how long a graceful shutdown may take before the process is killed;
	// default 10s.
	DrainTimeout Duration `json:"drain_timeout,omitempty"`
	// RetryRatio, RetryAllowance and RetryWindow bound the retries of all gateways together
	// to the endpoints of a service: in any window, at most RetryRatio times the service's
	// requests plus RetryAllowance. Defaults: 0.1, 10 and 10s. A larger budget saves more
	// requests from single failures and adds more load when everything fails at once.
	RetryRatio     float64  `json:"retry_ratio,omitempty"`
	RetryAllowance float64  `json:"retry_allowance,omitempty"`
	RetryWindow    Duration `json:"retry_window,omitempty"`
	// MemoryFreeWithin bounds the time from a request's end until the KV cache reserved for
	// it on engines is free, also if this process dies; default 4s. With a shorter value
	// reservations are renewed more often.
	MemoryFreeWithin Duration `json:"memory_free_within,omitempty"`
	// MemoryIdleWithin is how long KV cache may be reserved on engines for a request that
	// has not started; default 9s. A request that an engine keeps waiting for longer is
	// cancelled there and sent to another engine.
	MemoryIdleWithin Duration `json:"memory_idle_within,omitempty"`
	// MemoryLimit is the memory that the process may use; default 256MB. The runtime collects
	// garbage more often as the process comes near it.
	MemoryLimit Size `json:"memory_limit,omitempty"`
	// ProcessorLimit (cores), LinkLimit (bits a second in each direction) and DescriptorLimit (open files)
	// are what the process may use; optional, 0 stands for no limit. Near the first two, it refuses new
	// requests by urgency. The third bounds callers' connections.
	ProcessorLimit  float64 `json:"processor_limit,omitempty"`
	LinkLimit       BitRate `json:"link_limit,omitempty"`
	DescriptorLimit float64 `json:"descriptor_limit,omitempty"`
	// EvacuateWithin bounds the time from when the store has the evacuation of a data centre
	// until its endpoints are sent no more requests; default 10s. Like ConfigWithin, it limits
	// how long a watch call may wait: to half of it, as the rest is for reading a slow store.
	EvacuateWithin Duration `json:"evacuate_within,omitempty"`
	// ColdOvershoot and ColdTolerance bound the requests that all gateways together send to an
	// endpoint that is warming up: in any second, at most ColdOvershoot times the rate that its
	// service's configuration names, plus ColdTolerance. Defaults: 1 and 0. Higher values serve
	// more while endpoints warm up; above what endpoints tolerate, they crash.
	ColdOvershoot float64 `json:"cold_overshoot,omitempty"`
	ColdTolerance float64 `json:"cold_tolerance,omitempty"`
	// Regions maps each data centre to its region; optional. Routes and client accounts may
	// restrict requests to regions. A data centre that is not listed is in no region.
	Regions map[string]string `json:"regions,omitempty"`
	// Admission says for which services requests are admitted by priority while capacity is
	// scarce: AdmissionAuto (the default) for services whose routes differ in priority,
	// AdmissionOn for all, AdmissionOff for none. Without it, requests of all priorities are
	// late together.
	Admission string `json:"admission,omitempty"`
}

// DefaultMemoryLimit is the default of Gateway.MemoryLimit.
const DefaultMemoryLimit Size = 256_000_000

// minDescriptorLimit leaves descriptors for callers and endpoints beside the 200 that are kept for files.
const minDescriptorLimit = 256

// The values of Gateway.Admission.
const (
	AdmissionAuto = "auto"
	AdmissionOn   = "on"
	AdmissionOff  = "off"
)

// SetDefaults sets the optional fields that are zero to their defaults.
func (g *Gateway) SetDefaults() {
	setDuration(&g.StoreTimeout, 700*time.Millisecond)
	setDuration(&g.ConfigWithin, 2*time.Second)
	setDuration(&g.LeavingWithin, 2*time.Second)
	setDuration(&g.StoreHistory, 20*time.Second)
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
		g.MemoryLimit = DefaultMemoryLimit
	}
	setDuration(&g.EvacuateWithin, 10*time.Second)
	if g.ColdOvershoot == 0 {
		g.ColdOvershoot = 1
	}
	if g.Admission == "" {
		g.Admission = AdmissionAuto
	}
}

// Check sets the defaults and returns an error for each field that is not valid.
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
	errs.CheckRange("store_history", g.StoreHistory.D(), time.Second, 24*time.Hour)
	errs.CheckRange("drain_timeout", g.DrainTimeout.D(), 100*time.Millisecond, 24*time.Hour)
	errs.CheckRange("memory_free_within", g.MemoryFreeWithin.D(), 500*time.Millisecond, time.Minute)
	errs.CheckRange("memory_idle_within", g.MemoryIdleWithin.D(), 500*time.Millisecond, time.Minute)
	errs.CheckRange("retry_window", g.RetryWindow.D(), 100*time.Millisecond, time.Hour)
	errs.CheckNumber("retry_ratio", g.RetryRatio, 0, 1)
	errs.CheckNumber("retry_allowance", g.RetryAllowance, 0, 1_000_000)
	errs.CheckInt("memory_limit", int64(g.MemoryLimit), 32_000_000, 1<<40)
	if g.ProcessorLimit != 0 {
		errs.CheckNumber("processor_limit", g.ProcessorLimit, 0.001, 10_000)
	}
	if g.LinkLimit != 0 {
		errs.CheckInt("link_limit", int64(g.LinkLimit), 100_000, 1e13)
	}
	if g.DescriptorLimit != 0 {
		errs.CheckNumber("descriptor_limit", g.DescriptorLimit, minDescriptorLimit, 100_000_000)
	}
	errs.CheckRange("evacuate_within", g.EvacuateWithin.D(), 2*g.StoreTimeout.D(), time.Hour)
	errs.CheckNumber("cold_overshoot", g.ColdOvershoot, 0.01, 100)
	errs.CheckNumber("cold_tolerance", g.ColdTolerance, 0, 1_000_000)
	for dataCentre, region := range g.Regions {
		errs.CheckName("regions", dataCentre)
		errs.CheckName("regions."+dataCentre, region)
	}
	if !slices.Contains([]string{AdmissionAuto, AdmissionOn, AdmissionOff}, g.Admission) {
		errs.Add("admission", g.Admission, AdmissionAuto+", "+AdmissionOn+" or "+AdmissionOff)
	}
	return errs
}
