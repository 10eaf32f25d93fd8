package capacity

import "math"

// Line is a straight line fitted to measured points.
type Line struct {
	Intercept float64
	Slope     float64
	// Residual is the root mean square of the relative errors.
	Residual float64
}

// At returns the line's value at a size, at least 0.
func (l Line) At(size float64) float64 { return max(0, l.Intercept+l.Slope*size) }

// minWeightShare limits the weight of small values: a value counts as at least this share of
// the largest.
const minWeightShare = 1e-3

// Fit returns the line with the least squared relative errors. With absolute errors the largest
// size would dominate, since sizes span powers of ten.
func Fit(points []Point) Line {
	var largest float64
	for _, p := range points {
		largest = max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return Line{}
	}
	var n, x, y, xx, xy float64
	for _, p := range points {
		w := weight(p, largest)
		n += w
		x += w * p.Size
		y += w * p.Value
		xx += w * p.Size * p.Size
		xy += w * p.Size * p.Value
	}
	l := Line{Intercept: y / n}
	if d := n*xx - x*x; d > 1e-12*n*xx {
		l.Slope = (n*xy - x*y) / d
		l.Intercept = (y - l.Slope*x) / n
	}
	l.Residual = residual(points, l, largest)
	return l
}

func weight(p Point, largest float64) float64 {
	v := max(math.Abs(p.Value), minWeightShare*largest)
	return 1 / (v * v)
}

func residual(points []Point, l Line, largest float64) float64 {
	var sum float64
	for _, p := range points {
		d := p.Value - l.Intercept - l.Slope*p.Size
		sum += d * d * weight(p, largest)
	}
	return math.Sqrt(sum / float64(len(points)))
}
