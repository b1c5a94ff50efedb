// Package consul is a stand-in for a platform with a Consul-like API: a key-value store
// with compare-and-swap, sessions that act as leases, blocking watches, rate limits for
// calls, and a list of VMs that lags behind. It counts the calls, and tests request faults
// on its control paths. Requests and responses have the form of Consul's published v1 HTTP
// API.
package consul

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"aspenyard.example/standin/control"
)

// Settings configures the stand-in.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond are the rates above which calls get status 429; 0
	// means no limit.
	ReadsPerSecond, WritesPerSecond int
	// ListLag is the delay until a change of the VM list becomes visible.
	ListLag time.Duration
}

// VM is an entry of the VM list.
type VM struct {
	Name, Role, DataCentre, Addr, State string
}

// Faults are the faults that the stand-in currently simulates.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is how many further writes take effect without a response: the
	// connection is closed instead.
	LoseResponses int `json:"lose_answers"`
	// LosePrefix limits LoseResponses to keys with this prefix.
	LosePrefix string `json:"lose_prefix"`
	// DownAfterLoss sets Down as soon as a response has been lost.
	DownAfterLoss bool `json:"down_after_lose"`
	// StalePrefix makes reads of keys with this prefix return the first value ever written
	// and its revision, as a lagging replica would.
	StalePrefix string `json:"stale_prefix"`
	// ListLagMS replaces Settings.ListLag if positive, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
}

type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	// firstValue is the first value ever written, and firstIndex its revision.
	firstValue []byte
	firstIndex uint64
}

// Record is what the stand-in itself counted, for tests to compare with what nodes report.
type Record struct {
	Reads, Writes, Watches, Refused int
	// PeakReads and PeakWrites are the highest counts in one second.
	PeakReads, PeakWrites int
	// Calls is the number of calls in each second since the start.
	Calls []int
	// Delayed are the paths of the calls that have arrived and are delayed by a fault.
	Delayed []string
}

// Server is the stand-in: an HTTP server without its listener. Safe for concurrent use.
type Server struct {
	settings Settings
	started  time.Time

	mu        sync.Mutex
	changed   chan struct{}
	lastIndex uint64
	pairs     map[string]*pair
	visible   []VM
	// listVersion counts the calls of SetVMs; visibleVersion is the one whose list is
	// visible.
	listVersion, visibleVersion int
	sessions                    map[string]time.Time
	faults                      Faults
	record                      Record
	currentSecond               int64
	readsThisSecond             int
	writesThisSecond            int
}

// New returns a stand-in with an empty store and an empty VM list.
func New(settings Settings) *Server {
	return &Server{
		settings: settings, started: time.Now(), changed: make(chan struct{}),
		pairs: map[string]*pair{}, sessions: map[string]time.Time{},
	}
}

// Handler serves the platform's paths, and /control and /record for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", s.withFaults(s.get))
	mux.HandleFunc("PUT /v1/kv/", s.withFaults(s.put))
	mux.HandleFunc("DELETE /v1/kv/", s.withFaults(s.remove))
	mux.HandleFunc("PUT /v1/session/create", s.withFaults(s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/", s.withFaults(s.renewSession))
	mux.HandleFunc("GET /v1/catalog/nodes", s.withFaults(s.listNodes))
	mux.HandleFunc("POST /control/faults", control.SetHandler(&s.mu, s.applyFaults))
	mux.HandleFunc("POST /control/vms", s.setVMs)
	mux.HandleFunc("GET /record", control.GetHandler(&s.mu, func() Record { return s.record }))
	mux.HandleFunc("GET /record/keys", s.serveKeys)
	return mux
}

// SetVMs replaces the VM list. Readers see the new list after the lag.
func (s *Server) SetVMs(vms []VM) {
	s.mu.Lock()
	s.listVersion++
	version := s.listVersion
	lag := s.settings.ListLag
	if s.faults.ListLagMS > 0 {
		lag = time.Duration(s.faults.ListLagMS) * time.Millisecond
	}
	s.mu.Unlock()
	time.AfterFunc(lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		// Timers that expire almost together may fire in either order, and an older list
		// must not replace a newer one.
		if version > s.visibleVersion {
			s.visible, s.visibleVersion = vms, version
		}
	})
}

// withFaults counts a call and applies the faults and the rate limits to it.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		allowed := s.countCall(r.Method == http.MethodGet)
		s.mu.Unlock()
		if faults.DelayMS > 0 {
			s.delay(r.Method+" "+r.URL.Path, time.Duration(faults.DelayMS)*time.Millisecond)
		}
		if faults.Down {
			http.Error(w, "outage simulated by a test", http.StatusServiceUnavailable)
			return
		}
		if !allowed {
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// delay delays a call, which the record names meanwhile.
func (s *Server) delay(call string, d time.Duration) {
	s.mu.Lock()
	s.record.Delayed = append(slices.Clip(s.record.Delayed), call)
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.record.Delayed, call)
	s.record.Delayed = slices.Concat(s.record.Delayed[:i], s.record.Delayed[i+1:])
}

