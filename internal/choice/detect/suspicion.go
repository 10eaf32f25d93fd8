package detect

// Suspicion holds the statistics of all tests of one version.
type Suspicion struct {
	ratings [Alternatives]Cusum
	errors  Cusum
}

// Add adds evidence to every test.
func (s *Suspicion) Add(e Evidence) {
	for i := range s.ratings {
		s.ratings[i].Add(e.Ratings[i])
	}
	s.errors.Add(e.Errors)
}

// Ratings returns the highest statistic of the rating tests, in nats.
func (s *Suspicion) Ratings() float64 {
	var highest float64
	for i := range s.ratings {
		highest = max(highest, s.ratings[i].Value())
	}
	return highest
}

// Errors returns the statistic of the error test, in nats.
func (s *Suspicion) Errors() float64 { return s.errors.Value() }

// Reset sets all statistics to 0.
func (s *Suspicion) Reset() { *s = Suspicion{} }
