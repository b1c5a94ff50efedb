// Package engine is a stand-in for a model engine: continuous batching with
// chunked prefill, priorities, a limited memory shared by running sequences and
// cached prompt prefixes, and a power draw that follows its work.
//
// Model is the engine without clock or network: the HTTP server steps it in
// scaled real time and the policy bench in virtual time.
package engine

import (
	"container/list"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of one block of the prefix cache, in tokens.
const BlockTokens = 256

// Config sizes an engine.
type Config struct {
	// MemoryTokens is the KV cache's size in tokens; default 400,000.
	MemoryTokens int
	// MaxRunning bounds the sequences in the batch; default 32.
	MaxRunning int
	// ChunkTokens bounds the prefill tokens of one step; default 512. A larger
	// chunk prefills faster and delays each token of the running sequences more.
	ChunkTokens int
	// StepTime is a step's fixed cost; default 4ms.
	StepTime time.Duration
	// PrefillTime and DecodeTime are the cost of a prefill token and of one
	// sequence's next token in a step; defaults 40µs and 100µs.
	PrefillTime, DecodeTime time.Duration
	// FloorWatts is the idle draw and MaxWatts the draw of a full batch;
	// defaults 1,000 and 5,000.
	FloorWatts, MaxWatts int
}

// WithDefaults fills the fields left at zero.
func (c Config) WithDefaults() Config {
	setDefault := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&c.MemoryTokens, 400_000)
	setDefault(&c.MaxRunning, 32)
	setDefault(&c.ChunkTokens, 512)
	setDefault(&c.FloorWatts, 1000)
	setDefault(&c.MaxWatts, 5000)
	if c.StepTime == 0 {
		c.StepTime = 4 * time.Millisecond
	}
	if c.PrefillTime == 0 {
		c.PrefillTime = 40 * time.Microsecond
	}
	if c.DecodeTime == 0 {
		c.DecodeTime = 100 * time.Microsecond
	}
	return c
}

// PrefillRate is the tokens a second of a batch that only prefills.
func (c Config) PrefillRate() int {
	step := c.StepTime + time.Duration(c.ChunkTokens)*c.PrefillTime
	return int(float64(c.ChunkTokens) / step.Seconds())
}

// Sequence is one request at the engine.
type Sequence struct {
	ID string
	// Priority: a lower number goes first.
	Priority int
	// PromptTokens and MaxTokens size the sequence; both are held as memory.
	PromptTokens, MaxTokens int
	// Blocks are the prompt's block hashes, each covering all text before it.
	Blocks []uint64
	// Hold stops after prefill and keeps the memory until Release.
	Hold bool

	arrival         int64
	admitted        bool
	prefilledTokens int
	cachedTokens    int
	outputTokens    int
	finished        bool
}

// SequenceState is a sequence as shown to others.
type SequenceState struct {
	ID           string `json:"id"`
	OutputTokens int    `json:"produced"`
	CachedTokens int    `json:"cached"`
	Finished     bool   `json:"finished"`
	HeldTokens   int    `json:"held_tokens"`
	Admitted     bool   `json:"admitted"`
}

// Event is progress of one sequence in a step: Token is the new count of output
// tokens; Prefilled is set at the end of a held sequence's prefill.
type Event struct {
	ID           string
	OutputTokens int
	Prefilled    bool
	Finished     bool
}

// Load is an engine's report of itself.
type Load struct {
	Running          int `json:"running"`
	Waiting          int `json:"waiting"`
	BacklogTokens    int `json:"backlog_tokens"`
	FreeMemoryTokens int `json:"free_memory_tokens"`
}

// Model is an engine's state. Not safe for concurrent use.
type Model struct {
	config     Config
	sequences  map[string]*Sequence
	byPriority []*Sequence
	arrivals   int64
	heldTokens int
	cache      map[uint64]*list.Element
	recent     *list.List // most recently used blocks first
	// evicted and added count cache changes, for cache events.
	cacheEvents []CacheEvent
}

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Block uint64 `json:"block"`
	Added bool   `json:"added"`
}

// NewModel makes an idle engine.
func NewModel(config Config) *Model {
	return &Model{
		config: config.WithDefaults(), sequences: map[string]*Sequence{},
		cache: map[uint64]*list.Element{}, recent: list.New(),
	}
}

// Config gives the engine's sizes.
func (m *Model) Config() Config { return m.config }

