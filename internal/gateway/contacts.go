package gateway

import (
	"math/rand/v2"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// nearContacts and farContacts are how many peers of its own failure domain and of
	// others a node exchanges its usual news with: a random graph of that degree
	// reaches 1,600 nodes in four rounds.
	nearContacts = 8
	farContacts  = 4
	// renewOdds is how many rounds of news pass, on average, between two changes of a
	// contact, so that no part of the nodes keeps to itself.
	renewOdds = 20
)

// contacts are the peers that a node exchanges its usual news with.
//
// A peer drawn anew each round costs a connection each round, whose first message
// describes its types: 2,906 B in place of 222. With contacts that stay for a while a
// node among 168 hears 2,114 B a second at rest in place of 4,844, among 76 1,965 in
// place of 4,210 (TestSpreadAtSize).
type contacts map[string]bool

// pick returns a contact that lives, most often a near one; ok is false if there is
// none. live may be reordered.
func (c contacts) pick(live []gossip.Member, near func(gossip.Member) bool) (m gossip.Member, ok bool) {
	c.forget(live)
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

// forget drops contacts that no longer live, and now and then another.
func (c contacts) forget(live []gossip.Member) {
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

// fill returns the contacts of a kind, after drawing those that are missing.
func (c contacts) fill(live []gossip.Member, most int, kind func(gossip.Member) bool) []gossip.Member {
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
	for _, m := range others[:min(len(others), max(most-len(chosen), 0))] {
		c[m.ID] = true
		chosen = append(chosen, m)
	}
	return chosen
}
