package detect

// Evidence is evidence against a version, in nats. A process accumulates it from its
// start, so the difference of two sums is the evidence between them.
type Evidence struct {
	Ratings [Alternatives]float64
	// Ratings is indexed by the kind of degradation.
	Errors float64
}

// Plus returns the sum of e and later evidence.
func (e Evidence) Plus(later Evidence) Evidence {
	for i := range e.Ratings {
		e.Ratings[i] += later.Ratings[i]
	}
	e.Errors += later.Errors
	return e
}

// Minus returns the evidence that was added after an earlier sum.
func (e Evidence) Minus(earlier Evidence) Evidence {
	for i := range e.Ratings {
		e.Ratings[i] -= earlier.Ratings[i]
	}
	e.Errors -= earlier.Errors
	return e
}
