package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

const (
	// sendersSettle is how long a node has known all members before it takes part in
	// sending to upstreams that warm up.
	sendersSettle = 2 * time.Second
	// sendersKept is how long a node that is not known to live keeps its part: it may be
	// cut off and send all the same.
	sendersKept = time.Hour
)

// senderSet remembers which nodes may send to upstreams.
type senderSet struct {
	// seen is when each node was last known as a member.
	seen map[string]time.Time
	// grown is when a node was last added.
	grown time.Time
}

// add notes the members that are known.
func (s *senderSet) add(ids []string, now time.Time) {
	for _, id := range ids {
		if _, known := s.seen[id]; !known {
			s.grown = now
		}
		s.seen[id] = now
	}
}

// settled returns all nodes that may send; none while there may be others that are not
// known yet.
func (s *senderSet) settled(now time.Time) []string {
	var all []string
	for id, at := range s.seen {
		if now.Sub(at) > sendersKept {
			delete(s.seen, id)
			continue
		}
		all = append(all, id)
	}
	if now.Sub(s.grown) < sendersSettle {
		return nil
	}
	slices.Sort(all)
	return all
}

// refreshSenders tells the fleet among which nodes the rates of upstreams that warm up
// are shared.
func (n *Node) refreshSenders() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	for _, m := range n.roster.Known(now) {
		ids = append(ids, m.ID)
	}
	n.senders.add(ids, now)
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
