package canary

import (
	"cmp"
	"slices"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// EndedOrder is an earlier order of a service, and its verdict as far as a node knows.
type EndedOrder struct {
	Target   string
	Revision revision.Revision
	Verdict  Verdict
	// Written is set when the platform's table held the verdict.
	Written bool
}

// maxEnded bounds the ended orders that are kept for each service.
const maxEnded = 8

// overrides reports whether an order decides about a version in place of another order or another
// node's knowledge of the same one. A verdict that was recorded is final. Without a record, a node
// that was cut off may have another verdict than the rest, and a rollback is the safe one.
func (e EndedOrder) overrides(other EndedOrder) bool {
	switch {
	case e.Revision != other.Revision:
		return e.Revision > other.Revision
	case e.Written != other.Written:
		return e.Written
	}
	return e.Verdict == RolledBack && other.Verdict != RolledBack
}

// noteEnded records an ended order of a service, one for each version.
func (c *Canary) noteEnded(service string, e EndedOrder) {
	all := c.ended[service]
	i := slices.IndexFunc(all, func(known EndedOrder) bool { return known.Target == e.Target })
	switch {
	case i < 0:
		all = append(all, e)
	case e.overrides(all[i]):
		all[i] = e
	}
	slices.SortFunc(all, func(a, b EndedOrder) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Target, b.Target))
	})
	c.ended[service] = all[max(len(all)-maxEnded, 0):]
}

// rolledBack returns the versions that earlier orders of the service rolled back, oldest first.
func (c *Canary) rolledBack(service string) (versions []string) {
	for _, e := range c.ended[service] {
		if e.Verdict == RolledBack {
			versions = append(versions, e.Target)
		}
	}
	return versions
}
