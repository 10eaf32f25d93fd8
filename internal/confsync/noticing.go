package confsync

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxNotices bounds the stops that a node remembers.
	maxNotices = 64
	// noticeTime is for how long a stop is told: longer than any list lags.
	noticeTime = 10 * time.Minute
)

// notices are the words of entry nodes that stop, by id.
type notices map[string]heardNotice

type heardNotice struct {
	boot    uint64
	leaving bool
	// at is when the word was given, or earlier.
	at time.Duration
}

// overrules says whether a word replaces another of the same node: for one
// start of a process leaving is final, a later start begins anew.
func (n Notice) overrules(old heardNotice) bool {
	if n.Boot != old.boot {
		return n.Boot > old.boot
	}
	return n.Leaving && !old.leaving
}

func (c *Core) ownNotice() Notice {
	return Notice{ID: c.self.ID, Boot: c.boot, Leaving: c.stopping}
}

// stopOrdered names the peers that must hear that this node stops: the readers
// of each failure domain, which answer their children's calls with it; all
// peers where they are few, since nothing is saved by the tree then.
func (c *Core) stopOrdered(now time.Duration, t Token) {
	c.stopping = true
	c.hearNotice(c.ownNotice(), now)
	peers := c.roster.members
	if len(peers) > c.settings.DirectLimit {
		peers = c.roster.readersEverywhere(now, c.settings)
	}
	c.decide(Tell{Token: t, Notice: c.ownNotice(), Peers: peers})
}

// hearNotice takes a word and passes it on when it is news. That a node serves
// is news only after it was said to stop.
func (c *Core) hearNotice(n Notice, now time.Duration) {
	old, known := c.notices[n.ID]
	if !known && !n.Leaving || known && !n.overrules(old) || n.Age > noticeTime {
		return
	}
	c.notices[n.ID] = heardNotice{boot: n.Boot, leaving: n.Leaving, at: now - n.Age}
	c.notices.expire(now)
	c.decide(NoteLeaving{Notice: n})
}

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

// send returns the words with their ages, sorted by id.
func (s notices) send(now time.Duration) []Notice {
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

// lacking returns the words that a child does not know.
func (s notices) lacking(args WaitArgs, now time.Duration) []Notice {
	return slices.DeleteFunc(s.send(now), func(n Notice) bool {
		return n.sameAs(args.From) || slices.ContainsFunc(args.Notices, n.sameAs)
	})
}

// sameAs says whether another word makes this one known.
func (n Notice) sameAs(o Notice) bool {
	return n.ID == o.ID && !n.overrules(heardNotice{boot: o.Boot, leaving: o.Leaving})
}
