package admission

import (
	"math"
	"time"
)

// An organisation's demand or use is reported before its share must be renewed when it
// has changed by at least significantChange of its value and by significantLimitPart of
// the limit. Smaller changes are random variation.
const (
	significantChange    = 0.25
	significantLimitPart = 0.02
)

// longAgo is the creation time of a collector's allocations. Unlike a holder, a collector
// need not wait for older grants to expire, because it divides only what was granted to
// itself.
const longAgo = time.Duration(math.MinInt64 / 2)

// domainShare is a failure domain's share of one organisation's limit.
type domainShare struct {
	org            string
	holder         string // empty when the nodes have changed since
	allocation     allocation
	maxTotal       float64 // bound for the shares of all domains together
	granted        float64
	seq            uint64 // of the grant
	expiresAt      time.Duration
	reportedDemand float64
	reportedAt     time.Duration
	hasReported    bool
	reportedHeld   float64
	reportedSeq    uint64 // the Seq of the last report
	fastUntil      time.Duration
}

// grantNode updates a node's demand and returns its part of the domain's share. A
// repeated summary gets none: the share may have been renewed in between, and the node
// would then use it for longer than its nodeShare records.
func (d *domainShare) grantNode(summary Summary, demand Demand, maxTotal float64, l lease) (Share, bool) {
	if n := d.allocation.nodes[summary.From]; n != nil && summary.Seq <= n.seq {
		return Share{}, false
	}
	// What the node still holds from another collector counts in that collector's share.
	demand.Held = 0
	d.maxTotal = maxTotal
	total := min(d.share(l.now), maxTotal)
	remaining := d.expiresAt - l.now
	valid := time.Duration(0)
	if total > 0 && remaining < l.duration {
		l.duration = remaining
		valid = remaining
	}
	share, ok := d.allocation.renew(summary, demand, total, l)
	return Share{Org: d.org, PerSecond: share, Valid: valid}, ok
}

// share returns the domain's share, or 0 after it has expired.
func (d *domainShare) share(now time.Duration) float64 {
	if now >= d.expiresAt {
		return 0
	}
	return d.granted
}

// demand returns the sum of the demands that nodes have reported recently.
func (d *domainShare) demand(now time.Duration) float64 {
	var sum float64
	for _, n := range d.allocation.nodes {
		if now <= n.reportedAt+demandTTL {
			sum += n.demand
		}
	}
	return sum
}

// held returns the sum of what the nodes may use.
func (d *domainShare) held(now time.Duration) float64 {
	var sum float64
	for _, n := range d.allocation.nodes {
		sum += n.held(now)
	}
	return sum
}

// reportDue reports whether the organisation must be reported to its holder.
func (d *domainShare) reportDue(now time.Duration, settings RateSettings) bool {
	if !d.hasReported {
		return true
	}
	demand := d.demand(now)
	if changedSharply(d.reportedDemand, demand) {
		d.fastUntil = now + fastReportFor
	}
	sinceReport := now - d.reportedAt
	switch {
	case now < d.fastUntil, d.reportedHeld-d.maxUse(now) > max(significantChange*d.reportedHeld, significantLimitPart*d.maxTotal):
		return sinceReport >= fastReportPeriod
	case d.seq < d.reportedSeq, math.Abs(demand-d.reportedDemand) > max(significantChange*d.reportedDemand, significantLimitPart*d.maxTotal):
		return sinceReport >= settings.Period
	}
	return sinceReport >= settings.RenewPeriod
}

// setGrant records the holder's grant.
func (d *domainShare) setGrant(share float64, seq uint64, expiresAt time.Duration) {
	d.granted = share
	d.seq = seq
	d.expiresAt = expiresAt
}

func (d *domainShare) holderOf(nodes []string) string {
	if d.holder == "" {
		d.holder = HolderOf(d.org, nodes)
	}
	return d.holder
}

// maxUse returns the most that the nodes may use until the next grant. That is the share,
// which the collector may still divide, or what they hold of a larger one before it.
func (d *domainShare) maxUse(now time.Duration) float64 { return max(d.share(now), d.held(now)) }

// report returns the summed demand for the holder and records it as reported.
func (d *domainShare) report(seq uint64, now time.Duration) Demand {
	d.reportedDemand = d.demand(now)
	d.reportedAt = now
	d.hasReported = true
	d.reportedHeld = d.maxUse(now)
	d.reportedSeq = seq
	return Demand{Org: d.org, PerSecond: d.reportedDemand, Held: d.reportedHeld, HeldSeq: d.seq}
}
