package entryqueue

import (
	"math"
	"slices"
	"time"
)

// Queue holds the requests of one service at one node. It is not safe for concurrent use.
//
// While the load is at least fullLoad, the node's concurrency is bounded by its own recent
// concurrency divided by the load. All nodes together then approach the upstreams' slots,
// and each gives way and takes room back in proportion to what it runs.
type Queue struct {
	settings Settings
	load     float64
	loadAt   time.Time
	running  int
	// level is the smoothed concurrency as of levelAt.
	level   float64
	levelAt time.Time
	// finished decays with usageWindow; it counts the ends of requests. While requests queue,
	// this is the node's part of the upstreams' capacity.
	finished usage
	waiting  []*Ticket
	// releasedAt is when waiting requests were last considered.
	releasedAt time.Time
	usages     map[string]*usage
	returns    returns
	demands    []float64
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), usages: map[string]*usage{}, returns: returns{byID: map[string]place{}}}
}

// SetLoad records the share of the service's slots in use, by all nodes. Values that are no
// load are ignored.
func (q *Queue) SetLoad(load float64, now time.Time) {
	if math.IsNaN(load) || math.IsInf(load, 0) || load < 0 {
		return
	}
	q.load, q.loadAt = min(load, maxLoad), now
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Idle reports whether no request waits or runs.
func (q *Queue) Idle() bool { return len(q.waiting)+q.running == 0 }

// isFull reports whether requests queue at the upstreams, as far as is known.
func (q *Queue) isFull(now time.Time) bool { return q.load >= fullLoad && q.isKnown(now) }

func (q *Queue) isKnown(now time.Time) bool { return now.Sub(q.loadAt) <= loadFreshFor }

// hasRoom reports whether a waiting request may start. Also below fullLoad nodes release no more
// than their part of the room: the load is late, and all of them see it at the same time.
func (q *Queue) hasRoom(now time.Time) bool {
	return !q.isKnown(now) || float64(q.running) < q.limit(now)
}

// limit returns the node's part of the slots in requests.
func (q *Queue) limit(now time.Time) float64 {
	q.smooth(now)
	return max(q.level/max(q.load, minLoad), 1)
}

// smooth brings level up to now; call it before running changes.
func (q *Queue) smooth(now time.Time) {
	if d := now.Sub(q.levelAt); d > 0 {
		q.level += (float64(q.running) - q.level) * (1 - math.Exp(-float64(d)/float64(smoothing)))
		q.levelAt = now
	}
}

// Offer decides on a request. The caller calls [Queue.Started] until a waiting one has
// started, and [Queue.Finish] at the end of each that has a ticket.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	u := q.usage(r.Organisation, now)
	u.recent++
	t := &Ticket{request: r, usage: u, arrived: q.returns.arrival(r, now)}
	q.release(now)
	full := q.isFull(now)
	if r.Exempt || len(q.waiting) == 0 && (!full || q.hasRoom(now)) {
		return q.runNow(t, now)
	}
	over := u.excess(q.share(now)) > 0
	if over && full {
		if d, refused := q.refuse(t, now); refused {
			return d
		}
	}
	if !over && (!full || r.Priority <= 0) || len(q.waiting) >= q.settings.MaxWaiting {
		return q.runNow(t, now)
	}
	reason, wait := NoRoom, time.Duration(q.settings.WaitShare*float64(r.Goal))
	t.untilInShare = now.Add(wait)
	if over {
		reason, wait = OverShare, max(wait, time.Duration(overShareWait*float64(r.Left-r.Goal)))
	}
	t.until = now.Add(max(min(wait, r.Left-r.Goal), 0))
	u.waiting++
	q.waiting = append(q.waiting, t)
	return Decision{Verdict: Wait, Reason: reason, Ticket: t, Load: q.load}
}

func (q *Queue) runNow(t *Ticket, now time.Time) Decision {
	q.start(t, now)
	return Decision{Ticket: t, Load: q.load}
}

