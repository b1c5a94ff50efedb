// Package control has the HTTP handlers that all stand-ins share: one reads the faults that
// a test requests, the other shows state such as records. Both use JSON.
package control

import (
	"encoding/json"
	"net/http"
	"sync"
)

// SetHandler returns a handler that decodes a request's JSON body into a T and passes it to
// apply while holding mu. It answers a body that it cannot decode with status 400.
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

// GetHandler returns a handler that calls get while holding mu and answers with the result
// as JSON.
func GetHandler[T any](mu sync.Locker, get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	}
}
