package admission

import "time"

// floorFor is how long the floor for immediate work is kept after the last of it.
const floorFor = time.Minute

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// pool is the requests of one version or service. Times are since the queue's
// base.
type pool struct {
	name     string
	settings *Settings
	limiter  limiter
	capacity int // bounds the limit; 0 does not
	load     PoolLoad
	// urgent has the immediate requests that wait, rest the others.
	urgent   lane
	rest     lane
	services [ranks]serviceTime
	running  [ranks]int
	// usual is how many immediate requests have run of late.
	usual         smooth
	queued        int
	lastImmediate time.Duration
	seenImmediate bool
	// expires is when the first waiting request may be too late.
	expires time.Duration
}

func newPool(name string, s *Settings) *pool {
	return &pool{
		name: name, settings: s, limiter: newLimiter(s.Limit), expires: never,
		urgent: newLane(s.DeferrableShare), rest: newLane(s.DeferrableShare),
	}
}

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

// floor is the part of the limit that only immediate work may take.
func (p *pool) floor(now time.Duration) int {
	if !p.seenImmediate || now-p.lastImmediate > floorFor {
		return 0
	}
	limit := p.limit()
	if limit < 2 {
		return 0
	}
	return max(1, int(float64(limit)*p.settings.ImmediateFloor))
}

func (p *pool) busy() int {
	return p.running[rankImmediate] + p.running[rankHeavy] + p.running[rankDeferrable]
}

// room says whether a request of the rank may run now.
func (p *pool) room(r rank, now time.Duration) bool {
	if p.busy() >= p.limit() {
		return false
	}
	if r == rankImmediate {
		return true
	}
	return p.running[rankHeavy]+p.running[rankDeferrable] < p.limit()-p.floor(now)
}

// next is the ticket to run next, or nil when none may.
func (p *pool) next(now time.Duration) *ticket {
	if t := p.urgent.next(); t != nil && p.room(rankImmediate, now) {
		return t
	}
	if !p.room(rankHeavy, now) {
		return nil
	}
	return p.rest.next()
}

func (p *pool) lane(r rank) *lane {
	if r == rankImmediate {
		return &p.urgent
	}
	return &p.rest
}

// each visits the waiting requests.
func (p *pool) each(visit func(t *ticket)) {
	for _, l := range []*lane{&p.urgent, &p.rest} {
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
	p.expires = min(p.expires, p.latestStart(t))
}

func (p *pool) remove(t *ticket) {
	p.lane(t.rank).remove(t)
	p.queued--
}

// run takes a waiting ticket out and counts it as running.
func (p *pool) run(t *ticket, now time.Duration) {
	p.lane(t.rank).serve(t)
	p.queued--
	t.running = true
	p.count(t.rank, 1, now)
	p.limiter.used(p.busy())
}

// patience is how many times MaxWait a request may in truth wait.
const patience = 2

// latestStart is when a request must run at the latest: to make its deadline,
// and not to wait far longer than was estimated when it was queued.
func (p *pool) latestStart(t *ticket) time.Duration {
	return min(t.deadline-p.services[t.rank].of(t.cost), t.offered+patience*p.maxWait(t.rank))
}

// wait estimates how long a new request would wait: for what goes before it
// and for one more place. It is 0 when there is room or nothing is known yet.
func (p *pool) wait(t *ticket, now time.Duration) time.Duration {
	l := p.lane(t.rank)
	if l.queued == 0 && p.room(t.rank, now) {
		return 0
	}
	return time.Duration(float64(p.services[t.rank].of(l.ahead(t)+1)) / p.slots(t.rank, now))
}

// slots are the places that requests of the rank's lane may count on: those
// that immediate work has left the others of late.
func (p *pool) slots(r rank, now time.Duration) float64 {
	limit := float64(p.limit())
	if r == rankImmediate {
		return limit
	}
	left := limit - p.usual.at(now, p.running[rankImmediate])
	return max(left, limit/2)
}

// count changes how many of a rank run.
func (p *pool) count(r rank, by int, now time.Duration) {
	if r == rankImmediate {
		p.usual.at(now, p.running[r])
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
