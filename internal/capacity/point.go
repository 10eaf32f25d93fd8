package capacity

// Point is one measurement.
type Point struct {
	// Size is what was varied, in the unit that Slope.Per names.
	Size float64 `json:"size"`
	// Value is what was measured, in Slope.Unit.
	Value float64 `json:"value"`
}
