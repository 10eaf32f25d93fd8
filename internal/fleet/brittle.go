package fleet

import "time"

const (
	// othersMargin is the factor by which the last known number of other nodes' attempts may have
	// grown since.
	othersMargin = 1.5
	// quietShare is the share of the slots in use up to which a node may send beyond its part of
	// the places, one attempt at a time.
	quietShare = 0.5
	// exceedDivisor divides the rejections that an upstream bears: so many nodes may send beyond
	// their parts. An attempt beyond its part may lead to one rejection of another node.
	exceedDivisor = 2
	// rejectedFor is how long an upstream counts as full after it has rejected an attempt of this
	// node.
	rejectedFor = 500 * time.Millisecond
)

// isBrittle reports whether the upstream fails when it rejects too many requests.
func (u *Upstream) isBrittle() bool { return u.announced.Limit().MaxRejections > 0 }

// hasRoom reports whether a brittle upstream has room for another attempt of this node: within
// the node's part of the places, or beyond while few of them are in use.
//
// All nodes see free places at the same moment. If each sent there, the upstream would reject
// most of them, and fail.
func (f *Fleet) hasRoom(u *Upstream, now time.Time) bool {
	if !u.isBrittle() {
		return true
	}
	if !u.rejectedAt.IsZero() && now.Sub(u.rejectedAt) < rejectedFor {
		return false
	}
	exceeding := max(u.announced.Limit().MaxRejections/exceedDivisor, 1)
	part, mayExceed := u.use().places.Part(u.Incarnation(), u.Slots, exceeding, &f.senders)
	if u.inFlight < part {
		return true
	}
	expected := float64(u.inFlight) + othersMargin*u.othersLoad(now) + 1
	return mayExceed && u.inFlight == part && u.flights.isFresh(now) && expected <= quietShare*float64(u.Slots)
}
