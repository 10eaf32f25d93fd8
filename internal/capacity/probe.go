package capacity

import "github.com/rotisserie/eris"

// Probe measures one slope.
type Probe struct {
	// Slope describes the measurement; its Points are empty.
	Slope Slope
	// Sizes are measured in a full run, QuickSizes in a quick run.
	Sizes      []int
	QuickSizes []int
	// Measure returns the value at a size.
	Measure func(m Meter, size int) (float64, error)
}

// Run measures all sizes and returns the slope with its points.
func (p Probe) Run(m Meter, quick bool) (Slope, error) {
	s := p.Slope
	sizes := p.Sizes
	if quick && len(p.QuickSizes) > 0 {
		sizes = p.QuickSizes
	}
	for _, size := range sizes {
		v, err := p.Measure(m, size)
		if err != nil {
			return Slope{}, eris.Wrapf(err, "%s at %d", s.Name, size)
		}
		s.Points = append(s.Points, Point{Size: float64(size), Value: roundToDigits(v)})
	}
	return s, nil
}
