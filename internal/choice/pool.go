package choice

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Pool is a collector's reply to a node's summary: the observations of all other runs. It
// replaces an earlier pool.
type Pool struct {
	// At is the Unix time in nanoseconds at which the pool was made; pools of one run are
	// ordered by it.
	At int64
	// From is the run that made the pool.
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
	// Cells are those changed after the collector's change number Since, or all cells if
	// Since is 0, up to its change number Stamp.
	Cells []quality.Entry
	Since uint64
	Stamp uint64
	// Have is the number of the receiver's summary up to which the collector has all its
	// cells.
	Have uint64
}

// Pool returns the observations of some versions by all runs except one. now is the Unix
// time in nanoseconds.
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
		if since > 0 && c.stamps.lastChange(key, except) <= since {
			continue
		}
		entry := quality.Entry{Key: key}
		c.store.Add(&entry.Cell, key, func(r quality.Run) bool { return r != except })
		if except != c.run() {
			c.recorder.Add(&entry.Cell, key)
		}
		s.addRestored(&entry.Cell, key)
		if entry.Cell.At != 0 {
			p.Cells = append(p.Cells, entry)
		}
	}
	return p
}

// ApplyPool applies a pool. From then on it replaces the merged summaries of the same
// versions.
func (c *Chooser) ApplyPool(p Pool) {
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
	s.acked = v.Have
	// Times are compared only if they are of the same run's clock.
	if s.pool != nil && s.pool.from == p.From && s.pool.at >= p.At {
		return
	}
	if v.Since > 0 && (s.pool == nil || s.pool.from != p.From || s.pool.stamp < v.Since) {
		return // the cells that the pool omits are not known here
	}
	received := &receivedPool{at: p.At, from: p.From, stamp: v.Stamp, cells: v.Cells}
	if v.Since > 0 {
		received.cells = s.pool.merged(v.Cells)
	}
	s.pool = received
	for _, entry := range v.Cells {
		s.addClass(entry.Key.Class)
	}
	if v.Term == s.hold.Term {
		s.poolStatistic = max(v.Ratings, v.Errors)
	}
}

// merged returns the pool's cells, with later ones replacing those of the same key.
func (p *receivedPool) merged(later []quality.Entry) []quality.Entry {
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

// Collect makes this node the collector of a version: merged summaries count, and no pool
// replaces them.
func (c *Chooser) Collect(version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	s.pool = nil
	s.poolStatistic = 0
}
