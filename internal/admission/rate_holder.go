package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HolderOf is the node that holds an organisation's limit, by rendezvous
// hashing over the nodes. Nodes that see different lists may name different
// holders; a new holder only renews what was held until older grants have run
// out.
func HolderOf(org string, nodes []string) string {
	var best string
	var highest uint64
	for _, id := range nodes {
		rank := xxhash.Sum64String(org + "\x00" + id)
		if best == "" || rank > highest || (rank == highest && id < best) {
			best, highest = id, rank
		}
	}
	return best
}

// RateHolder divides organisations' limits among the nodes that report to it.
// The grants that count at any moment sum up to no more than the limit
// without its reserve.
type RateHolder struct {
	settings RateSettings
	base     time.Time
	limits   map[string]float64
	books    map[string]*book
}

// NewRateHolder returns a holder that knows no node.
func NewRateHolder(s RateSettings) *RateHolder {
	return &RateHolder{settings: s.withDefaults(), limits: map[string]float64{}, books: map[string]*book{}}
}

// SetLimits takes the limits in force.
func (h *RateHolder) SetLimits(limits []Limit, now time.Time) {
	h.since(now)
	clear(h.limits)
	for _, l := range limits {
		h.limits[l.Org] = l.PerSecond
	}
	for org := range h.books {
		if _, ok := h.limits[org]; !ok {
			delete(h.books, org)
		}
	}
}

func (h *RateHolder) since(now time.Time) time.Duration {
	if h.base.IsZero() {
		h.base = now
	}
	return now.Sub(h.base)
}

// Summarise takes a node's or a collector's summary and returns its shares.
func (h *RateHolder) Summarise(s Summary, now time.Time) Grant {
	t := h.since(now)
	g := Grant{From: h.settings.Self, Seq: s.Seq, Valid: h.settings.GrantFor}
	for _, d := range s.Demands {
		limit, ok := h.limits[d.Org]
		if !ok {
			continue
		}
		b := h.books[d.Org]
		if b == nil {
			b = &book{since: t, lines: map[string]*line{}}
			h.books[d.Org] = b
		}
		share, ok := b.renew(s, d, limit*(1-h.settings.Reserve), term{now: t, grantFor: h.settings.GrantFor})
		if !ok {
			continue
		}
		g.Shares = append(g.Shares, Share{Org: d.Org, PerSecond: share})
	}
	return g
}
