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
	answer := peer.Exchange(first)
	is.True(len(answer.Members) > 0) // it knows others
	is.True(n.take(answer))
	is.Equal(len(n.lacking(answer.RosterHash)), 103) // itself, the peer, n1 and the hundred
	peer.take(gossip.Message{From: "n9", Members: n.lacking(answer.RosterHash)})
	is.Equal(peer.roster.Hash(), n.roster.Hash())
	is.Equal(n.lacking(peer.roster.Hash()), nil)
}