// Submit adds a sequence; it waits in the engine until memory and batch allow.
func (m *Model) Submit(s *Sequence) error {
	if m.sequences[s.ID] != nil {
		return fmt.Errorf("sequence %s exists", s.ID)
	}
	if s.PromptTokens+s.MaxTokens > m.config.MemoryTokens {
		return fmt.Errorf("sequence %s needs %d tokens of memory, the engine has %d", s.ID, s.PromptTokens+s.MaxTokens, m.config.MemoryTokens)
	}
	m.arrivals++
	s.arrival = m.arrivals
	m.sequences[s.ID] = s
	m.byPriority = append(m.byPriority, s)
	sort.SliceStable(m.byPriority, func(i, j int) bool {
		a, b := m.byPriority[i], m.byPriority[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.arrival < b.arrival
	})
	m.admit()
	return nil
}

// admit moves waiting sequences into the batch while memory and slots last.
func (m *Model) admit() {
	running := m.Running()
	for _, s := range m.byPriority {
		if s.admitted || s.finished {
			continue
		}
		need := s.PromptTokens + s.MaxTokens
		if running >= m.config.MaxRunning || m.heldTokens+need > m.config.MemoryTokens {
			return
		}
		s.admitted = true
		running++
		m.heldTokens += need
		s.cachedTokens = m.lookupPrefix(s)
		s.prefilledTokens = s.cachedTokens
		m.evict()
	}
}

func (m *Model) lookupPrefix(s *Sequence) int {
	tokens := 0
	for _, block := range s.Blocks {
		element := m.cache[block]
		if element == nil {
			break
		}
		m.recent.MoveToFront(element)
		tokens += BlockTokens
	}
	// The last token is always computed, to have something to decode from.
	return max(0, min(tokens, s.PromptTokens-1))
}

func (m *Model) cacheBlocks(s *Sequence) {
	for i := len(s.Blocks) - 1; i >= 0; i-- {
		if element := m.cache[s.Blocks[i]]; element != nil {
			m.recent.MoveToFront(element)
			continue
		}
		m.cache[s.Blocks[i]] = m.recent.PushFront(s.Blocks[i])
		m.cacheEvents = append(m.cacheEvents, CacheEvent{Block: s.Blocks[i], Added: true})
	}
	m.evict()
}

// evict drops the least recently used blocks that running sequences displace.
func (m *Model) evict() {
	for m.recent.Len() > 0 && m.heldTokens+m.recent.Len()*BlockTokens > m.config.MemoryTokens {
		oldest := m.recent.Back()
		block := m.recent.Remove(oldest).(uint64)
		delete(m.cache, block)
		m.cacheEvents = append(m.cacheEvents, CacheEvent{Block: block})
	}
}

// TakeCacheEvents returns the cache changes since the last call.
func (m *Model) TakeCacheEvents() []CacheEvent {
	events := m.cacheEvents
	m.cacheEvents = nil
	return events
}

// Busy tells whether a step would do work.
func (m *Model) Busy() bool { return m.Running() > 0 }

// Running counts the sequences in the batch.
func (m *Model) Running() int {
	n := 0
	for _, s := range m.byPriority {
		if s.admitted && !s.finished {
			n++
		}
	}
	return n
}

// Step runs one batch step: each prefilled sequence gets a token, and prefill
// proceeds by at most ChunkTokens in order of priority. It returns how long the
// step takes and what it produced.
func (m *Model) Step() (time.Duration, []Event) {
	var events []Event
	budget := m.config.ChunkTokens
	duration := m.config.StepTime
	for _, s := range m.byPriority {
		if !s.admitted || s.finished {
			continue
		}
		if s.prefilledTokens < s.PromptTokens {
			chunk := min(budget, s.PromptTokens-s.prefilledTokens)
			budget -= chunk
			s.prefilledTokens += chunk
			duration += time.Duration(chunk) * m.config.PrefillTime
			if s.prefilledTokens < s.PromptTokens {
				continue
			}
			m.cacheBlocks(s)
			if s.Hold {
				s.finished = true
				events = append(events, Event{ID: s.ID, Prefilled: true})
				continue
			}
		}
		duration += m.config.DecodeTime
		s.outputTokens++
		s.finished = s.outputTokens >= s.MaxTokens
		events = append(events, Event{ID: s.ID, OutputTokens: s.outputTokens, Finished: s.finished})
	}
	m.admit()
	return duration, events
}

// Release frees a sequence, cancelling it if it still runs. It tells whether
// there was one.
func (m *Model) Release(id string) bool {
	s := m.sequences[id]
	if s == nil {
		return false
	}
	delete(m.sequences, id)
	for i, other := range m.byPriority {
		if other == s {
			m.byPriority = append(m.byPriority[:i], m.byPriority[i+1:]...)
			break
		}
	}
	if s.admitted {
		m.heldTokens -= s.PromptTokens + s.MaxTokens
	}
	m.admit()
	return true
}

// HeldTokens is the memory of sequences not yet released, in tokens.
func (m *Model) HeldTokens() int { return m.heldTokens }

// States lists the sequences in order of priority and arrival.
func (m *Model) States() []SequenceState {
	states := make([]SequenceState, 0, len(m.byPriority))
	for _, s := range m.byPriority {
		states = append(states, s.state())
	}
	return states
}

func (s *Sequence) state() SequenceState {
	held := 0
	if s.admitted {
		held = s.PromptTokens + s.MaxTokens
	}
	return SequenceState{ID: s.ID, OutputTokens: s.outputTokens, CachedTokens: s.cachedTokens, Finished: s.finished, HeldTokens: held, Admitted: s.admitted}
}

// Load reports the engine's load.
func (m *Model) Load() Load {
	load := Load{FreeMemoryTokens: m.config.MemoryTokens - m.heldTokens}
	for _, s := range m.byPriority {
		if s.finished {
			continue
		}
		if s.admitted {
			load.Running++
		} else {
			load.Waiting++
		}
		load.BacklogTokens += s.PromptTokens - s.prefilledTokens
	}
	return load
}

// Watts is the present draw.
func (m *Model) Watts() int {
	c := m.config
	return c.FloorWatts + (c.MaxWatts-c.FloorWatts)*min(m.Running(), c.MaxRunning)/c.MaxRunning
}

// BlockHashes gives the hash of each whole block of a prompt, each covering
// all text before it. bytesPerToken converts the text's length.
func BlockHashes(prompt string, bytesPerToken int) []uint64 {
	size := BlockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	digest := xxhash.New()
	for end := size; end <= len(prompt); end += size {
		_, _ = digest.WriteString(prompt[end-size : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
