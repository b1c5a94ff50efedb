// Package directory keeps a node's view of its deployment: the routes, services and
// client accounts of the newest configuration, and the registered endpoints and nodes.
// The package does no I/O. States and changes of the store are passed in as values, and
// the goroutines that serve traffic read the immutable snapshots that a Replica makes.
package directory

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// RouteKind says whether the requests of a route may be repeated.
type RouteKind int

// The kinds of route.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests are answered with a series of events. They may run at most
	// once unless the route is resumable.
	Streaming
)

// String returns the name that the kind has in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	// Timeout bounds the time from a request to the end of its response.
	Timeout time.Duration
	// Target is the latency within which a response is on time; for a stream, the latency
	// of its first event.
	Target time.Duration
	// TargetPause is the longest pause between events of a stream that is on time.
	TargetPause time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another endpoint after their last event.
	Resumable bool
	// MaxAttempts is the largest number of endpoints that one request may be sent to.
	MaxAttempts int
	// Services are the services that the route's requests are divided among by weight.
	Services []WeightedService
	// AllowedRegions are the regions whose endpoints may be sent the route's requests; empty: any.
	AllowedRegions []string
}

// Repeatable reports whether a request may be sent again after an attempt that may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service with its relative share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// PickService chooses a service by weight; draw is uniform in [0, 1). It returns the empty
// string if no service of the route has a weight above 0.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := int(draw * float64(total))
	for _, s := range r.Services {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return ""
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions are the regions whose endpoints may be sent the account's requests; empty: any.
	AllowedRegions []string
}

// Service describes the endpoints that offer one service.
type Service struct {
	Name string
	// HealthPath is the HTTP path at which an endpoint answers whether it is healthy.
	HealthPath string
	// MaxConnections is how many connections an endpoint accepts in total.
	MaxConnections int
	// Engine is set for services whose endpoints are engines, nil for plain services.
	Engine *Engine
	// ColdTime is how long an endpoint warms up after a start, ColdPerSecond how many requests a
	// second it tolerates meanwhile. 0: not known.
	ColdTime      time.Duration
	ColdPerSecond float64
	// MinTargetPause and MaxTargetPause are the smallest and the largest TargetPause of the
	// routes to the service; 0 if none of them sets one.
	MinTargetPause, MaxTargetPause time.Duration
	// AllowedShare is the part of the service's endpoints that a request may use, which tolerates that part
	// of the demand; 0: all. It is set for requests that are restricted to regions only.
	AllowedShare float64
}

// AddTargetPause includes the TargetPause of a route to the service in MinTargetPause and
// MaxTargetPause. A value of 0 or less means that the route sets none and is ignored.
func (s *Service) AddTargetPause(pause time.Duration) {
	if pause <= 0 {
		return
	}
	if s.MinTargetPause == 0 || pause < s.MinTargetPause {
		s.MinTargetPause = pause
	}
	s.MaxTargetPause = max(s.MaxTargetPause, pause)
}

// Engine holds the capacity and the speed of the engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVCacheTokens is the size of the KV cache.
	KVCacheTokens int
	// Stride is how many decode steps the engine makes in one pass while requests are
	// decoding; each event of a stream holds that many tokens.
	Stride int
	// ChunkTokens is the largest number of prompt tokens prefilled in one step.
	ChunkTokens int
	// StepTime is the time of one decode step without its requests. Each decoding request
	// adds StepTimePerRequest, and each 1,000 tokens of context add StepTimePerContext.
	StepTime, StepTimePerRequest, StepTimePerContext time.Duration
	// PrefillTokensPerSecond is the prefill rate without the time for attention.
	PrefillTokensPerSecond float64
	// AttentionTimePerMillionPairs is the prefill time for each million pairs of a prompt
	// token and an earlier one.
	AttentionTimePerMillionPairs time.Duration
	// ReportLag is the largest age of the load that an engine publishes.
	ReportLag time.Duration
}

// Limits bound the size of callers' requests and how long callers may take to send them.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. It is immutable after NewConfig.
type Config struct {
	// Version increases with every edit, but not always by one.
	Version  uint64
	Limits   Limits
	services map[string]*Service
	routes   map[string][]*Route // by host, longest prefix first
	accounts map[string]*Account // by key; nil if the deployment has no accounts
	tiers    []int               // that requests can have, ascending
}

// NewConfig indexes a configuration. accounts maps keys to client accounts and is nil if the
// deployment has none. NewConfig adds the routes' target pauses to the services.
func NewConfig(version uint64, limits Limits, services []*Service, routes []*Route, accounts map[string]*Account) *Config {
	c := &Config{Version: version, Limits: limits, services: map[string]*Service{}, routes: map[string][]*Route{}, accounts: accounts}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
		for _, weighted := range r.Services {
			if s := c.services[weighted.Service]; s != nil {
				s.AddTargetPause(r.TargetPause)
			}
		}
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	c.tiers = c.indexTiers()
	return c
}

// Route returns the route of the host with the longest prefix of path, or nil. A host with
// a port falls back to the routes of its name if no route names it with the port.
func (c *Config) Route(host, path string) *Route {
	host = strings.ToLower(host)
	list, found := c.routes[host]
	if !found {
		if name, _, cut := strings.Cut(host, ":"); cut {
			list = c.routes[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name. A service that the configuration does not
// define, but that routes may name, is treated as a plain service.
func (c *Config) Service(name string) *Service {
	if s := c.services[name]; s != nil {
		return s
	}
	return &Service{Name: name}
}

// Services returns all services, in no particular order.
func (c *Config) Services() []*Service { return slices.Collect(maps.Values(c.services)) }

// RouteCount returns the number of routes of all hosts.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// HasAccounts reports whether the deployment has client accounts, so that requests need a
// key.
func (c *Config) HasAccounts() bool { return c.accounts != nil }

// Account returns the client account that a key belongs to, or nil.
func (c *Config) Account(key string) *Account { return c.accounts[key] }
