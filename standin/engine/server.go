package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/standin/control"
)

// Settings configures the stand-in's process.
type Settings struct {
	Config
	// Models are the names of the models that the engine serves.
	Models []string
	// TimeScale divides all durations: with 10 the engine runs ten times as fast; default
	// 1.
	TimeScale float64
	// ChecksFencing refuses orders whose fencing number is lower than one seen before.
	ChecksFencing bool
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// EventLag is the delay until a cache event is reported.
	EventLag time.Duration
	// EventDropInterval is n to drop every n-th cache event; 0 drops none.
	EventDropInterval int
}

// Faults are the faults that the stand-in currently simulates.
type Faults struct {
	// BreakAfterTokens closes each stream's connection once, after that many tokens; 0
	// means never.
	BreakAfterTokens int `json:"break_after_tokens"`
	// Stall stops the engine's steps while it continues to answer requests.
	Stall bool `json:"stall"`
	// RefuseAll answers every completion with status 503.
	RefuseAll bool `json:"refuse_all"`
}

// PowerSample is the power draw from a time on, until the next sample.
type PowerSample struct {
	UnixNano int64 `json:"unix_nano"`
	Watts    int   `json:"watts"`
}

// Run is the record of one sequence.
type Run struct {
	ID           string `json:"id"`
	PromptTokens int    `json:"prompt_tokens"`
	Finished     bool   `json:"finished"`
	Cancelled    bool   `json:"cancelled"`
	// PromptPrefixHash is the hash of the prompt's first bytes, by which tests find a
	// caller's request.
	PromptPrefixHash uint64 `json:"beginning"`
}

// prefixHashBytes is enough to distinguish prompts, and less than any part of a split
// prompt has.
const prefixHashBytes = 256

// PromptPrefixHash returns the hash of a prompt's first bytes.
func PromptPrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixHashBytes)])
}

// Record is what really happened at the engine, for tests to compare with what callers and
// operators were told.
type Record struct {
	Runs          []Run         `json:"runs"`
	HeldTokens    int           `json:"held_tokens"`
	PeakTokens    int           `json:"peak_tokens"`
	Watts         []PowerSample `json:"watts"`
	Orders        []string      `json:"orders"`
	RefusedOrders int           `json:"refused_orders"`
	// CachedTokens is the number of prompt tokens served from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// CompletionRequest is the body of POST /v1/completions: the fields of the completions API
// and the engine's own.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
	Priority  int    `json:"priority"`
	// Delivered is the text that another attempt already produced for this prompt.
	Delivered       string `json:"delivered,omitempty"`
	DeliveredTokens int    `json:"delivered_tokens,omitempty"`
	// Hold requests prefill only.
	Hold bool `json:"hold,omitempty"`
	// Imports are the KV caches of the prompt's earlier parts, held by other engines.
	Imports []Import `json:"imports,omitempty"`
}

// Import identifies a held sequence of another engine.
type Import struct {
	Engine   string `json:"engine"`
	Sequence string `json:"sequence"`
	Tokens   int    `json:"tokens"`
}

// Chunk is one server-sent event of a completion.
type Chunk struct {
	ID      string   `json:"id"`
	Choices []Choice `json:"choices"`
	// Offset is the number of output tokens before this chunk.
	Offset int `json:"offset"`
	// Held is set when the prefill of a request with Hold is done.
	Held bool `json:"held,omitempty"`
}

// Choice is the text of a chunk.
type Choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type stream struct {
	tokens          []string
	deliveredTokens int // output tokens that another attempt delivered before
	held            bool
	finished        bool
	cancelled       bool
	wasBroken       bool // BreakAfterTokens has closed its connection
	changed         chan struct{}
	promptHash      uint64
	promptTokens    int
	runIndex        int
}

// Server is the stand-in: an HTTP server without its listener. Safe for concurrent use.
type Server struct {
	settings Settings

	mu              sync.Mutex
	model           *Model
	streams         map[string]*stream
	record          Record
	fencingNumber   uint64
	faults          Faults
	wake            chan struct{}
	loadHistory     []timedLoad
	cacheEvents     []timedCacheEvent
	cacheEventCount int
	client          *http.Client
}

type timedCacheEvent struct {
	at    time.Time
	event CacheEvent
}

type timedLoad struct {
	at   time.Time
	load Load
}

// New returns an idle engine. Run must run for it to make progress.
func New(settings Settings) *Server {
	if settings.TimeScale == 0 {
		settings.TimeScale = 1
	}
	s := &Server{
		settings: settings, model: NewModel(settings.Config), streams: map[string]*stream{},
		wake: make(chan struct{}, 1), client: &http.Client{Timeout: 10 * time.Second},
	}
	s.recordPower()
	return s
}

