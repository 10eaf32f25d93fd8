package rank

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// First returns the n members that should take the duty, the first one first.
// A member that joins or leaves moves only the duties that it takes or had.
func First(duty string, members []platform.VM, n int) []platform.VM {
	best := make([]candidate, 0, n+1)
	of := xxhash.Sum64String(duty)
	for i := range members {
		c := candidate{weight: mix(of, xxhash.Sum64String(members[i].ID)), index: i}
		best = insert(best, c, n)
	}
	first := make([]platform.VM, 0, len(best))
	for _, c := range best {
		first = append(first, members[c.index])
	}
	return first
}

type candidate struct {
	weight uint64
	index  int
}

// insert keeps the n heaviest, in order. n is small: a duty has few holders.
func insert(best []candidate, c candidate, n int) []candidate {
	i := len(best)
	for i > 0 && best[i-1].weight < c.weight {
		i--
	}
	if i == n {
		return best
	}
	best = append(best, candidate{})
	copy(best[i+1:], best[i:])
	best[i] = c
	return best[:min(len(best), n)]
}

// mix is the finaliser of SplitMix64, which lets every bit of both hashes
// reach every bit of the weight.
func mix(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
