package gateway

import (
	"maps"
	"slices"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// nearContacts and farContacts are how many peers of its own failure domain and of
	// other domains a node gossips with. A random graph of that degree reaches 1,600 nodes
	// in four rounds.
	nearContacts = 8
	farContacts  = 4
	// renewOdds is the mean number of gossip rounds between two replacements of a contact.
	// Replacements keep the nodes from splitting into isolated parts.
	renewOdds = 20
)

// contacts is the set of peers, by ID, that a node gossips with regularly.
//
// A peer chosen anew in each round costs a connection in each round, whose first message
// describes its types: 2,906 B instead of 222. With lasting contacts, a node at rest
// receives 2,114 B/s instead of 4,844 among 168 nodes, and 1,965 B/s instead of 4,210 among
// 76 (TestSpreadAtSize).
type contacts map[string]bool

// liveMembers is the part of a roster that contacts are chosen from.
type liveMembers interface {
	Self() gossip.Member
	// Alive returns all live members, the node included.
	Alive() []gossip.Member
	// Get returns the live member with an ID.
	Get(id string) (gossip.Member, bool)
}

// pick returns a random contact that is alive, usually a near one; ok is false if there is
// none.
func (c contacts) pick(random *draws, live liveMembers, near func(gossip.Member) bool) (m gossip.Member, ok bool) {
	c.prune(random, live)
	var chosen [2][]gossip.Member // near and far contacts
	for _, id := range slices.Sorted(maps.Keys(c)) {
		m, _ := live.Get(id)
		chosen[kindOf(near(m))] = append(chosen[kindOf(near(m))], m)
	}
	for kind, limit := range [2]int{nearContacts, farContacts} {
		chosen[kind] = c.fill(random, chosen[kind], live, limit, func(m gossip.Member) bool { return kindOf(near(m)) == kind })
	}
	from := chosen[0]
	if len(from) == 0 || len(chosen[1]) > 0 && random.IntN(farOdds) == 0 {
		from = chosen[1]
	}
	if len(from) == 0 {
		return gossip.Member{}, false
	}
	return from[random.IntN(len(from))], true
}

// kindOf returns the index of near or far contacts.
func kindOf(near bool) int {
	if near {
		return 0
	}
	return 1
}

// prune removes contacts that are no longer alive, and occasionally one that is.
func (c contacts) prune(random *draws, live liveMembers) {
	renew := random.IntN(renewOdds) == 0
	ids := slices.Sorted(maps.Keys(c))
	random.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	for _, id := range ids {
		_, lives := live.Get(id)
		if renew || !lives {
			delete(c, id)
			renew = renew && !lives
		}
	}
}

// fill returns the chosen contacts of a kind, after adding random members of that kind up to
// the limit. It examines all members only if there are contacts to add.
func (c contacts) fill(random *draws, chosen []gossip.Member, live liveMembers, limit int, kind func(gossip.Member) bool) []gossip.Member {
	self, all := live.Self().ID, live.Alive()
	if len(chosen) >= limit || len(all) <= 1 {
		return chosen
	}
	start := random.IntN(len(all))
	for i, step := 0, coprimeStep(random, len(all)); i < len(all) && len(chosen) < limit; i++ {
		if m := all[(start+i*step)%len(all)]; m.ID != self && !c[m.ID] && kind(m) {
			c[m.ID] = true
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// coprimeStep returns a random step by which all indexes of a list are visited in turn.
func coprimeStep(random *draws, length int) int {
	for {
		step := 1 + random.IntN(length)
		if gcd(step, length) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
