package detect

// Cusum sums evidence against a version from its last low on, in nats.
type Cusum struct {
	value float64
}

// Add takes in evidence and returns the statistic. A sum over several ratings
// may come as one number: the statistic is then never higher than if they had
// come one by one, so that no alarm is false because of it.
func (c *Cusum) Add(nats float64) float64 {
	c.value = max(c.value+nats, 0)
	return c.value
}

// Value is the statistic, in nats.
func (c *Cusum) Value() float64 { return c.value }

// Reset forgets all evidence.
func (c *Cusum) Reset() { c.value = 0 }
