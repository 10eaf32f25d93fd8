package membership

import (
	"cmp"
	"slices"
)

// spread picks at most size addresses for a caller by weighted rendezvous
// hashing: callers fall evenly on the VMs, in proportion to the room they
// have, and a VM that goes moves only its own callers. The failure domains
// take turns.
//
// A VM that leaves is never named; suspects are only where nobody else is
// left, since then this node is cut off more likely than all of them gone.
func spread(entries []Member, caller string, size int) []string {
	picked := pickSpread(entries, caller, size, Live)
	if len(picked) == 0 {
		picked = pickSpread(entries, caller, size, Suspect)
	}
	return picked
}

// scored is a VM with its score and its turn: its place among the best of its
// failure domain.
type scored struct {
	addr  string
	score float64
	turn  int
}

func pickSpread(entries []Member, caller string, size int, state State) []string {
	best := map[string][]scored{} // by failure domain, the best first
	key := hash(caller)
	for i := range entries {
		if m := &entries[i]; m.State == state {
			best[m.FailureDomain] = insert(best[m.FailureDomain], scored{addr: m.Addr, score: weightedScore(key, m)}, size)
		}
	}
	var list []scored
	for _, domain := range best {
		for turn := range domain {
			domain[turn].turn = turn
		}
		list = append(list, domain...)
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(b.score, a.score), cmp.Compare(a.addr, b.addr))
	})
	picked := []string{}
	for _, s := range list[:min(len(list), size)] {
		picked = append(picked, s.addr)
	}
	return picked
}

// insert keeps the best few in order.
func insert(list []scored, s scored, size int) []scored {
	place := len(list)
	for place > 0 && list[place-1].score < s.score {
		place--
	}
	if place == size {
		return list
	}
	list = slices.Insert(list, place, s)
	return list[:min(len(list), size)]
}
