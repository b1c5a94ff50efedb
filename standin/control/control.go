// Package control holds what all stand-ins share: reading the faults that a test
// asks for and showing records, as JSON.
package control

import (
	"encoding/json"
	"net/http"
	"sync"
)

// SetHandler decodes the request's body into a new value of T and, under the lock, hands
// it to apply. A body that cannot be read is answered with status 400.
func SetHandler[T any](mu sync.Locker, apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		apply(value)
	}
}

// GetHandler answers with what get returns under the lock.
func GetHandler[T any](mu sync.Locker, get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	}
}
