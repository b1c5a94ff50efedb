package routing

import (
	"time"

	"github.com/pkg/errors"
)

// Names of the policies: the project's own, and the baselines that it is compared with.
const (
	PolicyAspenyard        = "aspenyard"
	PolicyRandom           = "random"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyTwoChoices       = "two-choices"
)

// PolicyNames returns the names of all policies, the project's own last.
func PolicyNames() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices, PolicyAspenyard}
}

const (
	// dispatchRetention exceeds the lag of load reports.
	dispatchRetention = 10 * time.Second
	// maxPrefixes limits the prefix index, at 64 bytes a prefix.
	maxPrefixes = 16_384
	// pickSlack is the amount, in seconds, by which a pick may cost more than the best.
	pickSlack = 0.002
	// interferenceWeight is a compromise: with less, long prompts start later; with more,
	// short ones are slowed down.
	interferenceWeight = 3
	// dataCentreRoundTrip is the round trip between data centres, in seconds.
	dataCentreRoundTrip = 0.002
)

// Outstanding counts this entry's own requests in flight by endpoint.
type Outstanding interface {
	// Count returns the number of requests in flight at an endpoint.
	Count(endpoint string) int
}

// New returns the policy of the given name, or an error for an unknown name. outstanding is
// used by least-outstanding only.
func New(name string, random Rand, outstanding Outstanding) (*Policy, error) {
	filters := []Filter{CanServe{}, FitsMemory{}}
	switch name {
	case PolicyRandom:
		return &Policy{Name: name, Filters: filters, Picker: Random{random}}, nil
	case PolicyRoundRobin:
		return &Policy{Name: name, Filters: filters, Picker: &RoundRobin{}}, nil
	case PolicyLeastOutstanding:
		return &Policy{Name: name, Filters: filters, Scorers: []Scorer{InFlight{outstanding}}, Picker: LowestCost{Rand: random}}, nil
	case PolicyTwoChoices:
		return &Policy{Name: name, Filters: filters, Scorers: []Scorer{ReportedLoad{}}, Picker: TwoChoices{random}}, nil
	case PolicyAspenyard:
		return aspenyard(random), nil
	}
	return nil, errors.Errorf("no policy %q; the policies are %v", name, PolicyNames())
}

func aspenyard(random Rand) *Policy {
	dispatches := NewRecentDispatches(dispatchRetention)
	prefixes := NewPrefixIndex(maxPrefixes)
	return &Policy{
		Name:       PolicyAspenyard,
		Filters:    []Filter{CanServe{}, FitsMemory{}},
		Sample:     Sample{Count: sampleCount, MaxTokens: sampleMaxTokens, Rand: random},
		Scorers:    []Scorer{QueueDelay{dispatches}, CapacityWait{dispatches}, Interference{dispatches, interferenceWeight}, PrefixAffinity{prefixes}, Distance{dataCentreRoundTrip}},
		Picker:     LowestCost{Slack: pickSlack, Rand: random},
		Priorities: true,
		Admission:  true,
		OnPick: func(now time.Time, r *Request, e *Endpoint) {
			dispatches.Record(now, r, e.Name)
			prefixes.Record(r, e.Name)
		},
	}
}

// InFlight scores an endpoint by the number of this entry's own requests in flight there.
type InFlight struct {
	Outstanding Outstanding
}

// Cost implements Scorer; its unit is requests.
func (s InFlight) Cost(_ *Request, e *Endpoint) float64 {
	return float64(s.Outstanding.Count(e.Name))
}

// ReportedLoad scores an endpoint by its last load report.
type ReportedLoad struct{}

// Cost implements Scorer; its unit is requests.
func (ReportedLoad) Cost(_ *Request, e *Endpoint) float64 {
	return float64(e.Running + e.Queued)
}
