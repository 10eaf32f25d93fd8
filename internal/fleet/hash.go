package fleet

import "github.com/cespare/xxhash/v2"

// Hash is the same on nodes whose tables listed the same.
func (f *Fleet) Hash() uint64 { return f.sum }

// rehash takes an upstream's change into the hash and the history of the list.
func (f *Fleet) rehash(u *Upstream, listed bool) {
	hash := uint64(0)
	if listed {
		hash = u.listHash()
	}
	if hash == u.hash {
		return
	}
	f.history.add(f.sum, u.ID, len(f.byID))
	f.sum ^= u.hash ^ hash
	u.hash = hash
}

func (u *Upstream) listHash() uint64 {
	drain := "+"
	if u.Draining {
		drain = "-"
	}
	cold := ""
	if u.Cold > 0 {
		cold = " cold"
	}
	return xxhash.Sum64String(u.Start() + " " + u.Addr + " " + u.Service + " " + u.Version + " " + drain + cold)
}
