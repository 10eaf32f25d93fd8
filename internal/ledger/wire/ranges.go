package wire

import "slices"

// Ranges are numbers as pairs: each pair is the gap from the end of the one
// before, and how many follow one another. The rows that a holder has of one
// writer are mostly consecutive, so that naming all of them takes few bytes
// also after hours of an outage.
type Ranges []uint64

// maxUnpacked bounds what a message may name.
const maxUnpacked = 1 << 20

// Pack returns the ranges of numbers.
func Pack(numbers []uint64) Ranges {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	var r Ranges
	next := uint64(0)
	for i := 0; i < len(sorted); {
		n := 1
		for i+n < len(sorted) && sorted[i+n] == sorted[i]+uint64(n) {
			n++
		}
		r = append(r, sorted[i]-next, uint64(n))
		next = sorted[i] + uint64(n)
		i += n
	}
	return r
}

// Unpack returns the numbers in order, at most a million.
func (r Ranges) Unpack() []uint64 {
	var numbers []uint64
	next := uint64(0)
	for i := 0; i+1 < len(r); i += 2 {
		next += r[i]
		for range r[i+1] {
			if len(numbers) == maxUnpacked {
				return numbers
			}
			numbers = append(numbers, next)
			next++
		}
	}
	return numbers
}
