package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/standin/platform"
)

// Fault is one scheduled fault. Which fields apply depends on its kind.
type Fault struct {
	Kind string
	// Start is the time from the start of the schedule.
	Start, Duration time.Duration
	// Gateway, Port and SecondPort are the indexes of the gateway and of the endpoint addresses
	// that the fault affects.
	Gateway, Port, SecondPort int
	// Delay is the added latency of a slow link or store, or the pause between the steps of a
	// fault. Variant, 1 to 3, is the direction of a link cut or the variant of a restart.
	Delay   time.Duration
	Variant int
	// EndpointFault is how an endpoint misbehaves.
	EndpointFault platform.Fault
}

// targetCounts is the number of gateways and endpoint addresses that faults can affect.
type targetCounts struct{ gateways, ports int }

// maxDelay is the upper bound of Fault.Delay. It is below the gateways' timeout of a store call,
// so that some calls to a slow store still succeed.
const maxDelay = 500 * time.Millisecond

// meanFaultIntervals are the mean times between the starts of two faults. A run uses one of them
// throughout: rare faults each occur in an undisturbed system, frequent ones overlap.
var meanFaultIntervals = []time.Duration{250 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// endpointFaults are the ways in which endpoints can misbehave with requests and reservations.
var endpointFaults = []platform.Fault{
	platform.FaultShed, platform.FaultUnmarkedRefusal, platform.FaultError, platform.FaultReset, platform.FaultTruncated, platform.FaultTruncatedUnframed, platform.FaultDuplicateResponse,
	platform.FaultUnframed, platform.FaultNoServerStamp, platform.FaultGarbage, platform.FaultHang, platform.FaultEarlyResponse, platform.FaultSlow, platform.FaultHelperFailed, platform.FaultLateOrder,
}

// FaultKinds returns the names of all kinds of faults.
func FaultKinds() []string {
	var names []string
	for _, k := range faultTable {
		names = append(names, k.name)
	}
	return names
}

// FirstFaultKinds returns the names of the first n kinds of faults, which are the kinds that
// existed when a seed was recorded, or nil, which means all kinds, for n = 0. It returns an error
// if n is negative or there are fewer kinds.
func FirstFaultKinds(n int) ([]string, error) {
	names := FaultKinds()
	if n < 0 || n > len(names) {
		return nil, errors.Errorf("first kinds of faults: %d, want 0 to %d", n, len(names))
	}
	if n == 0 {
		return nil, nil
	}
	return names[:n], nil
}

// unknownKind returns the first name that is not a kind of fault, or "" if all are.
func unknownKind(names []string) string {
	for _, name := range names {
		if !slices.Contains(FaultKinds(), name) {
			return name
		}
	}
	return ""
}

// GenerateSchedule generates the faults of a run from a seed. If only is not empty, the faults
// are of those kinds. The number and order of the random draws must not change, or recorded seeds
// give other schedules.
func GenerateSchedule(seed uint64, length time.Duration, counts targetCounts, only []string) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	meanInterval := meanFaultIntervals[r.IntN(len(meanFaultIntervals))]
	var kinds []string
	for _, k := range faultTable {
		if len(only) > 0 && !slices.Contains(only, k.name) {
			continue
		}
		for range k.weight {
			kinds = append(kinds, k.name)
		}
	}
	var list []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanInterval))
		if at >= length {
			return list
		}
		list = append(list, Fault{
			Kind: kinds[r.IntN(len(kinds))], Start: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Gateway: r.IntN(counts.gateways), Port: r.IntN(counts.ports), SecondPort: r.IntN(counts.ports), Delay: time.Duration(r.Int64N(int64(maxDelay))), Variant: 1 + r.IntN(3),
			EndpointFault: endpointFaults[r.IntN(len(endpointFaults))],
		})
	}
}
