package detect

// Evidence is all evidence against a version that one run of a node has seen
// since its start, in nats. It only adds up, so that whoever has seen an
// earlier value knows from a later one what came in between.
type Evidence struct {
	Ratings float64
	Errors  float64
}

// Minus returns what came after an earlier value.
func (e Evidence) Minus(earlier Evidence) Evidence {
	return Evidence{Ratings: e.Ratings - earlier.Ratings, Errors: e.Errors - earlier.Errors}
}
