package gateway

import (
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
			s.lastAdded = now
		}
		s.lastSeen[m.ID] = now
	}
}

// dropStopped removes a stopped node once stoppedRetention is over.
func (s *senderSet) dropStopped(id string, now time.Time) {
	if last, known := s.lastSeen[id]; known && now.Sub(last) > stoppedRetention {
		delete(s.lastSeen, id)
	}
}

// settled returns the IDs of all nodes that may send, sorted; nil while others may not be
// known yet.
func (s *senderSet) settled(now time.Time) []string {
	var all []string
	for id, at := range s.lastSeen {
		if now.Sub(at) > senderRetention {
			delete(s.lastSeen, id)
			continue
		}
		all = append(all, id)
	}
	if now.Sub(s.lastAdded) < senderSettleTime {
		return nil
	}
	slices.Sort(all)
	return all
}
