// Package plan describes orders of events: what callers, endpoints, the store, operators and supervisors do to
// gateways, and when. A Case can be drawn from a seed, kept in a file, and played by the package world.
package plan

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Kind is a kind of event.
type Kind string

// The kinds of events. Where a kind lasts, Event.ForMS says how long; 0 is until the end.
const (
	// Request is a burst of callers' requests, described by Event.Call.
	Request Kind = "request"

	// EndpointDrains, EndpointRemoved, EndpointExits and EndpointRestarts are the ends and starts of an endpoint's
	// life. EndpointReplaced drains one and registers another beside it.
	// EndpointRestarts ends one and starts another life of it at its address Event.ForMS later.
	EndpointDrains   Kind = "endpoint-drains"
	EndpointRemoved  Kind = "endpoint-removed"
	EndpointExits    Kind = "endpoint-exits"
	EndpointRestarts Kind = "endpoint-restarts"
	EndpointReplaced Kind = "endpoint-replaced"
	// EndpointFault makes an endpoint answer requests with the fault that Event.Text names.
	EndpointFault Kind = "endpoint-fault"
	// EndpointOrders makes an endpoint treat orders with the fault that Event.Text names.
	EndpointOrders  Kind = "endpoint-orders"
	EndpointCopies  Kind = "endpoint-late-copies"
	EndpointLeaving Kind = "endpoint-states-leaving"
	EndpointBackoff Kind = "endpoint-states-backoff"
	EndpointLimit   Kind = "endpoint-states-limit"
	EndpointCold    Kind = "endpoint-states-cold"

	StoreRefuses Kind = "store-refuses"
	StoreSilent  Kind = "store-silent"
	StoreMute    Kind = "store-watches-mute"
	StoreSlow    Kind = "store-slow"
	StoreLoses   Kind = "store-loses-answers"
	StoreForgets Kind = "store-forgets-history"
	// StoreStale makes every second page that may be stale be Event.ForMS old.
	StoreStale    Kind = "store-pages-stale"
	StoreNoLeases Kind = "store-ends-leases"
	// StoreRestored copies the store, and restores it from the copy Event.ForMS later.
	StoreRestored  Kind = "store-is-restored"
	GatewayStops   Kind = "gateway-stops"
	GatewayReloads Kind = "gateway-reloads"
	GatewayStarts  Kind = "gateway-starts"

	ConfigUnchanged Kind = "config-again"
	ConfigNoRoute   Kind = "config-drops-route"
	ConfigNoKey     Kind = "config-drops-key"
)

// themes are the kinds of events besides requests, by what they happen to.
var themes = [][]Kind{
	{EndpointDrains, EndpointRemoved, EndpointExits, EndpointRestarts, EndpointReplaced},
	{EndpointFault, EndpointOrders, EndpointCopies},
	{EndpointLeaving, EndpointBackoff, EndpointLimit, EndpointCold},
	{StoreRefuses, StoreSilent, StoreMute, StoreSlow, StoreLoses},
	{StoreForgets, StoreStale, StoreNoLeases, StoreRestored},
	{GatewayStops, GatewayReloads, GatewayStarts},
	{ConfigUnchanged, ConfigNoRoute, ConfigNoKey},
}

// Kinds lists all kinds of events.
var Kinds = append([]Kind{Request}, slices.Concat(themes...)...)

// Reading is how a caller reads its response.
type Reading string

// The ways of reading.
const (
	ReadsAtOnce Reading = "at-once"
	// ReadsWithPause reads the first bytes, pauses for Call.PauseMS, and reads on.
	ReadsWithPause Reading = "with-pause"
	// Leaves closes the connection Call.PauseMS after the request.
	Leaves Reading = "leaves"
)

// Sending is how a caller sends its request.
type Sending string

// The ways of sending; the slow ones pause for Call.PauseMS in the middle.
const (
	SendsAtOnce   Sending = "at-once"
	SendsHeadSlow Sending = "head-slowly"
	SendsBodySlow Sending = "body-slowly"
)

// Call describes requests of callers.
type Call struct {
	Route string `json:"route"`
	// Count requests are sent, GapMS apart.
	Count int `json:"count"`
	GapMS int `json:"gap_ms,omitempty"`

	Reading Reading `json:"reading"`
	Sending Sending `json:"sending"`
	PauseMS int     `json:"pause_ms,omitempty"`
	// HTTP10 is set for callers of HTTP/1.0, Kept for those that use open connections.
	HTTP10 bool `json:"http10,omitempty"`
	Kept   bool `json:"kept,omitempty"`
	// Prompt is the length of the prompt in tokens; 0 if the caller does not say.
	Prompt int `json:"prompt,omitempty"`
	// Chunks of ChunkBytes each are the response of the routes to large responses.
	Chunks     int `json:"chunks,omitempty"`
	ChunkBytes int `json:"chunk_bytes,omitempty"`
	DeadlineMS int `json:"deadline_ms"`
}

// Event is one event. Gateway and Endpoint are indexes, taken modulo their number when the event happens.
type Event struct {
	AtMS     int    `json:"at_ms"`
	Kind     Kind   `json:"kind"`
	Gateway  int    `json:"gateway,omitempty"`
	Endpoint int    `json:"endpoint,omitempty"`
	ForMS    int    `json:"for_ms,omitempty"`
	Text     string `json:"text,omitempty"`
	Count    int    `json:"count,omitempty"`
	Call     *Call  `json:"call,omitempty"`
}

