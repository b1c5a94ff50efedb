package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"aspenyard.example/infra"
)

// maxListBackoff is the largest factor by which failed reads lengthen the interval.
const maxListBackoff = 16

// PollList reads the platform's list of VMs every interval until ctx ends. After
// failures it waits longer, with jitter, so that a platform that recovers is not hit by
// all nodes at once.
func (l *Loop) PollList(ctx context.Context, list infra.VMList, interval time.Duration) {
	factor := 1
	for ctx.Err() == nil {
		vms, err := list.VMs(ctx)
		if err == nil {
			factor = 1
			l.SetList(vms)
		} else {
			factor = min(2*factor, maxListBackoff)
		}
		wait := time.Duration(factor) * l.listInterval(interval)
		Sleep(ctx, wait/2+rand.N(wait))
	}
}

// listReadsPerSecond bounds the list reads per second of the whole fleet.
const listReadsPerSecond = 100

// listInterval returns the configured interval, or a longer one that keeps a large fleet
// within listReadsPerSecond.
func (l *Loop) listInterval(configured time.Duration) time.Duration {
	fleet := time.Duration(len(l.View().Members) + 1)
	return max(configured, fleet*time.Second/listReadsPerSecond)
}

// Sleep returns after wait, or as soon as ctx ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
