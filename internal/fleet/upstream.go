package fleet

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// Upstream is one incarnation of an upstream and this node's view of it.
type Upstream struct {
	Record
	// placement is the hash of the ID, by which pools are sorted.
	placement uint64
	// nextAtAddr is another upstream that is listed at the same address; nil for none.
	nextAtAddr *Upstream
	// inRateBound is set while the upstream is in its service's list of rate bounds.
	inRateBound bool
	// announced is what this incarnation announced in responses to any node; nil before the
	// first that this node knows of.
	announced *notice.State

	// unlisted is set while the table does not list the upstream but may list it again.
	unlisted bool
	// hasLeft is set once an entry of this incarnation stated that it leaves, goneUntil while the
	// table lists it again only because it was restored from an older copy.
	hasLeft   bool
	goneUntil time.Time
	// listedHash is the upstream's contribution to the list's hash; 0 while it is unlisted.
	listedHash uint64
	// firstSeen is when the record was first read. replaced is set once another upstream
	// serves at its address, which means that this one has ended.
	firstSeen time.Time
	replaced  bool
	// warmUpUntil is the end of the warm-up.
	warmUpUntil time.Time
	// backoffJitter is the fraction by which this node extends the upstream's back-offs.
	backoffJitter float64
	// flights is the fleet's latest round of in-flight attempts.
	flights *flightRound
	// usage is shared with all upstreams that this node has not used; see [Upstream.use].
	*usage
}

// InFlight returns the number of this node's attempts in progress there.
func (u *Upstream) InFlight() int { return u.inFlight }

// AttemptsInProgress estimates the number of attempts in progress there, at all nodes.
func (u *Upstream) AttemptsInProgress(now time.Time) float64 {
	return float64(u.inFlight) + u.othersLoad(now)
}

// load estimates the share of the slots in use; above 1, requests queue.
func (u *Upstream) load(now time.Time) float64 {
	return u.AttemptsInProgress(now) / float64(max(u.Slots, 1))
}

// othersLoad estimates the number of other nodes' attempts that run or wait there.
func (u *Upstream) othersLoad(now time.Time) float64 {
	if u.flights.isFresh(now) {
		return u.othersInFlightNow()
	}
	return u.reportedOthers * u.loadFreshness(now)
}

// othersInFlightNow returns the number of other nodes' attempts in the latest round.
func (u *Upstream) othersInFlightNow() float64 {
	if u.flightRound != u.flights.number {
		return 0
	}
	return u.othersInFlight
}

// othersPendingNow returns the work that other nodes' attempts have pending in the latest
// round.
func (u *Upstream) othersPendingNow() float64 {
	if u.flightRound != u.flights.number {
		return 0
	}
	return u.othersPending
}

// loadFreshness returns the weight of the last load report, from 0 to 1.
func (u *Upstream) loadFreshness(now time.Time) float64 {
	if u.loadReportedAt.IsZero() {
		return 0
	}
	age := now.Sub(u.loadReportedAt) - loadFreshFor
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(loadHalfLife))
}

// setReportedLoad records the load that the upstream reported.
func (u *Upstream) setReportedLoad(running, waiting int, at time.Time) {
	u.use()
	u.reportedRunning, u.reportedWaiting, u.loadReportedAt = running, waiting, at
	u.flights.noteLoad(float64(running+waiting), u.Slots, at)
	u.reportedOthers = max(float64(running+waiting-u.inFlight), 0)
	u.othersQueued = max(float64(waiting-u.ownQueued), 0)
}

// errorShare returns the recent share of failed attempts. It is biased towards 0 while
// there are few attempts.
func (u *Upstream) errorShare(now time.Time) float64 {
	u.decayErrors(now)
	return u.recentFailures / (u.recentAttempts + 2)
}

func (u *Upstream) decayErrors(now time.Time) {
	if u.usage == unused {
		return
	}
	if !u.decayedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(u.decayedAt)) / float64(errorHalfLife))
		u.recentFailures *= f
		u.recentAttempts *= f
	}
	u.decayedAt = now
}

// ready reports whether the upstream takes new work now, apart from its rate bounds.
func (u *Upstream) ready(now time.Time) bool {
	return u.unready(now) == NotExcluded
}

// backoffUntil returns the end of the upstream's back-off for this node: the requested end
// plus this node's jitter.
func (u *Upstream) backoffUntil() time.Time {
	until := u.announced.BackoffUntil()
	return until.Add(time.Duration(u.backoffJitter * float64(u.announced.Backoff())))
}

// isLeaving reports whether the upstream has permanently stopped taking new work, by the
// table, now or earlier, or by its own responses. The table may lag behind the responses, and
// may be restored from an older copy.
func (u *Upstream) isLeaving() bool { return u.Draining || u.hasLeft || u.announced.Leaving() }
