// Package service is a stand-in for a plain service beside the model engines:
// it carries out calls that may not be repeated and keeps its own record of
// every run, to be compared with what callers were told.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"aspenyard.example/standin/control"
)

// Settings of the stand-in.
type Settings struct {
	// ChecksFencing refuses calls with an older fencing number.
	ChecksFencing bool
}

// Faults is the stand-in's present misbehaviour.
type Faults struct {
	// DelayBeforeMS and AfterMS delay a call before and after its run.
	DelayBeforeMS int `json:"before_ms"`
	DelayAfterMS  int `json:"after_ms"`
	// DropBefore and DropAfter cut the connection of further calls, that many
	// times, before or after the run.
	DropBefore int `json:"drop_before"`
	DropAfter  int `json:"drop_after"`
	// FailStatus answers with this HTTP status after the run.
	FailStatus int `json:"fail_with"`
}

// Run is one call carried out.
type Run struct {
	Key           string `json:"key"`
	Kind          string `json:"kind"`
	FencingNumber uint64 `json:"fencing"`
	UnixNano      int64  `json:"unix_nano"`
}

// Record is what truly happened: the runs, and how many calls arrived, run or not.
type Record struct {
	Runs    []Run `json:"runs"`
	Arrived int   `json:"arrived"`
}

// Server is the stand-in.
type Server struct {
	settings Settings

	mu            sync.Mutex
	faults        Faults
	runs          []Run
	fencingNumber uint64
	callCount     int
}

// New makes a stand-in.
func New(settings Settings) *Server { return &Server{settings: settings} }

// Handler serves calls, and /control and /record for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{kind}", s.call)
	mux.HandleFunc("GET /v1/status", control.GetHandler(&s.mu, func() any { return map[string]uint64{"fencing_number": s.fencingNumber} }))
	mux.HandleFunc("POST /control/faults", control.SetHandler(&s.mu, func(f Faults) { s.faults = f }))
	mux.HandleFunc("GET /record", control.GetHandler(&s.mu, func() Record { return Record{Runs: s.runs, Arrived: s.callCount} }))
	return mux
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.callCount++
	faults := s.faults
	if faults.DropBefore > 0 {
		s.faults.DropBefore--
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayBeforeMS) * time.Millisecond)
	if faults.DropBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	run, number, ok := s.execute(r)
	if !ok {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	time.Sleep(time.Duration(faults.DelayAfterMS) * time.Millisecond)
	if s.takeDropAfter() {
		panic(http.ErrAbortHandler)
	}
	if faults.FailStatus != 0 {
		http.Error(w, "failing, as told by a test", faults.FailStatus)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Key", run.Key)
	_ = json.NewEncoder(w).Encode(map[string]any{"key": run.Key, "run": number, "kind": run.Kind, "bytes": len(body)})
}

func (s *Server) execute(r *http.Request) (Run, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fencing, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Number"), 10, 64)
	if s.settings.ChecksFencing && fencing < s.fencingNumber {
		return Run{}, 0, false
	}
	s.fencingNumber = max(s.fencingNumber, fencing)
	run := Run{Key: r.Header.Get("X-Request-Key"), Kind: r.PathValue("kind"), FencingNumber: fencing, UnixNano: time.Now().UnixNano()}
	s.runs = append(s.runs, run)
	return run, len(s.runs), true
}

func (s *Server) takeDropAfter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropAfter == 0 {
		return false
	}
	s.faults.DropAfter--
	return true
}