// Run steps the engine until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		busy, stalled := s.model.Busy(), s.faults.Stall
		s.mu.Unlock()
		if stalled {
			time.Sleep(stallPollInterval)
			continue
		}
		if !busy {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			continue
		}
		s.mu.Lock()
		duration, events := s.model.Step()
		s.mu.Unlock()
		time.Sleep(time.Duration(float64(duration) / s.settings.TimeScale))
		s.mu.Lock()
		s.publish(events)
		s.recordPower()
		s.mu.Unlock()
	}
}

// stallPollInterval is how often a stalled engine checks whether the fault has ended.
const stallPollInterval = 10 * time.Millisecond

func (s *Server) publish(events []Event) {
	for _, event := range events {
		st := s.streams[event.ID]
		if st == nil {
			continue
		}
		if event.Prefilled {
			st.held = true
		} else {
			st.tokens = append(st.tokens, TokenText(st.promptHash, st.deliveredTokens+event.OutputTokens-1))
		}
		if event.Finished {
			st.finished = true
			s.record.Runs[st.runIndex].Finished = true
		}
		close(st.changed)
		st.changed = make(chan struct{})
	}
	s.recordCacheEvents()
	s.loadHistory = append(s.loadHistory, timedLoad{time.Now(), s.model.Load()})
	if len(s.loadHistory) > 1024 {
		s.loadHistory = append([]timedLoad(nil), s.loadHistory[512:]...)
	}
}

func (s *Server) recordCacheEvents() {
	for _, event := range s.model.TakeCacheEvents() {
		s.cacheEventCount++
		if s.settings.EventDropInterval > 0 && s.cacheEventCount%s.settings.EventDropInterval == 0 {
			continue
		}
		s.cacheEvents = append(s.cacheEvents, timedCacheEvent{time.Now(), event})
	}
	if len(s.cacheEvents) > maxCacheEvents {
		s.cacheEvents = append([]timedCacheEvent(nil), s.cacheEvents[len(s.cacheEvents)-maxCacheEvents:]...)
	}
}

const maxCacheEvents = 4096

func (s *Server) recordPower() {
	watts := s.model.Watts()
	if n := len(s.record.Watts); n > 0 && s.record.Watts[n-1].Watts == watts {
		return
	}
	s.record.Watts = append(s.record.Watts, PowerSample{time.Now().UnixNano(), watts})
}

// Handler serves the engine's paths, and /control and /record for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/models", control.GetHandler(&s.mu, func() any { return map[string]any{"models": s.settings.Models} }))
	mux.HandleFunc("GET /v1/sequences", control.GetHandler(&s.mu, func() []SequenceState { return s.model.States() }))
	mux.HandleFunc("DELETE /v1/sequences/{id}", s.serveCancel)
	mux.HandleFunc("GET /v1/sequences/{id}/stream", s.serveResume)
	mux.HandleFunc("GET /v1/sequences/{id}/kv", s.serveKVCache)
	mux.HandleFunc("GET /v1/events", s.serveCacheEvents)
	mux.HandleFunc("GET /v1/load", s.serveLoad)
	mux.HandleFunc("POST /v1/orders", s.recordOrder)
	mux.HandleFunc("GET /v1/status", s.serveStatus)
	mux.HandleFunc("POST /control/faults", control.SetHandler(&s.mu, func(f Faults) { s.faults = f }))
	mux.HandleFunc("GET /record", control.GetHandler(&s.mu, s.currentRecord))
	return mux
}

// refuseStaleFencing records a request's fencing number. If it is lower than one seen
// before, it refuses the request and returns true.
func (s *Server) refuseStaleFencing(w http.ResponseWriter, r *http.Request) bool {
	number, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Number"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.ChecksFencing && number < s.fencingNumber {
		s.record.RefusedOrders++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return true
	}
	s.fencingNumber = max(s.fencingNumber, number)
	return false
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.refuseStaleFencing(w, r) {
		return
	}
	imported, err := s.importKV(request.Imports)
	if err != nil {
		http.Error(w, err.Error(), http.StatusFailedDependency)
		return
	}
	st, err := s.submit(request, imported)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !request.Stream {
		// Plain clients of the engine request the whole output in one response.
		s.respondWhole(w, r, request.RequestID, st)
		return
	}
	s.streamSequence(w, r, request.RequestID, st, 0)
}

