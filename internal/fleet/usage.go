package fleet

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// usage is what a node knows of an upstream that it uses. A node of a large fleet uses few of
// the upstreams that it knows.
type usage struct {
	// warmUpShare is this node's share of the warm-up rate, limitShare that of the
	// advertised rate limit.
	warmUpShare, limitShare pacing.Share
	// places is this node's part of the places at a brittle upstream.
	places pacing.Places
	// rejectedAt is when the upstream last rejected an attempt of this node.
	rejectedAt time.Time
	// lastSentAt is when this node last sent it a request.
	lastSentAt time.Time
	// inFlight is the number of this node's attempts in progress there.
	inFlight int
	// reportedRunning and reportedWaiting are the upstream's latest load report, received
	// at loadReportedAt. reportedOthers is the number of other nodes' requests in it.
	reportedRunning, reportedWaiting int
	loadReportedAt                   time.Time
	reportedOthers                   float64
	// othersQueued is the number of other nodes' requests that had not started by then.
	othersQueued float64
	// othersInFlight is the number of other nodes' attempts there, and othersPending the
	// work of those whose responses have not started. Both were received in flightRound.
	othersInFlight, othersPending float64
	flightRound                   uint64
	// pendingWork is the work of this node's attempts whose responses have not started;
	// ownQueued is their number.
	pendingWork float64
	ownQueued   int
	// recentFailures and recentAttempts are exponentially decayed counts, as of decayedAt.
	recentFailures float64
	recentAttempts float64
	decayedAt      time.Time
	// speed is what is known of the upstream's speed.
	speed speedState
	// silence is what is known of attempts without an answer.
	silence silence
	// consecutiveUnreached is the number of failures in a row to reach the upstream, which
	// is ejected until ejectedUntil.
	consecutiveUnreached int
	ejectedUntil         time.Time
}

// unused is the usage of all upstreams that this node has not used. It is never modified.
var unused = &usage{}

// use gives the upstream a usage of its own, which the caller may modify.
func (u *Upstream) use() *usage {
	if u.usage == unused {
		u.usage = &usage{}
	}
	return u.usage
}
