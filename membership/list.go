package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"aspenyard.example/infra"
)

// maxListBackoff bounds how far the wait between failed reads grows.
const maxListBackoff = 16

// PollList reads the platform's list every interval until ctx ends. After
// failures it waits longer, with jitter, so that the platform's return does not
// meet all nodes at once.
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

// listReadsPerSecond is what the whole fleet may take of the platform's reads
// for its list.
const listReadsPerSecond = 100

// listInterval stretches the interval so that the fleet stays within its reads.
func (l *Loop) listInterval(configured time.Duration) time.Duration {
	fleet := time.Duration(len(l.View().Members) + 1)
	return max(configured, fleet*time.Second/listReadsPerSecond)
}

// Sleep waits, or returns when ctx ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
