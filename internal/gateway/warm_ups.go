package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// refreshSenders tells the fleet among which nodes the rates of upstreams are shared.
func (n *Node) refreshSenders() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders.add(n.roster.Known(now), now)
	all := n.senders.settled(now)
	if len(n.told) == 0 && n.expectsPeers() {
		all = nil // it may be cut off from all others
	}
	n.fleet.SetSenders(n.settings.ID, all)
}

// expectsPeers tells whether the settings name other nodes.
func (n *Node) expectsPeers() bool {
	return slices.ContainsFunc(n.settings.Seeds, func(seed string) bool { return seed != n.settings.Peer })
}

// setWarmUps tells the fleet what upstreams bear while they warm up; the caller holds mu.
func (n *Node) setWarmUps() {
	for s := range n.config.Load().Services() {
		most := s.WarmUpRate
		if n.settings.WarmUpOver > 0 {
			most = s.WarmUpRate*n.settings.WarmUpOver + n.settings.WarmUpSlack
		}
		n.fleet.SetWarmUp(s.Name, fleet.WarmUp{Time: s.WarmUp, Rate: s.WarmUpRate, Most: most})
	}
}
