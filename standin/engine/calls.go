package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

func (s *Server) serveKVCache(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil || !st.held {
		http.Error(w, "no held sequence with this ID", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"tokens": st.promptTokens})
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := []CacheEvent{}
	for _, e := range s.cacheEvents {
		if time.Since(e.at) >= s.settings.EventLag {
			visible = append(visible, e.event)
		}
	}
	_ = json.NewEncoder(w).Encode(visible)
}

// serveLoad answers with the load as it was LoadLag ago.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := s.model.Load()
	if s.settings.LoadLag > 0 {
		reported = Load{FreeMemoryTokens: s.settings.WithDefaults().MemoryTokens}
		for _, old := range s.loadHistory {
			if time.Since(old.at) >= s.settings.LoadLag {
				reported = old.load
			}
		}
	}
	_ = json.NewEncoder(w).Encode(reported)
}

func (s *Server) recordOrder(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if s.refuseStaleFencing(w, r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Orders = append(s.record.Orders, string(text))
}

// Status describes the engine to an agent that starts.
type Status struct {
	Models                 []string `json:"models"`
	MemoryTokens           int      `json:"memory_tokens"`
	MaxRunning             int      `json:"max_running"`
	PrefillTokensPerSecond int      `json:"prefill_tokens_per_second"`
	FloorWatts             int      `json:"floor_watts"`
	MaxWatts               int      `json:"max_watts"`
	FencingNumber          uint64   `json:"fencing_number"`
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.model.Config()
	_ = json.NewEncoder(w).Encode(Status{
		Models: s.settings.Models, MemoryTokens: c.MemoryTokens, MaxRunning: c.MaxRunning,
		PrefillTokensPerSecond: int(float64(c.PrefillRate()) * s.settings.TimeScale),
		FloorWatts:             c.FloorWatts, MaxWatts: c.MaxWatts, FencingNumber: s.fencingNumber,
	})
}

// currentRecord returns the record with the current numbers of held and cached tokens.
func (s *Server) currentRecord() Record {
	record := s.record
	record.HeldTokens = s.model.HeldTokens()
	for _, state := range s.model.States() {
		record.CachedTokens += state.CachedTokens
	}
	return record
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s.refuseStaleFencing(w, r) {
		return
	}
	if !s.release(r.PathValue("id"), true) {
		http.Error(w, "no sequence with this ID", http.StatusNotFound)
	}
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	st := s.streams[id]
	s.mu.Unlock()
	if st == nil {
		http.Error(w, "no sequence with this ID", http.StatusNotFound)
		return
	}
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	s.streamSequence(w, r, id, st, max(0, offset-st.deliveredTokens))
}
