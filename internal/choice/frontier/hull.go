package frontier

import "slices"

// hull returns the corners of the upper hull, from the cheapest point to the best: each
// corner costs more and is better than the one before, at a lower gain in quality per
// cost. It reorders the points.
func hull(points []Point) []Point {
	slices.SortFunc(points, byCost)
	corners := points[:0]
	for _, p := range points {
		if n := len(corners); n > 0 && p.Quality <= corners[n-1].Quality {
			continue
		}
		corners = append(dropBelow(corners, p), p)
	}
	return slices.Clone(corners)
}

// dropBelow removes the last corners that lie on or below the line to p.
func dropBelow(corners []Point, p Point) []Point {
	for n := len(corners); n >= 2 && isBelow(corners[n-1], corners[n-2], p); n-- {
		corners = corners[:n-1]
	}
	return corners
}

// isBelow reports whether b lies on or below the line from a to c.
func isBelow(b, a, c Point) bool {
	return (b.Quality-a.Quality)*(c.Cost-a.Cost) <= (c.Quality-a.Quality)*(b.Cost-a.Cost)
}
