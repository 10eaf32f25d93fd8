package admission

import (
	"math"
	"time"
)

// A change of a sum is told before the share has to be renewed when it is at
// least this part of the sum, and of the limit: smaller ones are chance.
const (
	changedBy  = 0.25
	changedFor = 0.02
)

// neverNew is when a collector's books began: unlike a holder it has nothing
// to wait for, as it gives away only what a grant to itself allows.
const neverNew = time.Duration(math.MinInt64 / 2)

// collected is a failure domain's part of one organisation's limit.
type collected struct {
	org        string
	holder     string // empty when the nodes have changed since
	book       book
	most       float64 // that all domains together may get
	granted    float64
	seq        uint64 // of the grant
	until      time.Duration
	told       float64
	toldAt     time.Duration
	toldAny    bool
	toldHeld   float64
	asked      uint64 // the Seq of the last sum
	hurryUntil time.Duration
}

// divide takes a node's demand and returns its part. One that came twice gets
// none: the share may have been renewed between, and the node would count it
// for longer than its line does.
func (o *collected) divide(s Summary, d Demand, most float64, t term) (Share, bool) {
	if l := o.book.lines[s.From]; l != nil && s.Seq <= l.seq {
		return Share{}, false
	}
	// What the node holds of another collector counts in that one's share.
	d.Held = 0
	o.most = most
	whole := min(o.share(t.now), most)
	left := o.until - t.now
	valid := time.Duration(0)
	if whole > 0 && left < t.grantFor {
		t.grantFor = left
		valid = left
	}
	share, ok := o.book.renew(s, d, whole, t)
	return Share{Org: o.org, PerSecond: share, Valid: valid}, ok
}

// share is the domain's share while it counts.
func (o *collected) share(now time.Duration) float64 {
	if now >= o.until {
		return 0
	}
	return o.granted
}

// demand is the sum over the nodes that were heard of lately.
func (o *collected) demand(now time.Duration) float64 {
	var sum float64
	for _, l := range o.book.lines {
		if now <= l.heard+heardFor {
			sum += l.demand
		}
	}
	return sum
}

// held is what the nodes may use.
func (o *collected) held(now time.Duration) float64 {
	var sum float64
	for _, l := range o.book.lines {
		sum += l.holds(now)
	}
	return sum
}

// due says that the holder must hear of the organisation.
func (o *collected) due(now time.Duration, s RateSettings) bool {
	if !o.toldAny {
		return true
	}
	demand := o.demand(now)
	if muchChanged(o.told, demand) {
		o.hurryUntil = now + hurryFor
	}
	gap := now - o.toldAt
	switch {
	case now < o.hurryUntil, o.toldHeld-o.uses(now) > max(changedBy*o.toldHeld, changedFor*o.most):
		return gap >= hurryPeriod
	case o.seq < o.asked, math.Abs(demand-o.told) > max(changedBy*o.told, changedFor*o.most):
		return gap >= s.Period
	}
	return gap >= s.SumPeriod
}

// grant takes the holder's grant.
func (o *collected) grant(share float64, seq uint64, until time.Duration) {
	o.granted = share
	o.seq = seq
	o.until = until
}

func (o *collected) holderOf(nodes []string) string {
	if o.holder == "" {
		o.holder = HolderOf(o.org, nodes)
	}
	return o.holder
}

// uses is the most that the nodes may use until the next grant: the share, which
// the collector may still divide, or what they hold of a larger one before it.
func (o *collected) uses(now time.Duration) float64 { return max(o.share(now), o.held(now)) }

// report is the sum for the holder.
func (o *collected) report(seq uint64, now time.Duration) Demand {
	o.told = o.demand(now)
	o.toldAt = now
	o.toldAny = true
	o.toldHeld = o.uses(now)
	o.asked = seq
	return Demand{Org: o.org, PerSecond: o.told, Held: o.toldHeld, HeldSeq: o.seq}
}
