package capacity

// Assumption is an input of the model that is not measured.
type Assumption struct {
	Name  string
	Value float64
	Unit  string
	// Why gives the source of the number.
	Why string
}
