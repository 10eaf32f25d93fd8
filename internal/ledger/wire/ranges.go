package wire

import "slices"

// Ranges is a run-length encoding of a set of numbers. Each pair is the distance from
// the end of the previous run, and the length of the run. The rows that a holder has
// of one writer are mostly consecutive, so their list stays short even after an outage
// of hours.
type Ranges []uint64

// maxUnpacked bounds the memory that a malformed message can use, in numbers.
const maxUnpacked = 1 << 20

// Pack encodes numbers, in any order and with duplicates.
func Pack(numbers []uint64) Ranges {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	var r Ranges
	next := uint64(0)
	for i := 0; i < len(sorted); {
		length := 1
		for i+length < len(sorted) && sorted[i+length] == sorted[i]+uint64(length) {
			length++
		}
		r = append(r, sorted[i]-next, uint64(length))
		next = sorted[i] + uint64(length)
		i += length
	}
	return r
}

// Unpack returns the numbers in ascending order, at most maxUnpacked of them.
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
