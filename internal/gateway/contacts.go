package gateway

import (
	"math/rand/v2"

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

// pick returns a random contact that is alive, usually a near one; ok is false if there is
// none. pick may reorder live.
func (c contacts) pick(live []gossip.Member, near func(gossip.Member) bool) (m gossip.Member, ok bool) {
	c.prune(live)
	rand.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	all := [2][]gossip.Member{
		c.fill(live, nearContacts, near),
		c.fill(live, farContacts, func(m gossip.Member) bool { return !near(m) }),
	}
	from := all[0]
	if len(from) == 0 || len(all[1]) > 0 && rand.IntN(farOdds) == 0 {
		from = all[1]
	}
	if len(from) == 0 {
		return gossip.Member{}, false
	}
	return from[rand.IntN(len(from))], true
}

// prune removes contacts that are no longer alive, and occasionally one that is.
func (c contacts) prune(live []gossip.Member) {
	lives := make(map[string]bool, len(live))
	for _, m := range live {
		lives[m.ID] = true
	}
	renew := rand.IntN(renewOdds) == 0
	for id := range c {
		if renew || !lives[id] {
			delete(c, id)
			renew = renew && !lives[id]
		}
	}
}

// fill returns the live contacts of a kind, after adding random peers up to the limit.
func (c contacts) fill(live []gossip.Member, limit int, kind func(gossip.Member) bool) []gossip.Member {
	var chosen, others []gossip.Member
	for _, m := range live {
		switch {
		case !kind(m):
		case c[m.ID]:
			chosen = append(chosen, m)
		default:
			others = append(others, m)
		}
	}
	for _, m := range others[:min(len(others), max(limit-len(chosen), 0))] {
		c[m.ID] = true
		chosen = append(chosen, m)
	}
	return chosen
}
