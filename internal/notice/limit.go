package notice

// Limit is the rate that an upstream takes from all nodes together, as an answer says.
type Limit struct {
	// Named is false where the answer names no limit.
	Named bool
	// PerSecond is how many requests a second; 0 for none.
	PerSecond float64
}
