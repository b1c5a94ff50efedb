// Package platform is a stand-in for the users' platform: its metadata store with
// watches, leases and transactions, and the workers that register there. It speaks
// the platform's published protocol, and misbehaves as tests ask.
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

// StoreFaults is the store's present misbehaviour.
type StoreFaults struct {
	// RefuseStatus answers every call with this status; 0: works.
	RefuseStatus int
	// NoResponse leaves every call without an answer until it ends.
	NoResponse bool
	// MuteWatches makes watches hear nothing until they end.
	MuteWatches bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseResponses drops the connection after this many further writes took effect.
	LoseResponses int
}

// Item is one key of the store.
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
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the metadata store.
type Store struct {
	mu                sync.Mutex
	faults            StoreFaults
	revision          uint64
	items             map[string]Item
	events            []event
	compactedRevision uint64 // events up to this revision are gone
	leases            map[uint64]*lease
	nextLease         uint64
	changed           chan struct{}
	callCounts        map[string]int
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), callCounts: map[string]int{}}
}

// SetFaults changes the misbehaviour; it also wakes waiting watches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// CallCount counts the calls of a path so far.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Put writes a key as the operator or a worker would, and gives its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Keys gives the keys under a prefix, sorted.
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

// Get gives a key's value, nil where there is none.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key].Value
}

// Compact forgets all events so far.
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
	s.events = append(s.events, event{Item: item})
	s.notifyWatches()
	return s.revision
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends leases whose time has passed.
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

// withFaults applies the faults that concern every call.
func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[r.URL.Path]++
		s.expireLeases()
		faults := s.faults
		s.mu.Unlock()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		switch {
		case faults.NoResponse:
			<-r.Context().Done()
		case faults.RefuseStatus != 0:
			http.Error(w, "refused", faults.RefuseStatus)
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
	defer s.mu.Unlock()
	item, found := s.items[r.URL.Query().Get("key")]
	if !found {
		writeJSON(w, http.StatusNotFound, map[string]uint64{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, item)
}

// pageItems is how many items a page holds, few so that tests see several pages.
const pageItems = 50

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			entries = append(entries, item)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	hasMore := len(entries) > pageItems
	if hasMore {
		entries = entries[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": hasMore, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	muted := false // once deaf, a waiting watch stays so until it ends
	for {
		s.mu.Lock()
		muted = muted || s.faults.MuteWatches
		compacted, revision, changed := after < s.compactedRevision, s.revision, s.changed
		events := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case !muted && compacted:
			http.Error(w, "history gone", http.StatusGone)
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
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range txn.Expect {
		if s.items[expected.Key].Revision != expected.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"entries": []Item{s.items[expected.Key]}})
			return
		}
	}
	for _, write := range txn.Writes {
		switch {
		case strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/"):
			http.Error(w, "not the system's key", http.StatusForbidden)
			return
		case write.Lease != 0 && s.leases[write.Lease] == nil:
			http.Error(w, "no such lease", http.StatusNotFound)
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

// respondToWrite answers a write that took effect, or loses the answer.
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
		http.Error(w, "no ttl_ms", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	s.respondToWrite(w, map[string]any{"lease": s.nextLease, "ttl_ms": request.TTLMS})
}

func (s *Store) serveRenewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveEndLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.removeKeysOfLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// RevokeLeases ends all leases, as an outage may.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		delete(s.leases, id)
		s.removeKeysOfLease(id)
	}
}
