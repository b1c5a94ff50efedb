package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/standin/platform"
)

// Fault is one thing that is made to go wrong.
type Fault struct {
	Kind string
	// Start is when, from the start of the schedule, and Duration how long.
	Start, Duration time.Duration
	// Gateway and Port index what it concerns; SecondPort is another post.
	Gateway, Port, SecondPort int
	// Delay is how much a slowed part adds; Way the direction of a cut, 1 to 3.
	Delay   time.Duration
	Variant int
	// EndpointFault is what endpoints do wrong.
	EndpointFault platform.Fault
}

// targetCounts are how many gateways and posts there are.
type targetCounts struct{ gateways, ports int }

// maxDelay is how much a slowed link or store adds at most: under the gateways' timeout
// of a call to the store, so that some calls still succeed.
const maxDelay = 500 * time.Millisecond

// Times between the beginnings of two faults. A run has one of them throughout: with
// rare faults each meets a system at rest, with frequent ones they overlap.
var meanFaultIntervals = []time.Duration{250 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// endpointFaults are what endpoints may do wrong with requests and orders.
var endpointFaults = []platform.Fault{
	platform.FaultShed, platform.FaultUnmarkedRefusal, platform.FaultError, platform.FaultReset, platform.FaultTruncated, platform.FaultTruncatedUnframed, platform.FaultDuplicateResponse,
	platform.FaultUnframed, platform.FaultNoServerStamp, platform.FaultGarbage, platform.FaultHang, platform.FaultEarlyResponse, platform.FaultSlow, platform.FaultHelperFailed, platform.FaultLateOrder,
}

// FaultKinds lists the kinds of faults.
func FaultKinds() []string {
	var names []string
	for _, k := range faultTable {
		names = append(names, k.name)
	}
	return names
}

// FirstFaultKinds lists the first n kinds of faults, which are those that there were when a
// seed was kept; all for 0. Error: there are fewer.
func FirstFaultKinds(n int) ([]string, error) {
	names := FaultKinds()
	if n < 0 || n > len(names) {
		return nil, errors.Errorf("%d kinds of faults asked for, there are %d", n, len(names))
	}
	if n == 0 {
		return nil, nil
	}
	return names[:n], nil
}

// unknownKind gives the first of some names that is no kind of fault; empty for none.
func unknownKind(names []string) string {
	for _, name := range names {
		if !slices.Contains(FaultKinds(), name) {
			return name
		}
	}
	return ""
}

// GenerateSchedule draws the faults of a run, of some kinds only unless there are none.
func GenerateSchedule(seed uint64, length time.Duration, s targetCounts, only []string) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	pace := meanFaultIntervals[r.IntN(len(meanFaultIntervals))]
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
		at += time.Duration(r.ExpFloat64() * float64(pace))
		if at >= length {
			return list
		}
		list = append(list, Fault{
			Kind: kinds[r.IntN(len(kinds))], Start: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Gateway: r.IntN(s.gateways), Port: r.IntN(s.ports), SecondPort: r.IntN(s.ports), Delay: time.Duration(r.Int64N(int64(maxDelay))), Variant: 1 + r.IntN(3),
			EndpointFault: endpointFaults[r.IntN(len(endpointFaults))],
		})
	}
}
