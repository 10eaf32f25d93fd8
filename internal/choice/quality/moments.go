package quality

// Moments holds the weighted count, sum and sum of squares of samples.
type Moments struct {
	Weight  float64
	Sum     float64
	Squares float64
}

func (m *Moments) add(x float64) {
	m.Weight++
	m.Sum += x
	m.Squares += x * x
}

func (m *Moments) plus(o Moments) {
	m.Weight += o.Weight
	m.Sum += o.Sum
	m.Squares += o.Squares
}

func (m *Moments) scale(f float64) {
	m.Weight *= f
	m.Sum *= f
	m.Squares *= f
}

// Mean returns the weighted mean, or 0 without samples.
func (m Moments) Mean() float64 {
	if m.Weight == 0 {
		return 0
	}
	return m.Sum / m.Weight
}

// Variance returns the weighted population variance, or 0 without samples.
func (m Moments) Variance() float64 {
	if m.Weight == 0 {
		return 0
	}
	mean := m.Mean()
	return max(m.Squares/m.Weight-mean*mean, 0)
}
