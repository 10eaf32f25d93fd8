package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/relay"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// newLinksNode returns a node in domain-0 that knows ready peers in some failure domains.
func newLinksNode(peers, domains int) *Node {
	n := New(Settings{ID: "self", Domain: "domain-0", Peer: "10.0.0.1:1"}, Deps{Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{})})
	var members []gossip.Member
	for i := range peers {
		members = append(members, gossip.Member{ID: fmt.Sprintf("n%04d", i), Born: 7, Peer: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Domain: fmt.Sprintf("domain-%d", i%domains), Ready: true})
	}
	n.roster.Merge(members, time.Now())
	return n
}

func noneAvoided(string) bool { return false }

// Fails if only peers of a failure domain that has lost its links are asked, or those that cannot
// help.
func TestPeersOfOtherDomainsAreAskedToo(t *testing.T) {
	is := is.New(t)
	n := newLinksNode(40, 4)
	for range 20 {
		picked := n.links.Pick(3, noneAvoided)
		is.Equal(len(picked), 3)
		near := 0
		for i, p := range picked {
			m, _ := n.roster.Get(p.ID)
			if m.Domain == n.settings.Domain {
				near++
				is.Equal(i, 0) // own domain first
			}
		}
		is.Equal(near, 1)
	}
	is.Equal(len(n.links.Pick(3, func(id string) bool { return id != "n0001" })), 1)
	leaving := gossip.Member{ID: "n0001", Born: 7, Beat: 1, Peer: "10.1.0.1:1", Domain: "domain-1", Leaving: true, Ready: true}
	n.roster.Merge([]gossip.Member{leaving}, time.Now())
	is.Equal(len(n.links.Pick(3, func(id string) bool { return id != "n0001" })), 0) // it takes no new work
}

// Fails if a process counts as a peer by its name alone.
func TestPeersAreKnownByNameStartAndAddress(t *testing.T) {
	is := is.New(t)
	n := newLinksNode(4, 2)
	is.True(n.links.IsPeer(relay.Identity{ID: "n0001", Born: 7}, "10.1.0.1"))
	is.True(!n.links.IsPeer(relay.Identity{ID: "n0001", Born: 8}, "10.1.0.1"))
	is.True(!n.links.IsPeer(relay.Identity{ID: "n0001", Born: 7}, "10.1.0.2"))
	is.True(!n.links.IsPeer(relay.Identity{ID: "self", Born: n.incarnation}, "10.0.0.1"))
	is.True(!n.links.IsPeer(relay.Identity{ID: "other", Born: 7}, "10.1.0.1"))
}

// BenchmarkPickPeers is what a relayed connection costs its node at the size to come.
func BenchmarkPickPeers(b *testing.B) {
	n := newLinksNode(1600, 38)
	for b.Loop() {
		n.links.Pick(3, noneAvoided)
	}
}
