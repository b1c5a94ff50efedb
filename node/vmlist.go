package node

import (
	"sync"

	"go.uber.org/zap"
)

// maxLoggedVMs bounds the entries that are remembered as logged. Another writer may leave thousands.
const maxLoggedVMs = 1000

// LogRefusedVMs returns a function that logs entries of the platform's list of VMs that are left out, each once.
func LogRefusedVMs(log *zap.Logger) func(entry string, err error) {
	var mu sync.Mutex
	logged := map[string]bool{}
	return func(entry string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if logged[entry] || len(logged) >= maxLoggedVMs {
			return
		}
		logged[entry] = true
		log.Warn("an entry of the list of VMs was left out", zap.String("entry", entry), zap.Error(err))
	}
}
