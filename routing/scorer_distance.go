package routing

// Distance adds the round trip to another data centre.
type Distance struct {
	// Seconds is the round trip between data centres.
	Seconds float64
}

// Cost implements Scorer.
func (s Distance) Cost(r *Request, e *Endpoint) float64 {
	if e.DataCentre == r.DataCentre {
		return 0
	}
	return s.Seconds
}
