package fleet

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
)

// Upstream is one upstream and what this node has seen of it.
type Upstream struct {
	Record
	// said is what this start of it has said in answers, to any node.
	said *notice.State

	// kept is set while the table does not list it, but may again.
	kept bool
	// hash is its part of the list's hash; 0 while it is not listed.
	hash uint64
	// since is when it was first read; replaced is set when another upstream
	// answers at its address: this one has ended.
	since    time.Time
	replaced bool
	// coldUntil is when it has warmed up; warmUpShare is this node's share of what it
	// bears until then, limitShare that of the rate limit that it names.
	coldUntil               time.Time
	warmUpShare, limitShare pacing.Share
	// restSpread is the part of a rest that this node adds to it.
	restSpread float64
	// sentAt is when this node last sent it a request.
	sentAt time.Time

	inFlight int
	// running and waiting are the upstream's latest word on its load, heard at
	// heardAt; reported is what of it other nodes sent.
	running, waiting int
	heardAt          time.Time
	reported         float64
	// othersWaiting is how many requests of other nodes had not begun then.
	othersWaiting float64
	// othersFlight and othersPending are the attempts of other nodes there and
	// the work of those whose answers have not begun, as told at flightAt.
	othersFlight, othersPending float64
	flightAt                    time.Time
	// pending is the work of this node's attempts whose answers have not
	// begun, waitingOwn their number.
	pending    float64
	waitingOwn int
	// parts are the prompt parts that this node has lately sent.
	parts    map[partKey]time.Time
	failures float64
	attempts float64
	ratedAt  time.Time
	misses   int
	ejected  time.Time // left alone until then
}

// InFlight is how many attempts of this node run there.
func (u *Upstream) InFlight() int { return u.inFlight }

// load is the estimated share of the slots in use; over 1 is a queue.
func (u *Upstream) load(now time.Time) float64 {
	return (float64(u.inFlight) + u.others(now)) / float64(max(u.Slots, 1))
}

// others is how many attempts of other nodes are taken to run or wait there.
func (u *Upstream) others(now time.Time) float64 {
	if u.told(now) {
		return u.othersFlight
	}
	return u.reported * u.freshness(now)
}

// told tells whether other nodes have lately told what they have under way.
func (u *Upstream) told(now time.Time) bool {
	return !u.flightAt.IsZero() && now.Sub(u.flightAt) <= flightFresh
}

// freshness is how much the last word on load still counts.
func (u *Upstream) freshness(now time.Time) float64 {
	if u.heardAt.IsZero() {
		return 0
	}
	age := now.Sub(u.heardAt) - loadFresh
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(loadHalfLife))
}

// heard takes the upstream's word on its load.
func (u *Upstream) heard(running, waiting int, at time.Time) {
	u.running, u.waiting, u.heardAt = running, waiting, at
	u.reported = max(float64(running+waiting-u.inFlight), 0)
	u.othersWaiting = max(float64(waiting-u.waitingOwn), 0)
}

// errorShare is the recent share of failed attempts, pulled towards none while
// there are few.
func (u *Upstream) errorShare(now time.Time) float64 {
	u.decay(now)
	return u.failures / (u.attempts + 2)
}

func (u *Upstream) decay(now time.Time) {
	if !u.ratedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(u.ratedAt)) / float64(errorHalfLife))
		u.failures *= f
		u.attempts *= f
	}
	u.ratedAt = now
}

// ready tells whether the upstream takes new work now.
func (u *Upstream) ready(now time.Time) bool {
	return !u.leaves() && !u.replaced && !now.Before(u.ejected) && !now.Before(u.restsUntil())
}

// restsUntil is until when this node sends the upstream nothing, as it has asked for rest. It
// is a little longer than that, by a part that differs from node to node.
func (u *Upstream) restsUntil() time.Time {
	until := u.said.RestUntil()
	return until.Add(time.Duration(u.restSpread * float64(u.said.Rest())))
}

// leaves tells whether the upstream takes no new work for good: by the table's list, or by
// its own answers, which the list may lag behind.
func (u *Upstream) leaves() bool { return u.Draining || u.said.Leaving() }
