package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Report is a node's summary of some versions, for the node that collects them.
// It holds the cells that have changed since the collecting node last said what
// it has; the answer holds those that have changed since the last answer that
// came.
//
// It is safe to lose, repeat and reorder reports and answers: a cell is
// cumulative, and both sides say what they have, not what they were sent. A
// collecting node that is new or has forgotten says that it has less, and the
// next report brings the rest.
type Report struct {
	Versions []ReportVersion
	Summary  Summary
	// PoolOf is the run that made the pools that Pool speaks of.
	PoolOf quality.Run
}

// ReportVersion is the part of a [Report] for one version.
type ReportVersion struct {
	Version string
	// Base is the number of the last summary that the collecting node said
	// it lacks nothing of; Summary holds what has changed since.
	Base uint64
	// Pool is up to which change the asker has the pool; 0 asks for all.
	Pool uint64
}

// Report returns what a collecting node may lack of some versions.
func (c *Chooser) Report(versions []string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{PoolOf: c.poolMaker(versions)}
	base := make(map[string]uint64, len(versions))
	for _, name := range versions {
		s := c.state(name)
		base[name] = s.base
		v := ReportVersion{Version: name, Base: s.base}
		if s.pool != nil && s.pool.from == r.PoolOf {
			v.Pool = s.pool.stamp
		}
		r.Versions = append(r.Versions, v)
	}
	r.Summary = c.summary(versions, func(key quality.Key) bool { return c.book.Changed(key) > base[key.Version] })
	return r
}

// poolMaker is the run that made the first pool there is of the versions; one
// collecting node has made all of them unless collectors have just changed.
func (c *Chooser) poolMaker(versions []string) quality.Run {
	for _, name := range versions {
		if s := c.state(name); s.pool != nil {
			return s.pool.from
		}
	}
	return quality.Run{}
}

// Answer takes a report in and returns what all others have seen.
func (c *Chooser) Answer(r Report, now time.Time) Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(r.Summary, now)
	p := c.newPool(now.UnixNano())
	run := r.Summary.Run()
	for _, v := range r.Versions {
		var since uint64
		if r.PoolOf == c.run() {
			since = v.Pool
		}
		answer := c.versionPool(run, v.Version, since)
		answer.Have = c.store.Complete(run, v.Version, v.Base, r.Summary.Seq)
		p.Versions = append(p.Versions, answer)
	}
	return p
}

// Lacks says that the maker of the pool lacks something that the report left
// out, so that another report is due at once.
func (r Report) Lacks(p Pool) bool {
	for _, answer := range p.Versions {
		for _, v := range r.Versions {
			if v.Version == answer.Version && answer.Have < v.Base {
				return true
			}
		}
	}
	return false
}
