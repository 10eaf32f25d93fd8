package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Report is a node's summary of some versions for their collector. It contains the cells
// that changed since the last summary that the collector acknowledged; the reply contains
// the cells that changed since the last pool that the node received.
//
// Reports and replies may be lost, repeated and reordered: cells are cumulative, and both
// sides state what they have, not what they were sent. A collector that is new or has
// lost its state acknowledges less, and the next report contains the rest.
type Report struct {
	Versions []ReportVersion
	Summary  Summary
	// PoolOf is the run that made the pools to which ReportVersion.Pool refers.
	PoolOf quality.Run
}

// ReportVersion is the part of a [Report] for one version.
type ReportVersion struct {
	Version string
	// Base is the number of the last summary up to which the collector acknowledged all
	// cells; Summary contains the later changes.
	Base uint64
	// Pool is the change number up to which the sender has the pool; 0 requests all
	// cells.
	Pool uint64
}

// Report returns the summary of some versions that their collector may lack.
func (c *Chooser) Report(versions []string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{PoolOf: c.poolSource(versions)}
	acked := make(map[string]uint64, len(versions))
	for _, name := range versions {
		s := c.state(name)
		acked[name] = s.acked
		v := ReportVersion{Version: name, Base: s.acked}
		if s.pool != nil && s.pool.from == r.PoolOf {
			v.Pool = s.pool.stamp
		}
		r.Versions = append(r.Versions, v)
	}
	r.Summary = c.summary(versions, func(key quality.Key) bool { return c.recorder.Changed(key) > acked[key.Version] })
	return r
}

// poolSource returns the run that made the first available pool of the versions. One
// collector made all of them, unless collectors have just changed.
func (c *Chooser) poolSource(versions []string) quality.Run {
	for _, name := range versions {
		if s := c.state(name); s.pool != nil {
			return s.pool.from
		}
	}
	return quality.Run{}
}

// HandleReport merges a report and returns the observations of all other runs.
func (c *Chooser) HandleReport(r Report, now time.Time) Pool {
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

// Lacks reports whether the sender of the pool lacks cells that the report omitted, so
// that another report should follow at once.
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
