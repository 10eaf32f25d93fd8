package choice

import (
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// groupPrefix is the prefix of the node names in summaries that stand for a whole group.
const groupPrefix = "group/"

// Archive returns the cells of a version that this node's group has observed, for storage
// that outlives the nodes.
func (c *Chooser) Archive(version string, now time.Time) []quality.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	var list []quality.Entry
	for _, class := range s.classes {
		entry := quality.Entry{Key: quality.Key{Version: version, Class: class}}
		c.recorder.Add(&entry.Cell, entry.Key)
		c.store.Add(&entry.Cell, entry.Key, func(r quality.Run) bool { return !strings.HasPrefix(r.Node, groupPrefix) })
		s.addRestored(&entry.Cell, entry.Key)
		if entry.Cell.At != 0 {
			entry.Cell.Advance(now.UnixNano())
			entry.Cell = entry.Cell.Rounded()
			list = append(list, entry)
		}
	}
	return list
}

// Restore sets the cells that were archived before this node collected the version. An
// archived cell is used while its weight exceeds that of the cells reported by runs: the
// archive contains the ratings of runs that may report again, and adding both would count
// them twice.
func (c *Chooser) Restore(version string, cells []quality.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	s.restored = cells
	for _, entry := range cells {
		s.addClass(entry.Key.Class)
		c.stamps.mark(entry.Key, quality.Run{})
	}
}

// addRestored replaces total by the restored cell if that has more weight.
func (s *versionState) addRestored(total *quality.Cell, key quality.Key) {
	for i := range s.restored {
		if s.restored[i].Key != key {
			continue
		}
		archived := s.restored[i].Cell
		archived.Advance(total.At)
		total.Advance(archived.At)
		if archived.Weight() > total.Weight() {
			*total = archived
		}
		return
	}
}
