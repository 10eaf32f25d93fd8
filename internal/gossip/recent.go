package gossip

import (
	"slices"
	"time"
)

const (
	// recentFor is how long a change of a member counts as recent: a few rounds of gossip.
	recentFor = 2 * time.Second
	// maxRecent is the maximum number of recent changes that are sent to a peer.
	maxRecent = 32
)

// recentChanges are the members that changed most recently, oldest first.
type recentChanges []recentChange

type recentChange struct {
	id string
	at time.Time
}

// add records a change and drops the oldest ones.
func (c *recentChanges) add(id string, now time.Time) {
	list := slices.DeleteFunc(*c, func(r recentChange) bool { return r.id == id || now.Sub(r.at) > recentFor })
	if len(list) >= maxRecent {
		list = slices.Delete(list, 0, len(list)-maxRecent+1)
	}
	*c = append(list, recentChange{id, now})
}

// Recent returns the members that changed in the last two seconds, at most 32. They are sent to
// peers without being asked for: a change spreads slowly while only peers that compare their
// rosters find it.
func (r *Roster) Recent(now time.Time) []Member {
	var all []Member
	for _, c := range r.recent {
		if now.Sub(c.at) > recentFor {
			continue
		}
		if c.id == r.self.ID {
			all = append(all, r.self)
		} else if e := r.members[c.id]; e != nil {
			all = append(all, e.Member)
		}
	}
	return all
}
