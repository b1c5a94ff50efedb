package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"aspenyard.example/standin/platform"
)

// kindRestore is the fault of a store that is restored from a copy.
const kindRestore = "store-restored"

const (
	// storeAwayTime is how long the store is away before it is restored.
	storeAwayTime = 300 * time.Millisecond
	// expiryAfterRestore is how long the copy's registrations of endpoints that have ended stay.
	expiryAfterRestore = 3 * heartbeatInterval
)

// restoreStore takes a copy of the store and restores it from this copy at the end of the fault's duration. The
// operator and the endpoints then write again what is lost.
func restoreStore(h *harness, f *Fault) {
	saved := h.store.Copy()
	time.Sleep(f.Duration)
	end := h.beginStoreDisturbance(f.Kind)
	h.store.SetFaults(platform.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(storeAwayTime)
	h.configWrites.Lock()
	h.store.Restore(saved)
	h.store.SetFaults(platform.StoreFaults{})
	h.rewriteConfig()
	h.configWrites.Unlock()
	h.rewriteEvacuations()
	h.store.Put("servers/i-bulk", h.bulk.Registration("i-bulk", serviceBulk))
	for _, p := range h.ports {
		h.register(p)
	}
	end()
	time.Sleep(expiryAfterRestore)
	h.expireEndedRegistrations()
}

// rewriteConfig writes the newest configuration again.
func (h *harness) rewriteConfig() {
	h.record.mu.Lock()
	n := len(h.record.Edits) - 1
	edit := h.record.Edits[n]
	h.record.mu.Unlock()
	h.store.Put("op/config", encodeConfig(n, &edit, h.bodyLimit, false))
}

// rewriteEvacuations writes the evacuations that are in force again, and ends those that only the copy has.
func (h *harness) rewriteEvacuations() {
	h.record.mu.Lock()
	inForce := map[string]bool{}
	for _, p := range h.record.Evacuations {
		inForce[p.DataCentre] = inForce[p.DataCentre] || p.EndedAt.IsZero()
	}
	h.record.mu.Unlock()
	for name, evacuated := range inForce {
		key := "op/evacuate/" + name
		switch listed := h.store.Get(key) != nil; {
		case evacuated && !listed:
			h.store.Put(key, []byte("{}"))
		case listed && !evacuated:
			h.store.Delete(key)
		}
	}
}

// expireEndedRegistrations deletes the registrations of endpoints that have ended.
func (h *harness) expireEndedRegistrations() {
	for _, key := range h.store.Keys("servers/") {
		id := strings.TrimPrefix(key, "servers/")
		running := id == "i-bulk" || slices.ContainsFunc(h.ports, func(p *endpointPort) bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.worker != nil && p.worker.ID == id
		})
		if !running {
			h.store.Delete(key)
		}
	}
}
