package capacity

// Point is one measurement.
type Point struct {
	// Size is the varied quantity, in the unit that Slope.Per names.
	Size float64 `json:"size"`
	// Value is the measured cost, in Slope.Unit.
	Value float64 `json:"value"`
}
