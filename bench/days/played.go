package days

// DayReport is one played day as its users reported it.
type DayReport struct {
	Worth   float64
	Classes []Class
	// Prices holds what was taken off, by what for, as a part of what was owed.
	Prices map[string]float64
}

// Class is what became of the requests of one kind.
type Class struct {
	Name                                 string
	Asked, OnTime, Late, Refused, Failed int
	// Earned is the part of what was owed.
	Earned float64
}