// Setting is what stands still in a case: how many of each there are and how endpoints answer.
type Setting struct {
	Gateways int `json:"gateways"`
	// Plain, Streams and Engines are the numbers of endpoints of the services.
	Plain   int `json:"plain"`
	Streams int `json:"streams"`
	Engines int `json:"engines"`
	// StreamEvents is the number of events of streams, IntervalMS the time between two, WorkMS that of a plain response.
	StreamEvents int `json:"stream_events"`
	IntervalMS   int `json:"interval_ms"`
	WorkMS       int `json:"work_ms"`
	MaxAttempts  int `json:"max_attempts"`
	// Unframed is set where responses have no length and end with their connections.
	Unframed  bool `json:"unframed,omitempty"`
	TimeoutMS int  `json:"timeout_ms"`
	// DrainMS is how long after a stop a gateway may live.
	DrainMS int `json:"drain_ms"`
	// PageItems is the number of items in a page of the store.
	PageItems int `json:"page_items"`
}

// Case is an order of events. Seed is the one that it was drawn from; it is not used to play it. Rules are the rules
// that were broken when it was kept, Note says more.
type Case struct {
	Seed    uint64   `json:"seed"`
	Rules   []string `json:"rules,omitempty"`
	Note    string   `json:"note,omitempty"`
	Setting Setting  `json:"setting"`
	Events  []Event  `json:"events"`
}

// Bounds of a case, which keep the time and memory of playing it bounded.
const (
	maxGateways  = 8
	maxEndpoints = 40
	maxEvents    = 100
	maxCount     = 100
	maxTimeMS    = 60_000
	maxBytes     = 16 << 20
)

// Validate returns an error that names the first invalid field.
func (c *Case) Validate() error {
	s := &c.Setting
	for _, field := range []struct {
		name               string
		value, least, most int
	}{
		{"gateways", s.Gateways, 1, maxGateways}, {"plain", s.Plain, 0, maxEndpoints}, {"streams", s.Streams, 0, maxEndpoints}, {"engines", s.Engines, 0, maxEndpoints},
		{"stream_events", s.StreamEvents, 1, maxCount}, {"interval_ms", s.IntervalMS, 0, maxTimeMS}, {"work_ms", s.WorkMS, 0, maxTimeMS}, {"max_attempts", s.MaxAttempts, 1, 16},
		{"timeout_ms", s.TimeoutMS, 100, maxTimeMS}, {"drain_ms", s.DrainMS, 100, maxTimeMS}, {"page_items", s.PageItems, 1, 500}, {"events", len(c.Events), 1, maxEvents},
		{"endpoints", s.Plain + s.Streams + s.Engines, 1, maxEndpoints},
	} {
		if field.value < field.least || field.value > field.most {
			return errors.Errorf("%s: %d is not between %d and %d", field.name, field.value, field.least, field.most)
		}
	}
	for i := range c.Events {
		if err := c.Events[i].validate(); err != nil {
			return errors.Wrapf(err, "events[%d]", i)
		}
	}
	return nil
}

func (e *Event) validate() error {
	switch {
	case !slices.Contains(Kinds, e.Kind):
		return errors.Errorf("kind: %q is unknown", e.Kind)
	case e.AtMS < 0 || e.AtMS > maxTimeMS:
		return errors.Errorf("at_ms: %d is not between 0 and %d", e.AtMS, maxTimeMS)
	case e.ForMS < 0 || e.ForMS > maxTimeMS:
		return errors.Errorf("for_ms: %d is not between 0 and %d", e.ForMS, maxTimeMS)
	case e.Gateway < 0 || e.Endpoint < 0 || e.Count < 0 || e.Count > maxCount:
		return errors.New("gateway, endpoint or count: out of range")
	case (e.Kind == Request) != (e.Call != nil):
		return errors.Errorf("call: must be set for events of kind %q, and for no others", Request)
	case e.Kind == EndpointFault && !slices.Contains(requestFaults, e.Text), e.Kind == EndpointOrders && !slices.Contains(orderFaults, e.Text):
		return errors.Errorf("text: %q is no fault of %s", e.Text, e.Kind)
	case e.Call != nil:
		return e.Call.validate()
	}
	return nil
}

func (c *Call) validate() error {
	switch {
	case RouteNamed(c.Route) == nil:
		return errors.Errorf("call.route: %q is unknown", c.Route)
	case c.Count < 1 || c.Count > maxCount:
		return errors.Errorf("call.count: %d is not between 1 and %d", c.Count, maxCount)
	case !slices.Contains([]Reading{ReadsAtOnce, ReadsWithPause, Leaves}, c.Reading):
		return errors.Errorf("call.reading: %q is unknown", c.Reading)
	case !slices.Contains([]Sending{SendsAtOnce, SendsHeadSlow, SendsBodySlow}, c.Sending):
		return errors.Errorf("call.sending: %q is unknown", c.Sending)
	case c.GapMS < 0 || c.PauseMS < 0 || c.GapMS > maxTimeMS || c.PauseMS > maxTimeMS || c.DeadlineMS < 1 || c.DeadlineMS > maxTimeMS:
		return errors.Errorf("call: a time is not between 0 and %d ms", maxTimeMS)
	case c.Prompt < 0 || c.Chunks < 0 || c.ChunkBytes < 0 || c.Chunks*c.ChunkBytes > maxBytes:
		return errors.New("call: prompt, chunks or chunk_bytes out of range")
	}
	return nil
}

// Load reads a case from a file and checks it.
func Load(path string) (*Case, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var c Case
	if err := decoder.Decode(&c); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return &c, errors.Wrap(c.Validate(), path)
}

// Save writes a case to a file.
func (c *Case) Save(path string) error {
	data, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(data, '\n'), 0o644))
}
