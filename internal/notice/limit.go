package notice

// Limit is the rate that an upstream accepts from all nodes together, as advertised in a
// response.
type Limit struct {
	// Named is false if the response advertises no limit.
	Named bool
	// PerSecond is the limit in requests per second; 0 if the upstream accepts no requests.
	PerSecond float64
	// MaxRejections is the number of requests that the upstream may reject within a second for
	// want of room, from all nodes together, before it fails; 0 if it states no such bound.
	MaxRejections int
}

// inForce reports whether the limit bounds anything.
func (l *Limit) inForce() bool { return l.Named || l.MaxRejections > 0 }