// refuse decides on a request of an organisation over its share: it is refused if it would start
// too late for its deadline, or finds no place to wait.
func (q *Queue) refuse(t *Ticket, now time.Time) (d Decision, refused bool) {
	expected := q.expectedWait(t)
	d = Decision{Verdict: Refuse, RetryAfter: expected, Load: q.load}
	switch {
	case expected+t.request.Goal > t.request.Left:
		d.Reason = NotInTime
	case len(q.waiting) >= q.places(t.request.Priority):
		d.Reason = QueueFull
	default:
		return Decision{}, false
	}
	q.returns.keep(t.request, t.arrived, now.Add(expected))
	return d, true
}

// places returns the number of waiting requests from which others over their share are
// refused. Without fewer places for less urgent work, it would fill the queue.
func (q *Queue) places(priority int) int {
	return max(q.settings.MaxWaiting>>min(max(priority, 0), maxHalvings), 1)
}

// Started reports whether a request may run now, and starts those for which there is room
// and those whose wait is over.
func (q *Queue) Started(t *Ticket, now time.Time) bool {
	if !t.started {
		q.release(now)
	}
	return t.started
}

// Finish ends a request, which may still wait.
func (q *Queue) Finish(t *Ticket, now time.Time) {
	if t.finished {
		return
	}
	t.finished = true
	if !t.started {
		q.remove(t)
		return
	}
	q.smooth(now)
	q.running--
	t.usage.running--
	q.finished.decay(now)
	q.finished.recent++
}

func (q *Queue) remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		t.usage.waiting--
	}
}

func (q *Queue) start(t *Ticket, now time.Time) {
	q.remove(t)
	q.smooth(now)
	t.started = true
	q.running++
	t.usage.running++
}

func (q *Queue) release(now time.Time) {
	if len(q.waiting) == 0 || now.Sub(q.releasedAt) < releaseInterval {
		return
	}
	q.releasedAt = now
	share := q.share(now)
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		// The organisation may have been over its share when the request came, and no more.
		// The work that a flood leaves behind starts as there is room.
		if !now.Before(t.until) || !now.Before(t.untilInShare) && t.usage.excess(share) == 0 && float64(t.usage.waiting) <= minShare {
			t.expired = true
			q.start(t, now)
			continue
		}
		i++
	}
	for len(q.waiting) > 0 && q.hasRoom(now) {
		q.start(q.next(now), now)
	}
}

// next returns the waiting request that starts first: those within their organisation's fair
// share and those least over it, then the most urgent, then the oldest.
func (q *Queue) next(now time.Time) *Ticket {
	share := q.share(now)
	best := q.waiting[0]
	for _, t := range q.waiting[1:] {
		if t.before(best, share) {
			best = t
		}
	}
	return best
}

func (t *Ticket) before(o *Ticket, share float64) bool {
	excess, otherExcess := t.usage.excess(share), o.usage.excess(share)
	switch {
	case excess != otherExcess:
		return excess < otherExcess
	case t.request.Priority != o.request.Priority:
		return t.request.Priority < o.request.Priority
	default:
		return t.arrived.Before(o.arrived)
	}
}

// share returns the fair share of an organisation in recent requests, of those that recently
// ended.
func (q *Queue) share(now time.Time) float64 {
	q.demands = q.demands[:0]
	for name, u := range q.usages {
		u.decay(now)
		if u.idle() {
			delete(q.usages, name)
			continue
		}
		q.demands = append(q.demands, u.recent)
	}
	q.finished.decay(now)
	return max(fairShare(q.demands, q.finished.recent), minShare)
}

func (q *Queue) usage(name string, now time.Time) *usage {
	u := q.usages[name]
	if u == nil {
		u = &usage{asOf: now}
		q.usages[name] = u
	}
	u.decay(now)
	return u
}

// expectedWait returns how long t probably waits behind those that start first, from the
// recent rate of starts.
func (q *Queue) expectedWait(t *Ticket) time.Duration {
	ahead := 1
	for _, o := range q.waiting {
		if o.request.Priority <= t.request.Priority {
			ahead++
		}
	}
	perSecond := max(q.finished.recent/usageWindow.Seconds(), 1)
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}
