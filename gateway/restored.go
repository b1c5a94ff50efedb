package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// reregisterPause is the mean time between the registrations of two entries after a loss. Each takes two
	// writes, of the some hundred a second that the store grants.
	reregisterPause = 5 * time.Millisecond
	// maxReregisterSpread bounds the time over which they are spread: others count an entry as gone when its
	// registration has been missing for two seconds.
	maxReregisterSpread = 1500 * time.Millisecond
	// reregisterRetry is the mean wait after a registration that failed after a loss. It doubles each time, up
	// to renewalInterval.
	reregisterRetry = 400 * time.Millisecond
)

// reregisterDelay returns a random wait before this entry registers anew after a loss.
func (g *Gateway) reregisterDelay() time.Duration {
	spread := min(time.Duration(len(g.snapshot.Load().Nodes))*reregisterPause, maxReregisterSpread)
	return time.Duration(rand.Float64() * float64(spread))
}

// EraNoticed implements storewatch.Listener: this entry must register anew.
func (g *Gateway) EraNoticed() {
	select {
	case g.peers.eraNoticed <- struct{}{}:
	default:
	}
}

// Restored implements storewatch.Listener. The store may have lost verdicts, or hold again what was withdrawn.
func (g *Gateway) Restored() { g.verdicts.reconcile(time.Now()) }
