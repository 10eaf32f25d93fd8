package detect

// Suspicion is the state of all tests of one version.
type Suspicion struct {
	ratings [Alternatives]Cusum
	errors  Cusum
}

// Add takes in evidence.
func (s *Suspicion) Add(e Evidence) {
	for i := range s.ratings {
		s.ratings[i].Add(e.Ratings[i])
	}
	s.errors.Add(e.Errors)
}

// Ratings is the highest statistic of the ratings, in nats.
func (s *Suspicion) Ratings() float64 {
	var highest float64
	for i := range s.ratings {
		highest = max(highest, s.ratings[i].Value())
	}
	return highest
}

// Errors is the statistic of the errors, in nats.
func (s *Suspicion) Errors() float64 { return s.errors.Value() }

// Reset forgets all evidence.
func (s *Suspicion) Reset() { *s = Suspicion{} }
