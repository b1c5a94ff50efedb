package direct

import (
	"time"

	"aspenyard.example/directory"
)

// ServiceCapacity returns how many seconds of RequestCost the endpoints of a service work off in a
// second: for engines their number, for plain services their slots.
func ServiceCapacity(service *directory.Service, endpoints []*directory.EndpointState) float64 {
	capacity := 0.0
	for _, e := range endpoints {
		switch {
		case !e.MissingSince.IsZero():
		case service.Engine != nil:
			capacity++
		default:
			capacity += float64(e.Slots)
		}
	}
	return capacity
}

// RequestCost returns the time that a request takes of an engine: its prefill, and its share of the
// passes of a full engine. It is 0 for plain services, whose requests are not described.
func RequestCost(service *directory.Service, promptTokens, outputTokens int) time.Duration {
	engine := service.Engine
	if engine == nil {
		return 0
	}
	cost := PrefillTime(engine, promptTokens)
	if engine.Stride > 0 && engine.Slots > 0 {
		passes := (outputTokens + engine.Stride - 1) / engine.Stride
		cost += time.Duration(passes) * PassTime(engine) / time.Duration(engine.Slots)
	}
	return cost
}
