package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// A hundred nodes know each other. Each told every peer that it met for the first time
// of all hundred, which took half of what it heard at rest. It tells of itself; who
// knows others says so by a hash, and hears of all then.
func TestFirstContactTellsOfOneselfAlone(t *testing.T) {
	is := is.New(t)
	n, peer := newGroupNode(false), newGroupNode(true)
	var all []gossip.Member
	for i := range 100 {
		all = append(all, gossip.Member{ID: fmt.Sprintf("m%d", i), Born: 1, Peer: "x:1", Beat: 1})
	}
	n.roster.Merge(all, time.Now())
	first := n.message(gossip.Member{ID: "n0"})
	is.Equal(len(first.Members), 1)
	is.Equal(first.Members[0].ID, "n9")
	n.told["n1"] = told{} // it has heard of others
	first = n.message(gossip.Member{ID: "n0"})
	is.Equal(len(first.Digest), 0)
	answer := peer.Exchange(first)
	is.Equal(len(answer.Members), 0) // only that it knows others
	is.True(n.take(answer))
	second := n.differing(answer.Digest)
	is.True(len(second.Members) >= len(all)) // the hundred, and whoever is in a part with one of them
	second.From, second.RosterHash = "n9", n.roster.Hash()
	n.take(peer.Exchange(second))
	is.Equal(peer.roster.Hash(), n.roster.Hash())
	third := peer.Exchange(n.message(gossip.Member{ID: "n0"}))
	is.Equal(len(third.Members)+len(third.Digest), 0)
}
