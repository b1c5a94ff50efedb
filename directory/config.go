// Package directory holds what a node believes of its deployment: the routes,
// services and client accounts of the newest configuration, and the endpoints that
// registered themselves. It is pure: readings and changes come in as values, and
// traffic threads read the immutable snapshots that it makes.
package directory

import (
	"sort"
	"strings"
	"time"
)

// RouteKind tells what may be repeated.
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

// String gives the kind's name in logs and metrics.
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

// Route says where requests of one host and path prefix go.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	// Timeout is the longest that a caller is kept waiting for a whole answer.
	Timeout time.Duration
	// Target is the latency within which an answer is on time, for streams that of
	// the first event.
	Target time.Duration
	// TargetPause is the longest pause between events of a stream that is on time.
	TargetPause time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// Services share the route's requests by weight.
	Services []WeightedService
}

// Repeatable tells whether a request may run a second time after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// PickService chooses a service by weight; draw is uniform in [0, 1). Empty when the route
// has none.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := int(draw * float64(total))
	for _, s := range r.Services {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return ""
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Service is a kind of endpoint.
type Service struct {
	Name string
	// HealthPath answers whether an endpoint considers itself healthy.
	HealthPath string
	// MaxConnections is how many connections an endpoint takes from all callers.
	MaxConnections int
	// Engine is set for language-model services.
	Engine *Engine
	// MinTargetPause and MaxTargetPause are the least and the most that the routes to the service
	// allow between two events of a stream; 0 where none says.
	MinTargetPause, MaxTargetPause time.Duration
}

// AddTargetPause takes in the longest pause that a route to the service allows; 0: it says none.
func (s *Service) AddTargetPause(gap time.Duration) {
	if gap <= 0 {
		return
	}
	if s.MinTargetPause == 0 || gap < s.MinTargetPause {
		s.MinTargetPause = gap
	}
	s.MaxTargetPause = max(s.MaxTargetPause, gap)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// KVCacheTokens is the size of the KV cache.
	KVCacheTokens int
	// Stride is how many decode steps a pass makes while requests are decoding; one
	// event of a stream holds that many tokens.
	Stride int
	// ChunkTokens is the largest number of prompt tokens prefilled in one step.
	ChunkTokens int
	// StepTime is the time of one decode step, and StepTimePerRequest what each decoding
	// request adds; StepTimePerContext is added for each 1,000 tokens of context.
	StepTime, StepTimePerRequest, StepTimePerContext time.Duration
	// PrefillTokensPerSecond is the prefill rate in tokens a second.
	PrefillTokensPerSecond float64
	// AttentionTimePerMillionPairs is the time for a million pairs of a prompt token and an
	// earlier one.
	AttentionTimePerMillionPairs time.Duration
	// ReportLag is how old an engine's published load may be.
	ReportLag time.Duration
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration, immutable once made.
type Config struct {
	// Version rises with every edit, in uneven steps.
	Version  uint64
	Limits   Limits
	services map[string]*Service
	routes   map[string][]*Route // by host, longest prefix first
	accounts map[string]*Account // by key; nil: the deployment has no accounts
}

// NewConfig indexes a configuration. accounts maps keys to accounts; nil where the
// deployment has none.
func NewConfig(version uint64, limits Limits, services []*Service, routes []*Route, accounts map[string]*Account) *Config {
	c := &Config{Version: version, Limits: limits, services: map[string]*Service{}, routes: map[string][]*Route{}, accounts: accounts}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
		for _, part := range r.Services {
			if s := c.services[part.Service]; s != nil {
				s.AddTargetPause(r.TargetPause)
			}
		}
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Route finds the route with the longest prefix of path at a host; nil for none.
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

// Service describes a service; one that is only named by routes is taken for plain.
func (c *Config) Service(name string) *Service {
	if s := c.services[name]; s != nil {
		return s
	}
	return &Service{Name: name}
}

// RouteCount is the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// HasAccounts tells whether requests need a key.
func (c *Config) HasAccounts() bool { return c.accounts != nil }

// Account finds the account that holds a key; nil for none.
func (c *Config) Account(key string) *Account { return c.accounts[key] }
