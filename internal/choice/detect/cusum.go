package detect

// Cusum is a CUSUM statistic: the sum, in nats, of the evidence against a version since
// the sum was last at its minimum. It never falls below 0.
type Cusum struct {
	value float64
}

// Add adds evidence, in nats, and returns the statistic. The sum of several ratings may
// be added at once: the statistic is then never higher than if they had been added one by
// one, so batching causes no false alarm.
func (c *Cusum) Add(nats float64) float64 {
	c.value = max(c.value+nats, 0)
	return c.value
}

// Value returns the statistic in nats.
func (c *Cusum) Value() float64 { return c.value }

// Reset sets the statistic to 0.
func (c *Cusum) Reset() { c.value = 0 }
