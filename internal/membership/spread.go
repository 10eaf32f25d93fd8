package membership

import (
	"cmp"
	"slices"
)

// pickAddresses selects at most size addresses for a caller by weighted rendezvous hashing.
// Callers are distributed over the VMs in proportion to free capacity, and a VM that leaves
// moves only its own callers. The addresses alternate between failure domains.
//
// Leaving VMs are never selected. Suspects are selected only if no VM is live: then this
// node is more likely cut off than all other VMs dead.
func pickAddresses(entries []Member, caller string, size int) []string {
	picked := pickInState(entries, caller, size, Live)
	if len(picked) == 0 {
		picked = pickInState(entries, caller, size, Suspect)
	}
	return picked
}

// candidate is a VM with its score and its rank among the best VMs of its failure domain.
type candidate struct {
	addr  string
	score float64
	rank  int
}

// pickInState selects addresses among the VMs in one state.
func pickInState(entries []Member, caller string, size int, state State) []string {
	best := map[string][]candidate{} // by failure domain, the best first
	key := hash(caller)
	for i := range entries {
		if m := &entries[i]; m.State == state {
			best[m.FailureDomain] = insertByScore(best[m.FailureDomain], candidate{addr: m.Addr, score: weightedScore(key, m)}, size)
		}
	}
	var ordered []candidate
	for _, domain := range best {
		for rank := range domain {
			domain[rank].rank = rank
		}
		ordered = append(ordered, domain...)
	}
	slices.SortFunc(ordered, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score), cmp.Compare(a.addr, b.addr))
	})
	picked := []string{}
	for _, s := range ordered[:min(len(ordered), size)] {
		picked = append(picked, s.addr)
	}
	return picked
}

// insertByScore inserts a candidate in order of descending score and keeps the best size.
func insertByScore(candidates []candidate, c candidate, size int) []candidate {
	place := len(candidates)
	for place > 0 && candidates[place-1].score < c.score {
		place--
	}
	if place == size {
		return candidates
	}
	candidates = slices.Insert(candidates, place, c)
	return candidates[:min(len(candidates), size)]
}