func (s *Server) countCall(read bool) bool {
	second := int64(time.Since(s.started) / time.Second)
	for int64(len(s.record.Calls)) <= second {
		s.record.Calls = append(s.record.Calls, 0)
	}
	s.record.Calls[second]++
	if second != s.currentSecond {
		s.currentSecond, s.readsThisSecond, s.writesThisSecond = second, 0, 0
	}
	if read {
		s.readsThisSecond++
		s.record.Reads++
		s.record.PeakReads = max(s.record.PeakReads, s.readsThisSecond)
		return s.withinRate(s.readsThisSecond, s.settings.ReadsPerSecond)
	}
	s.writesThisSecond++
	s.record.Writes++
	s.record.PeakWrites = max(s.record.PeakWrites, s.writesThisSecond)
	return s.withinRate(s.writesThisSecond, s.settings.WritesPerSecond)
}

func (s *Server) withinRate(calls, limit int) bool {
	if limit > 0 && calls > limit {
		s.record.Refused++
		return false
	}
	return true
}

func key(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, "/v1/kv/")
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := key(r)
	knownIndex, watching := uint64(0), r.URL.Query().Has("index")
	if watching {
		knownIndex, _ = strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		found, changed := s.pairs[name], s.changed
		revision := uint64(0)
		var body []byte
		if found != nil {
			revision = found.ModifyIndex
			returned := *found
			if s.faults.StalePrefix != "" && strings.HasPrefix(name, s.faults.StalePrefix) {
				returned.Value, returned.ModifyIndex = found.firstValue, found.firstIndex
				revision = found.firstIndex
			}
			body, _ = json.Marshal([]pair{returned})
		}
		if watching {
			s.record.Watches++
		}
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "outage simulated by a test", http.StatusServiceUnavailable)
			return
		}
		if !watching || revision != knownIndex {
			respond(w, body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			respond(w, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, body []byte) {
	if body == nil {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "value is larger than 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	name := key(r)
	s.mu.Lock()
	ok := s.compareAndSwap(name, data, r.URL.Query().Get("cas"), r.URL.Query().Get("acquire"))
	loseResponse := ok && s.faults.LoseResponses > 0 && strings.HasPrefix(name, s.faults.LosePrefix)
	if loseResponse {
		s.faults.LoseResponses--
		s.faults.Down = s.faults.Down || s.faults.DownAfterLoss
	}
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	fmt.Fprint(w, ok)
}

// compareAndSwap writes a value and returns true if cas, when given, is the key's revision
// (0 for a key that does not exist) and session, when given, has not expired.
func (s *Server) compareAndSwap(name string, data []byte, cas, session string) bool {
	current := s.pairs[name]
	if cas != "" {
		expected, _ := strconv.ParseUint(cas, 10, 64)
		if (current == nil) != (expected == 0) || (current != nil && current.ModifyIndex != expected) {
			return false
		}
	}
	if session != "" && time.Now().After(s.sessions[session]) {
		return false
	}
	s.lastIndex++
	next := &pair{Key: name, Value: data, ModifyIndex: s.lastIndex, firstValue: data, firstIndex: s.lastIndex}
	if current != nil {
		next.firstValue, next.firstIndex = current.firstValue, current.firstIndex
	}
	s.pairs[name] = next
	s.notifyWatches()
	return true
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastIndex++
	delete(s.pairs, key(r))
	s.notifyWatches()
	fmt.Fprint(w, true)
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastIndex++
	id := fmt.Sprintf("session-%d", s.lastIndex)
	s.sessions[id] = time.Now().Add(sessionTTL)
	_ = json.NewEncoder(w).Encode(map[string]string{"ID": id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.TrimPrefix(r.URL.Path, "/v1/session/renew/")
	if time.Now().After(s.sessions[id]) {
		http.Error(w, "session is unknown or has expired", http.StatusNotFound)
		return
	}
	s.sessions[id] = time.Now().Add(sessionTTL)
	fmt.Fprint(w, "[]")
}

const sessionTTL = 10 * time.Second

func (s *Server) listNodes(w http.ResponseWriter, _ *http.Request) {
	type node struct {
		Node, Address, Datacenter string
		Meta                      map[string]string
	}
	s.mu.Lock()
	nodes := make([]node, 0, len(s.visible))
	for _, vm := range s.visible {
		nodes = append(nodes, node{vm.Name, vm.Addr, vm.DataCentre, map[string]string{"role": vm.Role, "state": vm.State}})
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(nodes)
}

// applyFaults sets the faults. It wakes the waiting watches so that an outage ends them
// too.
func (s *Server) applyFaults(faults Faults) {
	s.faults = faults
	s.notifyWatches()
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(vms)
}

func (s *Server) serveKeys(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := map[string]string{}
	for name, p := range s.pairs {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) {
			keys[name] = string(p.Value)
		}
	}
	_ = json.NewEncoder(w).Encode(keys)
}
