// Package platform is a stand-in for the users' platform: its key-value store with watches,
// leases and transactions, and the workers that register there. It implements the
// platform's published protocol and injects the faults that tests request.
package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the faults that the store currently simulates.
type StoreFaults struct {
	// RefuseStatus is the HTTP status with which every call is refused; 0 means none.
	RefuseStatus int
	// NoResponse leaves every call without a response until its caller cancels it.
	NoResponse bool
	// MuteWatches makes watches report no events until they end.
	MuteWatches bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseResponses is how many further writes take effect without a response: the
	// connection is closed instead.
	LoseResponses int
}

// Item is a key of the store with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
	at      time.Time
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the platform's store. Safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	faults            StoreFaults
	revision          uint64
	items             map[string]Item
	events            []event
	compactedRevision uint64 // events up to this revision were deleted
	leases            map[uint64]*lease
	nextLease         uint64
	changed           chan struct{}
	callCounts        map[string]int
	// era is stated in all responses, unless hidesEra is set.
	era      uint64
	hidesEra bool
	// pageItems is the number of items in a page, staleAges the ages of the next pages that may be stale.
	pageItems int
	staleAges []time.Duration
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), callCounts: map[string]int{}, era: 1, pageItems: defaultPageItems}
}

// SetFaults replaces the faults and wakes the waiting watches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// CallCount returns the number of calls of a path so far.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Put writes a key, as the operators or a worker would, and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Delete deletes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Keys returns the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Get returns a key's value, or nil if the key does not exist.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key].Value
}

// Compact deletes all events so far. Watches from an earlier revision then get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedRevision = nil, s.revision
}

func (s *Store) put(key string, value []byte, lease uint64) uint64 {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		item.Created = old.Created
	}
	s.items[key] = item
	s.events = append(s.events, event{Item: item, at: time.Now()})
	s.notifyWatches()
	return s.revision
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, event{Item: Item{Key: key, Revision: s.revision}, Deleted: true, at: time.Now()})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases deletes the leases whose time has passed, and their keys.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		s.removeKeysOfLease(id)
	}
}

func (s *Store) removeKeysOfLease(id uint64) {
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.withFaults(s.serveKey))
	mux.HandleFunc("GET /-/kv-range", s.withFaults(s.serveRange))
	mux.HandleFunc("GET /-/kv-watch", s.withFaults(s.serveWatch))
	mux.HandleFunc("POST /-/kv-txn", s.withFaults(s.serveTxn))
	mux.HandleFunc("POST /-/kv-lease", s.withFaults(s.serveGrantLease))
	mux.HandleFunc("POST /-/kv-keep/{id}", s.withFaults(s.serveRenewLease))
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.withFaults(s.serveEndLease))
	return mux
}

// withFaults counts a call, expires leases and applies the faults that concern every call.
func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[r.URL.Path]++
		s.expireLeases()
		faults := s.faults
		s.stateEra(w.Header())
		s.mu.Unlock()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		switch {
		case faults.NoResponse:
			<-r.Context().Done()
		case faults.RefuseStatus != 0:
			http.Error(w, "refused by a test fault", faults.RefuseStatus)
		default:
			next(w, r)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stateEra(w.Header())
	item, found := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock() // writing may take long
	if !found {
		writeJSON(w, http.StatusNotFound, map[string]uint64{"at": revision})
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	s.stateEra(w.Header())
	entries := []Item{}
	var age time.Duration
	if query.Get("stale_ok") != "" {
		age = s.nextAge()
	}
	items, at := s.itemsAt(query.Get("prefix"), age)
	for key, item := range items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			entries = append(entries, item)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	hasMore := len(entries) > s.pageItems
	if hasMore {
		entries = entries[:s.pageItems]
	}
	s.mu.Unlock() // writing may take long
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": hasMore, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	muted := false // a watch that was muted once stays so until it ends
	for {
		s.mu.Lock()
		muted = muted || s.faults.MuteWatches
		s.stateEra(w.Header())
		gone, revision, changed := after < s.compactedRevision || after > s.revision, s.revision, s.changed
		events := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case !muted && gone:
			http.Error(w, "the store has no history from this revision", http.StatusGone)
			return
		case !muted && len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if muted {
				revision = after
			}
			writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "at": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnRequest struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn txnRequest
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		http.Error(w, "body is not valid JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w.Header())
	for _, expected := range txn.Expect {
		if s.items[expected.Key].Revision != expected.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"entries": []Item{s.items[expected.Key]}})
			return
		}
	}
	for _, write := range txn.Writes {
		switch {
		case strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/"):
			http.Error(w, "keys under op/ and servers/ are read-only", http.StatusForbidden)
			return
		case write.Lease != 0 && s.leases[write.Lease] == nil:
			http.Error(w, "unknown or expired lease", http.StatusNotFound)
			return
		}
	}
	for _, write := range txn.Writes {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.respondToWrite(w, map[string]uint64{"revision": s.revision})
}

// respondToWrite responds to a write that took effect, or loses the response.
func (s *Store) respondToWrite(w http.ResponseWriter, value any) {
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, value)
}

func (s *Store) serveGrantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMS <= 0 {
		http.Error(w, "ttl_ms must be positive", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w.Header())
	id := s.grantLease(time.Duration(request.TTLMS) * time.Millisecond)
	s.respondToWrite(w, map[string]any{"lease": id, "ttl_ms": request.TTLMS})
}

func (s *Store) serveRenewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w.Header())
	l := s.leases[id]
	if l == nil {
		http.Error(w, "unknown or expired lease", http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveEndLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w.Header())
	delete(s.leases, id)
	s.removeKeysOfLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// RevokeLeases deletes all leases and their keys, as an outage may.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		delete(s.leases, id)
		s.removeKeysOfLease(id)
	}
}
