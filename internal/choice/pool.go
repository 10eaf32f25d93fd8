package choice

import (
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Pool is what a node that collects the summaries of a version answers to one
// that sent its own: what all others have seen. It replaces the pool before.
type Pool struct {
	// At orders pools: the Unix time in nanoseconds when it was made.
	At       int64
	Versions []VersionPool
	Holds    []Hold
}

// VersionPool is the part of a [Pool] for one version.
type VersionPool struct {
	Version string
	Term    uint64
	// Ratings and Errors are the statistics of the tests, in nats.
	Ratings float64
	Errors  float64
	Cells   []quality.Entry
}

// Pool returns what all runs but one have seen of some versions.
func (c *Chooser) Pool(except quality.Run, versions []string, now int64) Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Pool{At: now, Holds: c.holds()}
	for _, name := range versions {
		p.Versions = append(p.Versions, c.versionPool(except, name))
	}
	return p
}

func (c *Chooser) versionPool(except quality.Run, name string) VersionPool {
	s := c.state(name)
	p := VersionPool{Version: name, Term: s.hold.Term, Ratings: s.pooled.Ratings(), Errors: s.pooled.Errors()}
	for _, class := range s.classes {
		key := quality.Key{Version: name, Class: class}
		entry := quality.Entry{Key: key}
		c.store.Add(&entry.Cell, key, func(r quality.Run) bool { return r != except })
		if except != c.run() {
			c.book.Add(&entry.Cell, key)
		}
		s.restore(&entry.Cell, key)
		if entry.Cell.At != 0 {
			p.Cells = append(p.Cells, entry)
		}
	}
	return p
}

// TakePool takes in what others have seen. From then on it stands in place of
// the summaries that were merged of the same versions.
func (c *Chooser) TakePool(p Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range p.Versions {
		c.takeVersionPool(v, p.At)
	}
	for _, h := range p.Holds {
		c.applyHold(h)
	}
}

func (c *Chooser) takeVersionPool(v VersionPool, at int64) {
	s := c.state(v.Version)
	if s.pool != nil && s.pool.at >= at {
		return
	}
	s.pool = &pooled{at: at, cells: v.Cells}
	for _, entry := range v.Cells {
		s.sawClass(entry.Key.Class)
	}
	if v.Term == s.hold.Term {
		s.peers = max(v.Ratings, v.Errors)
	}
}

// Collect makes this node the one that others send their summaries of a
// version to: what it merges counts, and no pool stands in its place.
func (c *Chooser) Collect(version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	s.pool = nil
	s.peers = 0
}
