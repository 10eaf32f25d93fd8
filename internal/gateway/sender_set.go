package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// sendersSettle is how long a node has known all members before it takes part in
	// sending to upstreams with a bound on their rate.
	sendersSettle = 2 * time.Second
	// sendersKept is how long a node that is not known to live keeps its part: it may be
	// cut off and send all the same.
	sendersKept = time.Hour
	// stoppedKept is how long one keeps it that has said that it stops: its VM may start it
	// again at once.
	stoppedKept = 30 * time.Second
)

// senderSet remembers which nodes may send to upstreams.
type senderSet struct {
	// seen is when each node was last known as a member.
	seen map[string]time.Time
	// grown is when a node was last added.
	grown time.Time
}

// add notes the members that are known.
//
// One that has announced its stop and is gone sends nothing any more, and gives up its part:
// with VMs that are replaced one after the other, half of a rate would stay unused.
func (s *senderSet) add(members []gossip.Member, now time.Time) {
	for _, m := range members {
		if m.Dead && m.Leaving {
			s.dropStopped(m.ID, now)
			continue
		}
		if _, known := s.seen[m.ID]; !known {
			s.grown = now
		}
		s.seen[m.ID] = now
	}
}

func (s *senderSet) dropStopped(id string, now time.Time) {
	if last, known := s.seen[id]; known && now.Sub(last) > stoppedKept {
		delete(s.seen, id)
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
