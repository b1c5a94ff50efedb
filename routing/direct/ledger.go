package direct

import (
	"sync"
	"time"
)

// Ledger holds what this entry has given each endpoint to do. Safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	open    int
	prefill time.Duration
	// running and waiting are the endpoint's own word of all callers' requests.
	running, waiting int
	told             time.Time
	// dark is set while the endpoint accepts no connections.
	dark bool
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{loads: map[string]*load{}} }

// Charge is what one request weighs on its endpoints, until it ends. Safe for use by
// one goroutine.
type Charge struct {
	ledger *Ledger
	parts  []part
	open   string
}

type part struct {
	endpoint string
	prefill  time.Duration
}

// Begin charges a plan.
func (l *Ledger) Begin(p *Plan) *Charge {
	c := &Charge{ledger: l, open: p.Endpoint.ID}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(c.open).open++
	c.parts = append(c.parts, part{c.open, p.Prefill})
	for _, h := range p.Helpers {
		c.parts = append(c.parts, part{h.ID, p.Prefill})
	}
	for _, p := range c.parts {
		l.load(p.endpoint).prefill += p.prefill
	}
	return c
}

// Prefilled ends the charge for the prompt: its first token has come.
func (c *Charge) Prefilled() {
	if c.parts == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	for _, p := range c.parts {
		if known := c.ledger.loads[p.endpoint]; known != nil {
			known.prefill = max(known.prefill-p.prefill, 0)
		}
	}
	c.parts = nil
}

// End ends the charge.
func (c *Charge) End() {
	c.Prefilled()
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if known := c.ledger.loads[c.open]; known != nil && known.open > 0 {
		known.open--
	}
}

// Tell notes an endpoint's own word of its load.
func (l *Ledger) Tell(now time.Time, endpoint string, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.load(endpoint)
	known.running, known.waiting, known.told = running, waiting, now
}

// SetDark notes whether an endpoint accepts connections; it tells whether that is new.
func (l *Ledger) SetDark(endpoint string, dark bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.load(endpoint)
	changed := known.dark != dark
	known.dark = dark
	return changed
}

func (l *Ledger) load(endpoint string) *load {
	known := l.loads[endpoint]
	if known == nil {
		known = &load{}
		l.loads[endpoint] = known
	}
	return known
}

// Prune forgets endpoints that are not known any more.
func (l *Ledger) Prune(known func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.loads {
		if !known(id) {
			delete(l.loads, id)
		}
	}
}
