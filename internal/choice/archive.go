package choice

import (
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// groupPrefix begins the names of summaries that stand for a whole group.
const groupPrefix = "group/"

// Archive returns what this node's group has seen of a version, to be kept
// where it outlives the nodes.
func (c *Chooser) Archive(version string, now time.Time) []quality.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	var list []quality.Entry
	for _, class := range s.classes {
		entry := quality.Entry{Key: quality.Key{Version: version, Class: class}}
		c.book.Add(&entry.Cell, entry.Key)
		c.store.Add(&entry.Cell, entry.Key, func(r quality.Run) bool { return !strings.HasPrefix(r.Node, groupPrefix) })
		s.restore(&entry.Cell, entry.Key)
		if entry.Cell.At != 0 {
			entry.Cell.Advance(now.UnixNano())
			entry.Cell = entry.Cell.Rounded()
			list = append(list, entry)
		}
	}
	return list
}

// Restore takes in what was archived before this node collected the version.
// It stands in for a cell as long as it weighs more than what runs have
// reported: the runs that are in it may report again, and would else count
// twice.
func (c *Chooser) Restore(version string, cells []quality.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	s.restored = cells
	for _, entry := range cells {
		s.sawClass(entry.Key.Class)
		c.stamps.mark(entry.Key, quality.Run{})
	}
}

func (s *state) restore(total *quality.Cell, key quality.Key) {
	for i := range s.restored {
		if s.restored[i].Key != key {
			continue
		}
		old := s.restored[i].Cell
		old.Advance(total.At)
		total.Advance(old.At)
		if old.Weight() > total.Weight() {
			*total = old
		}
		return
	}
}