// importKV checks that each imported sequence is still held by the engine that the request
// names. It returns the sum of their tokens.
func (s *Server) importKV(imports []Import) (int, error) {
	tokens := 0
	for _, imported := range imports {
		response, err := s.client.Get("http://" + imported.Engine + "/v1/sequences/" + imported.Sequence + "/kv")
		if err != nil {
			return 0, fmt.Errorf("import from %s: %w", imported.Engine, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return 0, fmt.Errorf("import from %s: sequence %s is not held", imported.Engine, imported.Sequence)
		}
		tokens += imported.Tokens
	}
	return tokens, nil
}

func (s *Server) submit(request CompletionRequest, imported int) (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseAll {
		return nil, fmt.Errorf("refused by a test fault")
	}
	hash := xxhash.Sum64String(request.Prompt)
	if request.Delivered != Completion(request.Prompt, request.DeliveredTokens) {
		return nil, fmt.Errorf("delivered text is not the beginning of this prompt's output")
	}
	tokens := CountTokens(request.Prompt)
	sequence := &Sequence{
		ID: request.RequestID, Priority: request.Priority,
		PromptTokens: max(1, tokens-imported+request.DeliveredTokens),
		MaxTokens:    max(1, request.MaxTokens-request.DeliveredTokens), Hold: request.Hold,
	}
	if request.Hold {
		// A held sequence has only its own part of the prompt: what it imports comes before
		// it.
		sequence.PromptTokens, sequence.MaxTokens = max(1, tokens), 0
	}
	if len(request.Imports) == 0 && !request.Hold {
		sequence.Blocks = BlockHashes(request.Prompt, BytesPerToken)
	}
	if err := s.model.Submit(sequence); err != nil {
		return nil, err
	}
	st := &stream{changed: make(chan struct{}), promptHash: hash, deliveredTokens: request.DeliveredTokens, runIndex: len(s.record.Runs), promptTokens: tokens}
	s.streams[request.RequestID] = st
	s.record.Runs = append(s.record.Runs, Run{ID: request.RequestID, PromptTokens: tokens, PromptPrefixHash: PromptPrefixHash(request.Prompt)})
	s.record.PeakTokens = max(s.record.PeakTokens, s.model.HeldTokens())
	s.recordPower()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return st, nil
}

// awaitTokens waits until the stream has tokens at index from or later, or is held,
// finished or cancelled. It returns these tokens and the state. A ctx that ends counts as
// cancelled.
func (s *Server) awaitTokens(ctx context.Context, st *stream, from int) (tokens []string, held, finished, cancelled bool) {
	for {
		s.mu.Lock()
		tokens, held, finished, cancelled = st.tokens[from:], st.held, st.finished, st.cancelled
		changed := st.changed
		s.mu.Unlock()
		if len(tokens) > 0 || held || finished || cancelled {
			return tokens, held, finished, cancelled
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, false, true
		}
	}
}

// streamSequence sends a sequence's output from an offset on. It releases the sequence once
// the end is written; if the reader disconnects before, the sequence stays, to be resumed
// or cancelled.
func (s *Server) streamSequence(w http.ResponseWriter, r *http.Request, id string, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	heldSent := false
	for {
		tokens, held, finished, cancelled := s.awaitTokens(r.Context(), st, from)
		for i, text := range tokens {
			if s.shouldBreak(st, from+1) {
				panic(http.ErrAbortHandler)
			}
			last := finished && i == len(tokens)-1
			if writeChunk(w, Chunk{ID: id, Offset: st.deliveredTokens + from, Choices: []Choice{choice(text, last)}}) != nil {
				return
			}
			from++
		}
		if held && !heldSent {
			heldSent = true
			if writeChunk(w, Chunk{ID: id, Held: true}) != nil {
				return
			}
		}
		_ = controller.Flush()
		if finished {
			if _, err := io.WriteString(w, "data: [DONE]\n\n"); err != nil || controller.Flush() != nil {
				return
			}
			s.release(id, false)
			return
		}
		if cancelled {
			return
		}
		if heldSent {
			s.awaitRelease(r.Context(), st)
			return
		}
	}
}

func (s *Server) awaitRelease(ctx context.Context, st *stream) {
	s.mu.Lock()
	changed := st.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (s *Server) shouldBreak(st *stream, token int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.BreakAfterTokens == 0 || st.wasBroken || token <= s.faults.BreakAfterTokens {
		return false
	}
	st.wasBroken = true
	return true
}

func choice(text string, last bool) Choice {
	if !last {
		return Choice{Text: text}
	}
	reason := "length"
	return Choice{Text: text, FinishReason: &reason}
}

func writeChunk(w io.Writer, chunk Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, id string, st *stream) {
	var text strings.Builder
	for from := 0; ; {
		tokens, _, finished, cancelled := s.awaitTokens(r.Context(), st, from)
		if cancelled {
			return
		}
		for _, token := range tokens {
			text.WriteString(token)
		}
		from += len(tokens)
		if finished {
			break
		}
	}
	s.release(id, false)
	_ = json.NewEncoder(w).Encode(Chunk{ID: id, Choices: []Choice{choice(text.String(), true)}})
}

func (s *Server) release(id string, cancelled bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st == nil || !s.model.Release(id) {
		return false
	}
	delete(s.streams, id)
	if cancelled {
		st.cancelled = true
		s.record.Runs[st.runIndex].Cancelled = true
		close(st.changed)
		st.changed = make(chan struct{})
	}
	s.recordPower()
	return true
}
