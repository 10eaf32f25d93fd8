package detect

// Detector holds the statistics of all tests of one version.
type Detector struct {
	ratings [Alternatives]Cusum
	errors  Cusum
}

// Add adds evidence to every test.
func (d *Detector) Add(e Evidence) {
	for i := range d.ratings {
		d.ratings[i].Add(e.Ratings[i])
	}
	d.errors.Add(e.Errors)
}

// Ratings returns the highest statistic of the rating tests, in nats.
func (d *Detector) Ratings() float64 {
	var highest float64
	for i := range d.ratings {
		highest = max(highest, d.ratings[i].Value())
	}
	return highest
}

// Errors returns the statistic of the error test, in nats.
func (d *Detector) Errors() float64 { return d.errors.Value() }

// Reset sets all statistics to 0.
func (d *Detector) Reset() { *d = Detector{} }
