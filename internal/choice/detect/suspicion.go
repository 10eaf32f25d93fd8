package detect

// Suspicion is the state of both tests of one version.
type Suspicion struct {
	ratings Cusum
	errors  Cusum
}

// Add takes in evidence.
func (s *Suspicion) Add(e Evidence) {
	s.ratings.Add(e.Ratings)
	s.errors.Add(e.Errors)
}

// Ratings is the statistic of the ratings, in nats.
func (s *Suspicion) Ratings() float64 { return s.ratings.Value() }

// Errors is the statistic of the errors, in nats.
func (s *Suspicion) Errors() float64 { return s.errors.Value() }

// Reset forgets all evidence.
func (s *Suspicion) Reset() { *s = Suspicion{} }
