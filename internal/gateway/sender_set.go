package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// senderSettleTime is how long the set of members must be unchanged before a node takes
	// its share of the rates of upstreams with a rate bound.
	senderSettleTime = 2 * time.Second
	// senderRetention is how long a node that is not known to be alive keeps its share: it
	// may be cut off and still send.
	senderRetention = time.Hour
	// stoppedRetention is how long a node keeps its share after it has announced its stop:
	// its VM may start it again at once.
	stoppedRetention = 30 * time.Second
)

// senderSet records which nodes may send to upstreams.
type senderSet struct {
	// lastSeen is when each node was last known as a member, by node ID.
	lastSeen map[string]time.Time
	// lastAdded is when a node was last added.
	lastAdded time.Time
	// sorted holds the node IDs in order; nil after a change.
	sorted []string
	// generation is the roster's generation at the last call of add, addedAt its time.
	generation uint64
	addedAt    time.Time
}

// refreshInterval is how often the known members are recorded although none has changed.
const refreshInterval = 10 * time.Second

// refresh records the members of a roster, unless none has changed since they were recorded.
func (s *senderSet) refresh(r *gossip.Roster, now time.Time) {
	if r.Generation() == s.generation && now.Sub(s.addedAt) < refreshInterval {
		return
	}
	s.add(r.Known(now), now)
	s.generation, s.addedAt = r.Generation(), now
}

// add records the known members.
//
// A node that has announced its stop and is gone sends nothing any more and loses its
// share. If VMs are replaced one after another, half of a rate would otherwise stay unused.
func (s *senderSet) add(members []gossip.Member, now time.Time) {
	for _, m := range members {
		if m.Dead && m.Leaving {
			s.dropStopped(m.ID, now)
			continue
		}
		if _, known := s.lastSeen[m.ID]; !known {
			s.lastAdded, s.sorted = now, nil
		}
		s.lastSeen[m.ID] = now
	}
}

// dropStopped removes a stopped node once stoppedRetention is over.
func (s *senderSet) dropStopped(id string, now time.Time) {
	if last, known := s.lastSeen[id]; known && now.Sub(last) > stoppedRetention {
		delete(s.lastSeen, id)
		s.sorted = nil
	}
}

// settled returns the IDs of all nodes that may send, sorted; nil while others may not be
// known yet. The caller must not modify them.
func (s *senderSet) settled(now time.Time) []string {
	for id, at := range s.lastSeen {
		if now.Sub(at) > senderRetention {
			delete(s.lastSeen, id)
			s.sorted = nil
		}
	}
	if now.Sub(s.lastAdded) < senderSettleTime {
		return nil
	}
	if s.sorted == nil {
		s.sorted = slices.Sorted(maps.Keys(s.lastSeen))
	}
	return s.sorted
}
