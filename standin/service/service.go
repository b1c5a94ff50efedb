// Package service is a stand-in for a plain service, which runs beside the model engines:
// it executes calls that are not repeatable and records every execution, so that tests can
// compare the record with what callers were told.
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

// Settings configures the stand-in.
type Settings struct {
	// ChecksFencing refuses calls whose fencing number is lower than one seen before.
	ChecksFencing bool
}

// Faults are the faults that the stand-in currently simulates.
type Faults struct {
	// DelayBeforeMS and DelayAfterMS delay a call before and after its execution, in
	// milliseconds.
	DelayBeforeMS int `json:"before_ms"`
	DelayAfterMS  int `json:"after_ms"`
	// DropBefore and DropAfter are how many further calls have their connection closed
	// before or after the execution.
	DropBefore int `json:"drop_before"`
	DropAfter  int `json:"drop_after"`
	// FailStatus is an HTTP status sent after the execution instead of the result; 0 means
	// none.
	FailStatus int `json:"fail_with"`
}

// Run is one executed call.
type Run struct {
	Key           string `json:"key"`
	Kind          string `json:"kind"`
	FencingNumber uint64 `json:"fencing"`
	UnixNano      int64  `json:"unix_nano"`
}

// Record is what really happened: the executed calls, and how many calls arrived, executed
// or not.
type Record struct {
	Runs    []Run `json:"runs"`
	Arrived int   `json:"arrived"`
}

// Server is the stand-in: an HTTP server without its listener. Safe for concurrent use.
type Server struct {
	settings Settings

	mu            sync.Mutex
	faults        Faults
	runs          []Run
	fencingNumber uint64
	callCount     int
}

// New returns a stand-in with an empty record and no faults.
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
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	time.Sleep(time.Duration(faults.DelayAfterMS) * time.Millisecond)
	if s.takeDropAfter() {
		panic(http.ErrAbortHandler)
	}
	if faults.FailStatus != 0 {
		http.Error(w, "failed by a test fault", faults.FailStatus)
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
