package platform

import (
	"encoding/json"
	"time"
)

// Config is a configuration as the operators write it.
type Config struct {
	Version  int
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route maps requests by host and path prefix to a service.
type Route struct {
	// Kind is idempotent, non_idempotent or streaming.
	Name, Host, Prefix, Kind, Service string
	Resumable                         bool
	Timeout, Target, TargetPause      time.Duration
	MaxAttempts                       int
}

// Service is what a group of workers serves. MemoryTokens, the KV cache of each, is set for
// model engines only.
type Service struct {
	Name                         string
	MaxConnections, MemoryTokens int
	// ColdTime is how long a worker warms up, ColdPerSecond what it tolerates meanwhile; 0: not stated.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Account is a client account and its API keys.
type Account struct {
	Name string
	Keys []string
}

// Limits bound the size and the timing of what callers send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Encode returns the configuration as JSON, as it is written to the store.
func (c *Config) Encode() []byte {
	routes, services, accounts := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "route_kind": r.Kind, "service": r.Service, "resumable": r.Resumable, "priority": 1,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.Target.Milliseconds(), "target_gap_ms": r.TargetPause.Milliseconds(), "max_attempts": r.MaxAttempts,
		})
	}
	for _, s := range c.Services {
		item := map[string]any{"name": s.Name, "max_conns": s.MaxConnections}
		if s.MemoryTokens > 0 {
			item["engine"] = SmallEngine(s.MemoryTokens)
		}
		if s.ColdPerSecond > 0 {
			item["cold_s"], item["cold_per_s"] = s.ColdTime.Seconds(), s.ColdPerSecond
		}
		services = append(services, item)
	}
	for _, a := range c.Accounts {
		accounts = append(accounts, map[string]any{"name": a.Name, "api_keys": a.Keys, "priority": 1})
	}
	data, _ := json.Marshal(map[string]any{ // strings and numbers only: the encoding cannot fail
		"version": c.Version, "routes": routes, "services": services, "tenants": accounts,
		"limits": map[string]any{
			"max_header_bytes": c.Limits.HeaderBytes, "max_body_bytes": c.Limits.BodyBytes,
			"header_timeout_ms": c.Limits.HeaderTimeout.Milliseconds(), "idle_timeout_ms": c.Limits.IdleTimeout.Milliseconds(),
		},
	})
	return data
}

// SmallEngine returns a configuration's description of engines with that much KV cache, in
// tokens.
func SmallEngine(memoryTokens int) map[string]any {
	return map[string]any{
		"slots": 16, "kv_capacity": memoryTokens, "stride": 34, "chunk": 2048, "step_ms": 1.31, "per_seq_ms": 0.001, "context_per_k": 0.002,
		"read_per_s": 154000.0, "pairs_per_m": 0.162, "report_lag_ms": 200.0,
	}
}

// smallMemoryTokens is the KV cache of SmallConfig's engines, in tokens.
const smallMemoryTokens = 405_000

// SmallConfig returns a configuration with one client account and one resumable streaming
// route, /model/, to a service of model engines.
func SmallConfig(version int, service string) []byte {
	c := Config{
		Version: version,
		Routes: []Route{{
			Name: "model", Host: Host, Prefix: "/model/", Kind: "streaming", Resumable: true, Service: service,
			Timeout: 20 * time.Second, Target: time.Second, TargetPause: 500 * time.Millisecond, MaxAttempts: 4,
		}},
		Services: []Service{{Name: service, MaxConnections: 1000, MemoryTokens: smallMemoryTokens}},
		Accounts: []Account{{Name: "acme", Keys: []string{APIKey}}},
		Limits:   Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	return c.Encode()
}
