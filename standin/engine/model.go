// Package engine is a stand-in for a model engine: continuous batching with chunked
// prefill, priorities, a limited KV cache shared by running sequences and cached prompt
// prefixes, and a power draw that follows the load.
//
// Model is the engine without clock or network: the HTTP server steps it in scaled real
// time, the policy bench in virtual time.
package engine

import (
	"container/list"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of a block of the prefix cache, in tokens.
const BlockTokens = 256

// Config has the sizes and speeds of an engine.
type Config struct {
	// MemoryTokens is the size of the KV cache in tokens; default 400,000.
	MemoryTokens int
	// MaxRunning is the largest number of sequences in the batch; default 32.
	MaxRunning int
	// ChunkTokens is the largest number of prefill tokens in one step; default 512. A
	// larger chunk prefills faster and delays each token of the running sequences more.
	ChunkTokens int
	// StepTime is the fixed duration of a step; default 4ms.
	StepTime time.Duration
	// PrefillTime is the time that each prefill token adds to a step, and DecodeTime the
	// time that the next output token of each sequence adds; defaults 40µs and 100µs.
	PrefillTime, DecodeTime time.Duration
	// FloorWatts is the idle draw and MaxWatts the draw of a full batch; defaults 1,000 and
	// 5,000.
	FloorWatts, MaxWatts int
}

// WithDefaults returns the configuration with defaults in the fields that are 0.
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

// PrefillRate is the number of tokens per second that a batch without decoding prefills.
func (c Config) PrefillRate() int {
	step := c.StepTime + time.Duration(c.ChunkTokens)*c.PrefillTime
	return int(float64(c.ChunkTokens) / step.Seconds())
}

// Sequence is one request at the engine.
type Sequence struct {
	ID string
	// Priority orders the sequences: a lower number goes first.
	Priority int
	// PromptTokens and MaxTokens are the sizes of prompt and output. The sequence takes KV
	// cache for both.
	PromptTokens, MaxTokens int
	// Blocks are the hashes of the prompt's blocks, each covering all text up to the
	// block's end.
	Blocks []uint64
	// Hold ends the sequence after prefill and keeps its KV cache until Release.
	Hold bool

	arrival         int64
	admitted        bool
	prefilledTokens int
	cachedTokens    int
	outputTokens    int
	finished        bool
}

// SequenceState is a sequence as GET /v1/sequences lists it.
type SequenceState struct {
	ID           string `json:"id"`
	OutputTokens int    `json:"produced"`
	CachedTokens int    `json:"cached"`
	Finished     bool   `json:"finished"`
	HeldTokens   int    `json:"held_tokens"`
	Admitted     bool   `json:"admitted"`
}

// Event is the progress of one sequence in a step. OutputTokens is the new number of output
// tokens; Prefilled is set instead when the prefill of a sequence with Hold is done.
type Event struct {
	ID           string
	OutputTokens int
	Prefilled    bool
	Finished     bool
}

// Load is the engine's load report.
type Load struct {
	Running          int `json:"running"`
	Waiting          int `json:"waiting"`
	BacklogTokens    int `json:"backlog_tokens"`
	FreeMemoryTokens int `json:"free_memory_tokens"`
}

// Model is the state of an engine. It is not safe for concurrent use.
type Model struct {
	config     Config
	sequences  map[string]*Sequence
	byPriority []*Sequence
	arrivals   int64
	heldTokens int
	cache      map[uint64]*list.Element
	recent     *list.List // most recently used blocks first
	// cacheEvents are the cache changes since the last TakeCacheEvents.
	cacheEvents []CacheEvent
}

// CacheEvent is one change of the prefix cache: a block that was added or evicted.
type CacheEvent struct {
	Block uint64 `json:"block"`
	Added bool   `json:"added"`
}

// NewModel returns an idle engine.
func NewModel(config Config) *Model {
	return &Model{
		config: config.WithDefaults(), sequences: map[string]*Sequence{},
		cache: map[uint64]*list.Element{}, recent: list.New(),
	}
}

// Config returns the engine's configuration, with the defaults filled in.
func (m *Model) Config() Config { return m.config }

// Submit adds a sequence, which waits until KV cache and a place in the batch are free. It
// returns an error if the ID is in use or the sequence is larger than the KV cache.
func (m *Model) Submit(s *Sequence) error {
	if m.sequences[s.ID] != nil {
		return fmt.Errorf("sequence %s already exists", s.ID)
	}
	if s.PromptTokens+s.MaxTokens > m.config.MemoryTokens {
		return fmt.Errorf("sequence %s needs %d tokens of KV cache, the engine has %d", s.ID, s.PromptTokens+s.MaxTokens, m.config.MemoryTokens)
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

// admit moves waiting sequences into the batch, in order, while KV cache and places are
// free.
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
	// The last prompt token is always computed: decoding starts from its result.
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

// evict evicts the least recently used blocks until the prefix cache fits beside the KV
// cache that sequences hold.
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

// Busy returns true if a step would do work.
func (m *Model) Busy() bool { return m.Running() > 0 }

// Running returns the number of sequences in the batch.
func (m *Model) Running() int {
	n := 0
	for _, s := range m.byPriority {
		if s.admitted && !s.finished {
			n++
		}
	}
	return n
}

// Step runs one batch step: each prefilled sequence gets a token, and at most ChunkTokens
// are prefilled, in order of priority. It returns the step's duration and the progress of
// the sequences.
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

// Release frees a sequence and cancels it if it still runs. It returns false if there is no
// such sequence.
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

// HeldTokens is the KV cache of the sequences not yet released, in tokens.
func (m *Model) HeldTokens() int { return m.heldTokens }

// States returns the sequences in order of priority and arrival.
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

// Load returns the engine's load.
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

// Watts is the current power draw, in watts.
func (m *Model) Watts() int {
	c := m.config
	return c.FloorWatts + (c.MaxWatts-c.FloorWatts)*min(m.Running(), c.MaxRunning)/c.MaxRunning
}

// BlockHashes returns the hash of each whole block of a prompt, each covering all text up
// to the block's end. bytesPerToken is the token size that determines a block's length in
// bytes.
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
