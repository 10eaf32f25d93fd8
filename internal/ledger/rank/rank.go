package rank

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// First returns the n members with the highest weights for the duty, highest first,
// or all members if there are fewer. A member that joins or leaves only moves the
// duties that it takes over or had.
func First(duty string, members []platform.VM, n int) []platform.VM {
	best := make([]candidate, 0, n+1)
	dutyHash := xxhash.Sum64String(duty)
	for i := range members {
		c := candidate{weight: mix(dutyHash, xxhash.Sum64String(members[i].ID)), index: i}
		best = insert(best, c, n)
	}
	chosen := make([]platform.VM, 0, len(best))
	for _, c := range best {
		chosen = append(chosen, members[c.index])
	}
	return chosen
}

// candidate is a member, by its index, with its weight for the duty.
type candidate struct {
	weight uint64
	index  int
}

// insert adds a candidate to the n with the highest weights, in descending order.
// Linear insertion is enough because a duty has few holders.
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

// mix combines two hashes with the finaliser of SplitMix64, so that every bit of both
// affects every bit of the weight.
func mix(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
