package capacity

// Assumption is a number that no measurement gives.
type Assumption struct {
	Name  string
	Value float64
	Unit  string
	// Why says where the number comes from.
	Why string
}
