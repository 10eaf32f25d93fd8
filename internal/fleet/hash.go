package fleet

import "github.com/cespare/xxhash/v2"

// Hash is the same on nodes whose tables listed the same.
func (f *Fleet) Hash() uint64 {
	var sum uint64
	for _, u := range f.byID {
		if u.kept {
			continue
		}
		drain := "+"
		if u.Draining {
			drain = "-"
		}
		sum ^= xxhash.Sum64String(u.Start() + " " + u.Addr + " " + u.Service + " " + u.Version + " " + drain)
	}
	return sum
}
