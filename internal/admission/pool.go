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
	lanes    [ranks]lane
	services [ranks]serviceTime
	running  [ranks]int
	queued   int
	// served counts what heavy and deferrable work have had, by their shares.
	served        [ranks]float64
	lastImmediate time.Duration
	seenImmediate bool
	// expires is when the first waiting request may be too late.
	expires time.Duration
}

func newPool(name string, s *Settings) *pool {
	p := &pool{name: name, settings: s, limiter: newLimiter(s.Limit), expires: never}
	for i := range p.lanes {
		p.lanes[i] = newLane()
	}
	return p
}

func (p *pool) limit() int {
	limit := int(p.limiter.limit)
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
	if t := p.lanes[rankImmediate].next(); t != nil && p.room(rankImmediate, now) {
		return t
	}
	if !p.room(rankHeavy, now) {
		return nil
	}
	return p.lanes[p.turn()].next()
}

// turn says whether heavy or deferrable work is next: each has its share
// while both wait.
func (p *pool) turn() rank {
	if p.lanes[rankHeavy].queued == 0 {
		return rankDeferrable
	}
	if p.lanes[rankDeferrable].queued == 0 {
		return rankHeavy
	}
	share := p.settings.DeferrableShare
	if p.served[rankDeferrable]+1/share < p.served[rankHeavy]+1/(1-share) {
		return rankDeferrable
	}
	return rankHeavy
}

// charge counts what was served against the rank's share. A rank that was
// idle cannot save up its share.
func (p *pool) charge(t *ticket) {
	share := p.settings.DeferrableShare
	switch t.rank {
	case rankHeavy:
		p.served[rankHeavy] += t.cost / (1 - share)
	case rankDeferrable:
		p.served[rankDeferrable] += t.cost / share
	default:
		return
	}
	if p.lanes[rankHeavy].queued == 0 || p.lanes[rankDeferrable].queued == 0 {
		most := max(p.served[rankHeavy], p.served[rankDeferrable])
		p.served[rankHeavy], p.served[rankDeferrable] = most, most
	}
}

func (p *pool) push(t *ticket) {
	p.lanes[t.rank].push(t)
	p.queued++
	p.expires = min(p.expires, p.latestStart(t))
}

func (p *pool) remove(t *ticket) {
	p.lanes[t.rank].remove(t)
	p.queued--
}

// run takes a waiting ticket out and counts it as running.
func (p *pool) run(t *ticket) {
	p.lanes[t.rank].serve(t)
	p.queued--
	p.charge(t)
	t.running = true
	p.running[t.rank]++
	p.limiter.used(p.busy())
}

// latestStart is when a request must run at the latest to make its deadline.
func (p *pool) latestStart(t *ticket) time.Duration {
	return t.deadline - p.services[t.rank].of(t.cost)
}

// wait estimates how long a new request would wait: the work of its
// organisation ahead of it, over the organisation's share of the pool. It is
// 0 when there is room or nothing is known yet.
func (p *pool) wait(t *ticket, now time.Duration) time.Duration {
	l := &p.lanes[t.rank]
	if l.queued == 0 && p.room(t.rank, now) {
		return 0
	}
	var ahead float64
	if f := l.flows[t.org]; f != nil {
		ahead = f.cost
	}
	slots := float64(p.limit()) * p.share(t.rank)
	share := t.weight / l.weightWith(t.org, t.weight)
	return time.Duration(float64(p.services[t.rank].of(ahead+t.cost)) / (slots * share))
}

// share is the part of the pool that a rank gets while others wait.
func (p *pool) share(r rank) float64 {
	switch {
	case r == rankDeferrable && p.lanes[rankHeavy].queued > 0:
		return p.settings.DeferrableShare
	case r == rankHeavy && p.lanes[rankDeferrable].queued > 0:
		return 1 - p.settings.DeferrableShare
	}
	return 1
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
