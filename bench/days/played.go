package days

// DayReport is the users' own report of one day.
type DayReport struct {
	// Worth is the earned share of the day's worth, less the prices.
	Worth   float64
	Classes []Class
	// Prices holds the deductions by their reason, as shares of the day's worth.
	Prices map[string]float64
}

// Class counts the outcomes of the requests of one kind.
type Class struct {
	Name                                    string
	Requests, OnTime, Late, Refused, Failed int
	// Earned is the earned share of the kind's worth.
	Earned float64
}
