package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// refreshSenders updates the nodes among which the fleet divides the rates of upstreams.
func (n *Node) refreshSenders() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders.refresh(n.roster, now)
	all := n.senders.settled(now)
	if len(n.peerStates) == 0 && n.expectsPeers() {
		all = nil // this node may be cut off from all others
	}
	n.fleet.SetSenders(n.settings.ID, all)
}

// expectsPeers reports whether the settings name other nodes.
func (n *Node) expectsPeers() bool {
	return slices.ContainsFunc(n.settings.Seeds, func(seed string) bool { return seed != n.settings.Peer })
}

// setWarmUps passes the rates of upstreams that are warming up to the fleet; the caller
// holds mu.
func (n *Node) setWarmUps() {
	for s := range n.config.Load().Services() {
		limit := s.WarmUpRate
		if n.settings.WarmUpOver > 0 {
			limit = s.WarmUpRate*n.settings.WarmUpOver + n.settings.WarmUpSlack
		}
		n.fleet.SetWarmUp(s.Name, fleet.WarmUp{Duration: s.WarmUp, Rate: s.WarmUpRate, MaxPerSecond: limit})
	}
}
