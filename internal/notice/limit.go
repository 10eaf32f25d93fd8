package notice

// Limit is the rate that an upstream accepts from all nodes together, as advertised in a
// response.
type Limit struct {
	// Named is false if the response advertises no limit.
	Named bool
	// PerSecond is the limit in requests per second; 0 if the upstream accepts no requests.
	PerSecond float64
}
