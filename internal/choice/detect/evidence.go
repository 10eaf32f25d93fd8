package detect

// Evidence is evidence against a version, in nats. What one run of a node has
// seen since its start adds up, so that whoever has seen an earlier sum knows
// from a later one what came in between.
type Evidence struct {
	Ratings [Alternatives]float64
	Errors  float64
}

// Plus adds later evidence.
func (e Evidence) Plus(later Evidence) Evidence {
	for i := range e.Ratings {
		e.Ratings[i] += later.Ratings[i]
	}
	e.Errors += later.Errors
	return e
}

// Minus returns what came after an earlier sum.
func (e Evidence) Minus(earlier Evidence) Evidence {
	for i := range e.Ratings {
		e.Ratings[i] -= earlier.Ratings[i]
	}
	e.Errors -= earlier.Errors
	return e
}
