package confsync

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxNotices is the maximum number of notices that a node remembers.
	maxNotices = 64
	// noticeTime is how long a notice is passed on. It is longer than any list lags.
	noticeTime = 10 * time.Minute
)

// notices are the notices of entry nodes that stop or were restarted, by ID.
type notices map[string]knownNotice

type knownNotice struct {
	boot    uint64
	leaving bool
	// at is when the notice was given, or earlier.
	at time.Duration
}

// supersedes reports whether a notice replaces another one of the same node. For one process
// leaving is final; a restart of the process supersedes it.
func (n Notice) supersedes(old knownNotice) bool {
	if n.Boot != old.boot {
		return n.Boot > old.boot
	}
	return n.Leaving && !old.leaving
}

// ownNotice returns this node's notice about itself.
func (c *Core) ownNotice() Notice {
	return Notice{ID: c.self.ID, Boot: c.boot, Leaving: c.stopping}
}

// stopOrdered selects the peers to notify that this node stops: the readers of each failure
// domain, which pass the notice to their children. If there are few peers it selects all of
// them, since the tree saves nothing then.
func (c *Core) stopOrdered(now time.Duration, t Token) {
	c.stopping = true
	c.receiveNotice(c.ownNotice(), now)
	peers := c.roster.members
	if len(peers) > c.settings.DirectLimit {
		peers = c.roster.allReaders(now, c.settings)
	}
	c.emit(SendNotice{Token: t, Notice: c.ownNotice(), Peers: peers})
}

// receiveNotice records a notice and reports it if it is new. A notice that a node serves is
// new only after one that it stops.
func (c *Core) receiveNotice(n Notice, now time.Duration) {
	old, known := c.notices[n.ID]
	if !known && !n.Leaving || known && !n.supersedes(old) || n.Age > noticeTime {
		return
	}
	c.notices[n.ID] = knownNotice{boot: n.Boot, leaving: n.Leaving, at: now - n.Age}
	c.notices.expire(now)
	c.emit(ReportNotice{Notice: n})
}

// expire drops notices older than noticeTime, and the oldest one above maxNotices.
func (s notices) expire(now time.Duration) {
	oldest := ""
	for id, n := range s {
		if now-n.at > noticeTime {
			delete(s, id)
			continue
		}
		if oldest == "" || n.at < s[oldest].at {
			oldest = id
		}
	}
	if len(s) > maxNotices {
		delete(s, oldest)
	}
}

// list returns the notices with their ages, sorted by ID.
func (s notices) list(now time.Duration) []Notice {
	if len(s) == 0 {
		return nil
	}
	list := make([]Notice, 0, len(s))
	for id, n := range s {
		list = append(list, Notice{ID: id, Boot: n.boot, Leaving: n.leaving, Age: now - n.at})
	}
	slices.SortFunc(list, func(a, b Notice) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// unknownTo returns the notices that a child does not have.
func (s notices) unknownTo(args WaitArgs, now time.Duration) []Notice {
	return slices.DeleteFunc(s.list(now), func(n Notice) bool {
		return n.sameAs(args.From) || slices.ContainsFunc(args.Notices, n.sameAs)
	})
}

// sameAs reports whether another notice makes this one redundant.
func (n Notice) sameAs(o Notice) bool {
	return n.ID == o.ID && !n.supersedes(knownNotice{boot: o.Boot, leaving: o.Leaving})
}
