package admission

// lane holds waiting requests of one pool: one lane for immediate requests, one for all
// others. It serves the organisations by start-time fair queueing. A request starts at
// the virtual time at which its organisation's earlier requests are paid for, and the
// lowest start is served first. Costs are divided by the organisation's weight. Within an
// organisation, heavy work goes before deferrable work except for a share, and the
// earliest deadline goes first.
type lane struct {
	// deferrable is the share of an organisation's served work that its deferrable
	// requests get while its heavy requests also wait.
	deferrable float64
	flows      map[string]*flow
	active     []*flow
	// virtual is the virtual start of the request served last.
	virtual float64
	queued  int
	// removals counts removed tickets since idle flows were last dropped, so that
	// dropping them stays cheap.
	removals int
}

func newLane(deferrable float64) lane {
	return lane{deferrable: deferrable, flows: map[string]*flow{}}
}

func (l *lane) flowOf(t *ticket) *flow {
	f := l.flows[t.org]
	if f == nil {
		f = &flow{org: t.org}
		l.flows[t.org] = f
	}
	f.weight = t.weight
	return f
}

func (l *lane) push(t *ticket) {
	f := l.flowOf(t)
	if f.queued == 0 {
		l.active = append(l.active, f)
	}
	f.push(t)
	l.queued++
}

// remove takes a waiting ticket out of the lane.
func (l *lane) remove(t *ticket) {
	f := l.flows[t.org]
	f.remove(t)
	l.queued--
	l.removals++
	if f.queued > 0 {
		return
	}
	for i, other := range l.active {
		if other == f {
			l.active = append(l.active[:i], l.active[i+1:]...)
			break
		}
	}
	l.dropIdleFlows()
}

// next returns the ticket to serve next, or nil.
func (l *lane) next() *ticket {
	var best *flow
	for _, f := range l.active {
		if best == nil || l.virtualStart(f) < l.virtualStart(best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.next(l.deferrable)
}

// virtualStart returns the virtual start of the flow's next request. A flow that was idle
// starts now: it does not accumulate credit for unused time.
func (l *lane) virtualStart(f *flow) float64 { return max(f.finish, l.virtual) }

// serve takes a ticket out of the lane and charges its organisation.
func (l *lane) serve(t *ticket) {
	f := l.flows[t.org]
	start := l.virtualStart(f)
	f.finish = start + t.cost/f.weight
	l.virtual = start
	l.remove(t)
	f.charge(t, l.deferrable)
}

// maxIdleFlows is how many idle flows may exist before they are dropped.
const maxIdleFlows = 64

// dropIdleFlows drops flows that owe nothing, so that the lane does not grow with every
// organisation ever seen.
func (l *lane) dropIdleFlows() {
	if len(l.flows) <= 2*len(l.active)+maxIdleFlows || l.removals < len(l.flows) {
		return
	}
	l.removals = 0
	for org, f := range l.flows {
		if f.queued == 0 && f.finish <= l.virtual {
			delete(l.flows, org)
		}
	}
}

// ahead returns the cost of the work that would be served before a new request: what
// starts before it in virtual time from other organisations, and what its own
// organisation has waiting.
func (l *lane) ahead(t *ticket) float64 {
	start, own := l.virtual, 0.0
	if f := l.flows[t.org]; f != nil {
		own = f.costAhead(t.rank)
		start = l.virtualStart(f) + own/t.weight
	}
	sum := own
	for _, f := range l.active {
		if f.org != t.org {
			sum += f.costBefore(l.virtualStart(f), start)
		}
	}
	return sum
}

// mostBacklogged returns the flow with the highest waiting cost for its weight.
func (l *lane) mostBacklogged() *flow {
	var backlogged *flow
	for _, f := range l.active {
		if backlogged == nil || f.cost()/f.weight > backlogged.cost()/backlogged.weight {
			backlogged = f
		}
	}
	return backlogged
}

// hasHeavy reports whether heavy work waits.
func (l *lane) hasHeavy() bool {
	for _, f := range l.active {
		if len(f.queues[rankHeavy]) > 0 {
			return true
		}
	}
	return false
}
