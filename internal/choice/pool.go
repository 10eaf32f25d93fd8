package choice

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Pool is what a node that collects the summaries of a version answers to one
// that sent its own: what all others have seen. It replaces the pool before.
type Pool struct {
	// At orders pools: the Unix time in nanoseconds when it was made.
	At int64
	// From is the run that made it.
	From     quality.Run
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
	// Cells are those that have changed since the change Since of the maker,
	// or all when it is 0, up to its change Stamp.
	Cells []quality.Entry
	Since uint64
	Stamp uint64
	// Have is up to which summary of the asking run the maker lacks nothing.
	Have uint64
}

// Pool returns what all runs but one have seen of some versions.
func (c *Chooser) Pool(except quality.Run, versions []string, now int64) Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.newPool(now)
	for _, name := range versions {
		p.Versions = append(p.Versions, c.versionPool(except, name, 0))
	}
	return p
}

func (c *Chooser) newPool(now int64) Pool { return Pool{At: now, From: c.run(), Holds: c.holds()} }

func (c *Chooser) versionPool(except quality.Run, name string, since uint64) VersionPool {
	s := c.state(name)
	p := VersionPool{Version: name, Term: s.hold.Term, Ratings: s.pooled.Ratings(), Errors: s.pooled.Errors()}
	p.Since, p.Stamp = since, c.stamps.last
	for _, class := range s.classes {
		key := quality.Key{Version: name, Class: class}
		if since > 0 && c.stamps.of(key, except) <= since {
			continue
		}
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
		c.takeVersionPool(v, p)
	}
	for _, h := range p.Holds {
		c.applyHold(h)
	}
}

func (c *Chooser) takeVersionPool(v VersionPool, p Pool) {
	s := c.state(v.Version)
	s.base = v.Have
	// Only times of one node's clock are compared.
	if s.pool != nil && s.pool.from == p.From && s.pool.at >= p.At {
		return
	}
	if v.Since > 0 && (s.pool == nil || s.pool.from != p.From || s.pool.stamp < v.Since) {
		return // the cells that it leaves out are not here
	}
	next := &pooled{at: p.At, from: p.From, stamp: v.Stamp, cells: v.Cells}
	if v.Since > 0 {
		next.cells = s.pool.with(v.Cells)
	}
	s.pool = next
	for _, entry := range v.Cells {
		s.sawClass(entry.Key.Class)
	}
	if v.Term == s.hold.Term {
		s.peers = max(v.Ratings, v.Errors)
	}
}

// with returns the cells of the pool with the later ones in their places.
func (p *pooled) with(later []quality.Entry) []quality.Entry {
	cells := slices.Clone(p.cells)
	for _, entry := range later {
		at := slices.IndexFunc(cells, func(e quality.Entry) bool { return e.Key == entry.Key })
		if at < 0 {
			cells = append(cells, entry)
			continue
		}
		cells[at] = entry
	}
	return cells
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
