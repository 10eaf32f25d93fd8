package admission

import "time"

// immediateFloorTTL is how long the floor for immediate work is kept after the last
// immediate request.
const immediateFloorTTL = time.Minute

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// pool holds the requests of one version or service. Times are offsets from the queue's
// base.
type pool struct {
	name     string
	settings *Settings
	limiter  limiter
	capacity int // upper bound of the limit; 0 means none
	load     PoolLoad
	// immediateLane holds the waiting immediate requests, otherLane the others.
	immediateLane lane
	otherLane     lane
	serviceTimes  [ranks]serviceTime
	running       [ranks]int
	// recentImmediate is the smoothed number of running immediate requests.
	recentImmediate smoothedCount
	queued          int
	lastImmediateAt time.Duration
	seenImmediate   bool
	// nextExpiry is when the first waiting request may be too late to start.
	nextExpiry time.Duration
}

func newPool(name string, s *Settings) *pool {
	return &pool{
		name: name, settings: s, limiter: newLimiter(s.Limit), nextExpiry: never,
		immediateLane: newLane(s.DeferrableShare), otherLane: newLane(s.DeferrableShare),
	}
}

// limit returns how many requests may run at a time, at least one. Load reports of the
// upstreams take precedence over the limiter.
func (p *pool) limit() int {
	limit := int(p.limiter.limit)
	if p.load.Limit > 0 {
		limit = max(int(p.load.share()), p.settings.Limit.Min)
	}
	if p.capacity > 0 {
		limit = min(limit, p.capacity)
	}
	return max(limit, 1)
}

// immediateFloor returns the part of the limit that only immediate work may use.
func (p *pool) immediateFloor(now time.Duration) int {
	if !p.seenImmediate || now-p.lastImmediateAt > immediateFloorTTL {
		return 0
	}
	limit := p.limit()
	if limit < 2 {
		return 0
	}
	return max(1, int(float64(limit)*p.settings.ImmediateFloor))
}

func (p *pool) runningCount() int {
	return p.running[rankImmediate] + p.running[rankHeavy] + p.running[rankDeferrable]
}

// mayRun reports whether a request of the rank may run now.
func (p *pool) mayRun(r rank, now time.Duration) bool {
	if p.runningCount() >= p.limit() {
		return false
	}
	if r == rankImmediate {
		return true
	}
	return p.running[rankHeavy]+p.running[rankDeferrable] < p.limit()-p.immediateFloor(now)
}

// next returns the ticket to run next, or nil when none may run.
func (p *pool) next(now time.Duration) *ticket {
	if t := p.immediateLane.next(); t != nil && p.mayRun(rankImmediate, now) {
		return t
	}
	if !p.mayRun(rankHeavy, now) {
		return nil
	}
	return p.otherLane.next()
}

func (p *pool) lane(r rank) *lane {
	if r == rankImmediate {
		return &p.immediateLane
	}
	return &p.otherLane
}

// forEachWaiting calls visit for each waiting request.
func (p *pool) forEachWaiting(visit func(t *ticket)) {
	for _, l := range []*lane{&p.immediateLane, &p.otherLane} {
		for _, f := range l.active {
			for r := range f.queues {
				for _, t := range f.queues[r] {
					visit(t)
				}
			}
		}
	}
}

func (p *pool) push(t *ticket) {
	p.lane(t.rank).push(t)
	p.queued++
	p.nextExpiry = min(p.nextExpiry, p.latestStart(t))
}

func (p *pool) remove(t *ticket) {
	p.lane(t.rank).remove(t)
	p.queued--
}

// run takes a waiting ticket out of its lane and counts it as running.
func (p *pool) run(t *ticket, now time.Duration) {
	p.lane(t.rank).serve(t)
	p.queued--
	t.running = true
	p.addRunning(t.rank, 1, now)
	p.limiter.recordRunning(p.runningCount())
}

// maxWaitFactor bounds the actual wait of a queued request, as a multiple of MaxWait.
const maxWaitFactor = 2

// latestStart returns the latest time at which a request must start: to meet its
// deadline, and not to wait far longer than estimated when it was queued.
func (p *pool) latestStart(t *ticket) time.Duration {
	return min(t.deadline-p.serviceTimes[t.rank].estimate(t.cost), t.offered+maxWaitFactor*p.maxWait(t.rank))
}

// estimateWait estimates how long a new request would wait for the requests ahead of it
// and for one more slot. It is 0 when there is room or no service time is known yet.
func (p *pool) estimateWait(t *ticket, now time.Duration) time.Duration {
	l := p.lane(t.rank)
	if l.queued == 0 && p.mayRun(t.rank, now) {
		return 0
	}
	return time.Duration(float64(p.serviceTimes[t.rank].estimate(l.ahead(t)+1)) / p.availableSlots(t.rank, now))
}

// availableSlots returns the slots that requests of the rank's lane can count on: those
// that immediate work has recently left free.
func (p *pool) availableSlots(r rank, now time.Duration) float64 {
	limit := float64(p.limit())
	if r == rankImmediate {
		return limit
	}
	available := limit - p.recentImmediate.update(now, p.running[rankImmediate])
	return max(available, limit/2)
}

// addRunning changes the number of running requests of a rank.
func (p *pool) addRunning(r rank, by int, now time.Duration) {
	if r == rankImmediate {
		p.recentImmediate.update(now, p.running[r])
	}
	p.running[r] += by
}

func (p *pool) maxWait(r rank) time.Duration {
	switch r {
	case rankImmediate:
		return p.settings.MaxWait.Immediate
	case rankHeavy:
		return p.settings.MaxWait.Heavy
	}
	return p.settings.MaxWait.Deferrable
}
