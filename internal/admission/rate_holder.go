package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HolderOf returns the ID of the node that holds an organisation's limit, by rendezvous
// hashing over the nodes. Nodes with different lists may select different holders. A new
// holder therefore only renews existing shares until older grants have expired.
func HolderOf(org string, nodes []string) string {
	var best string
	var highestRank uint64
	for _, id := range nodes {
		rank := xxhash.Sum64String(org + "\x00" + id)
		if best == "" || rank > highestRank || (rank == highestRank && id < best) {
			best, highestRank = id, rank
		}
	}
	return best
}

// RateHolder divides organisations' limits among the nodes and collectors that report to
// it. The sum of the valid grants never exceeds the limit less its reserve.
type RateHolder struct {
	settings    RateSettings
	base        time.Time
	limits      map[string]float64
	allocations map[string]*allocation
}

// NewRateHolder returns a holder without limits. Zero fields of s take their defaults.
func NewRateHolder(s RateSettings) *RateHolder {
	return &RateHolder{settings: s.withDefaults(), limits: map[string]float64{}, allocations: map[string]*allocation{}}
}

// SetLimits sets the limits in force. Organisations without a limit are dropped.
func (h *RateHolder) SetLimits(limits []Limit, now time.Time) {
	h.since(now)
	clear(h.limits)
	for _, l := range limits {
		h.limits[l.Org] = l.PerSecond
	}
	for org := range h.allocations {
		if _, ok := h.limits[org]; !ok {
			delete(h.allocations, org)
		}
	}
}

// since converts a time to an offset from the base, which is the first time seen.
func (h *RateHolder) since(now time.Time) time.Duration {
	if h.base.IsZero() {
		h.base = now
	}
	return now.Sub(h.base)
}

// HandleSummary processes a summary of a node or collector and returns its shares.
// Organisations without a limit get none.
func (h *RateHolder) HandleSummary(s Summary, now time.Time) Grant {
	t := h.since(now)
	g := Grant{From: h.settings.Self, Seq: s.Seq, Valid: h.settings.GrantDuration}
	for _, d := range s.Demands {
		limit, ok := h.limits[d.Org]
		if !ok {
			continue
		}
		a := h.allocations[d.Org]
		if a == nil {
			a = &allocation{createdAt: t, nodes: map[string]*nodeShare{}}
			h.allocations[d.Org] = a
		}
		share, ok := a.renew(s, d, limit*(1-h.settings.Reserve), lease{now: t, duration: h.settings.GrantDuration})
		if !ok {
			continue
		}
		g.Shares = append(g.Shares, Share{Org: d.Org, PerSecond: share})
	}
	return g
}
